/* A machine: what its record says, and what the owner of its shard knows of it. Types only; guarded by store_lock. */
#ifndef FF_MODEL_MACHINE_H
#define FF_MODEL_MACHINE_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "allocation.h"
#include "machine_type.h"

#define MACHINE_OCCUPANCY_SAMPLES 64
#define MACHINE_TASKS_MAX 200 /* allocated on a machine at a time: reports and answers stay far below 64 KiB */
#define MACHINE_PAGES_MAX 256 /* a shard's pages are numbered below this */

struct machine {
    char id[64];
    bool known;                       /* false: only heard of through an allocation; no record means that it is gone */
    struct timespec unrecorded_since; /* where it is not known: since when */
    int shard;                        /* -1: none */
    int page;                         /* of its shard; -1: in a record of its own, on its way between shards */
    int64_t placement_revision;       /* mod revision of the record that says so */
    int64_t fencing_token;            /* its own token from adoption or a raise; the shard's may be higher */
    char address[64], type_name[64], zone[64];
    const struct machine_type *type;
    bool spot, returning;
    double created_at; /* time of day of the rental */
    GPtrArray *allocations;
    /* owner's side */
    int64_t owned_token; /* the shard fence under which the rest holds */
    bool up;
    int64_t incarnation, sequence, seen_token;
    struct timespec stops_requested_at; /* when, not being its owner, we last asked tasks of it to end */
    struct timespec last_heard, last_heartbeat, owned_since, last_probe; /* heard: by a report or a direct answer */
    double preemption_notice_s;                                          /* < 0: none */
    struct timespec notice_received;
    bool outcome_unknown; /* a direct command's outcome is not known */
    int64_t unknown_token, unknown_incarnation;
    bool command_in_flight, probe_in_flight, needs_token_raise, wake,
        needs_token_probe;     /* asking: what is being sent carries no orders */
    int64_t start_incarnation; /* the latest incarnation of it in which an answer to a report carried our run orders; 0:
                                  none */
    int unanswered_probes;     /* questions in a row that it did not answer since it was heard */
    bool heartbeat_acknowledged; /* its last report got a 200 under the token it should show by now */
    int ignored_responses;       /* reports in a row that show nothing of what we answered */
    bool address_unrecorded;     /* its address is known, but not on record */
    GArray *unknown_tasks;
    double occupancy_samples[MACHINE_OCCUPANCY_SAMPLES][3];
    int n_samples;
    GHashTable *images;
    struct timespec faulty_since; /* zero: it is not */
    GPtrArray *failed_jobs;       /* struct job, kept by failures; NULL: none */
    bool draining, return_wanted, released_by_cloud, had_task;
    int rebalance_to; /* shard that it is to pass to, -1: none */
    struct timespec rebalance_since;
    struct timespec drain_since;
    /* scratch of a round */
    bool schedulable, dirty, leaves_page;
    int64_t next_token;
    int next_page;
    double occupancy, used_cpu, used_gpu, used_mem;
    int used_tasks;
};

struct unregistered_machine { /* rented or found, not yet recorded */
    char id[64], address[64], type_name[64], zone[64];
    bool spot;
    int shard;
    double created_at;
    int page; /* scratch of a round: where it is to be recorded, -1: not yet */
};

/* Machines of one kind that are wanted in a zone, for a shard. */
struct rental_request {
    char type_name[64], zone[64];
    bool spot;
    int count, shard;
    int weight; /* how much waits for it */
};
#endif
