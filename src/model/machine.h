/* A machine: what its record says, and what the owner of its shard knows of it. Types only; guarded by store_lock.
 * Times of day are seconds since 1970; struct timespec are instants of the steady clock. */
#ifndef FF_MODEL_MACHINE_H
#define FF_MODEL_MACHINE_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "allocation.h"
#include "machine_type.h"

/* Sizes of strings, with the terminating zero. */
#define MACHINE_ID_SIZE 64
#define MACHINE_ADDRESS_SIZE 64
#define ZONE_NAME_SIZE 64

#define MACHINE_OCCUPANCY_SAMPLES 64
#define MACHINE_TASKS_MAX 200 /* allocated on a machine at a time: heartbeats and responses stay far below 64 KiB */
#define MACHINE_PAGES_MAX 256 /* a shard's pages are numbered below this */

/* What the machine's agent has shown of itself. Kept by workers. */
struct machine_agent {
    int64_t incarnation, sequence; /* of the newest message; 0: none yet */
    int64_t seen_token;            /* the highest fencing token that it has shown */
    GArray *unknown_tasks;         /* struct unknown_task: what it lists that has no allocation */
};

/* Whether it can be reached, in both directions. Kept by workers, read by liveness. */
struct machine_liveness {
    bool up;
    struct timespec last_heard;     /* by a heartbeat or a direct answer */
    struct timespec last_heartbeat; /* by a heartbeat */
    int unanswered_probes;          /* in a row, since it was last heard */
    bool heartbeat_acknowledged;    /* its last heartbeat got a 200 under the fencing token it should show by now */
    int ignored_responses;          /* heartbeats in a row that show nothing of the responses */
    double preemption_notice_s;     /* the cloud reclaims it in so many seconds; < 0: no notice */
    struct timespec notice_received;
};

/* Directives sent straight to it. Kept by workers. */
struct machine_commands {
    bool wake;              /* something is to be sent */
    bool needs_token_probe; /* it is to be shown its fencing token, and asked for its tasks */
    bool in_flight;
    bool probe_in_flight; /* what is in flight carries no directives */
    struct timespec last_probe;
    bool outcome_unknown; /* a start's outcome is not known: it may yet be carried out, under these two */
    int64_t unknown_token, unknown_incarnation;
    bool needs_token_raise;    /* only a higher fencing token rules that start out */
    int64_t start_incarnation; /* the latest of it in which a response to a heartbeat carried starts; 0: none */
    struct timespec stops_requested_at; /* when a controller that does not own it last asked it to stop tasks */
};

/* The components of a sample of occupancy. */
enum occupancy_component { OCCUPANCY_VCPUS, OCCUPANCY_MEMORY, OCCUPANCY_GPUS, OCCUPANCY_COMPONENTS };

/* Window of the latest samples: per component, the part of the machine that is allocated, from 0 to 1. */
struct machine_occupancy {
    double samples[MACHINE_OCCUPANCY_SAMPLES][OCCUPANCY_COMPONENTS];
    int n_samples; /* so far; the latest overwrite the oldest */
};

/* On its way back to the cloud. Kept by the autoscaler and liveness. */
struct machine_retirement {
    bool draining; /* takes no more tasks; returned once empty */
    struct timespec drain_since;
    bool return_wanted;
    bool returning; /* recorded so */
    bool released;  /* the cloud has confirmed its return */
};

/* On its way to another shard. Kept by rebalancing. */
struct machine_rebalance {
    int to; /* -1: no */
    struct timespec since;
};

/* Working values of one scheduling round. Kept by the scheduler. */
struct machine_round {
    bool schedulable;
    bool dirty;         /* the round allocates on it or releases from it */
    bool leaves_page;   /* its page is written without it */
    int64_t next_token; /* its page is written with this one; 0: as it is */
    int next_page;      /* it is written to this page; -1: as it is */
    double occupancy;
    double used_vcpus, used_gpus, used_memory_gb; /* by allocations and plans */
    int used_tasks;
};

/* A machine. The members that no comment gives to another package are kept by machines. */
struct machine {
    char id[MACHINE_ID_SIZE];
    char address[MACHINE_ADDRESS_SIZE]; /* HOST:PORT of its agent; empty: not known */
    char type_name[TYPE_NAME_SIZE], zone[ZONE_NAME_SIZE];
    const struct machine_type *type; /* NULL: not known yet */
    bool spot;
    double created_at;      /* time of day of the rental */
    GPtrArray *allocations; /* struct allocation */
    bool had_task;
    GHashTable *images; /* names of those that it has cached */

    /* Its record. Kept by machines. */
    bool known;                       /* false: no record names it, only an allocation */
    struct timespec unrecorded_since; /* where it is not known: since when */
    int shard;                        /* -1: none */
    int page;                         /* of its shard; -1: in a record of its own, on its way between shards */
    int64_t placement_revision;       /* mod revision of the record that says so */
    int64_t fencing_token;            /* its own, from adoption or a raise; the shard's may be higher */
    bool address_unrecorded;          /* its address is known, but not on record */

    /* What the owner of its shard knows: valid under this fencing token of the shard only. */
    int64_t owned_token;
    struct timespec owned_since;
    struct machine_agent agent;
    struct machine_liveness liveness;
    struct machine_commands commands;
    struct machine_occupancy occupancy;
    struct machine_retirement retirement;
    struct machine_rebalance rebalance;
    struct machine_round round;

    /* Kept by quarantine. */
    struct timespec faulty_since; /* zero: it is not */
    GPtrArray *failed_jobs;       /* struct job; NULL: none */
};

/* A machine that was rented or adopted, and is not recorded yet. */
struct unregistered_machine {
    char id[MACHINE_ID_SIZE], address[MACHINE_ADDRESS_SIZE], type_name[TYPE_NAME_SIZE], zone[ZONE_NAME_SIZE];
    bool spot;
    int shard;
    double created_at;
    int page; /* working value of a round: where it is to be recorded, -1: not yet */
};

/* Machines of one kind that are wanted in a zone, for a shard. */
struct rental_request {
    char type_name[TYPE_NAME_SIZE], zone[ZONE_NAME_SIZE];
    bool spot;
    int count, shard;
    int weight; /* how much waits for it */
};
#endif
