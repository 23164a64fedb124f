/* The machines: their records in the state service, and what an owner remembers of each. */
#ifndef FF_MACHINES_H
#define FF_MACHINES_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../jobs/jobs.h"
#include "../json/json.h"

#define MACHINE_OCCUPANCY_SAMPLES 64
#define SHARDS_MAX 64
#define MACHINE_TASKS_MAX 200 /* allocated on a machine at a time: reports and answers stay far below 64 KiB */
#define MACHINE_PAGES_MAX 256 /* a shard's pages are numbered below this */

enum task_state { TASK_UNSEEN, TASK_FETCHING, TASK_GATHERING, TASK_RUNNING, TASK_FLUSHING, TASK_ENDED };

struct machine;
struct allocation {
    struct job *job;
    struct machine *machine;
    guint index_in_job, index_in_machine; /* where it stands in their lists */
    int task;
    int64_t attempt;
    /* owner's side */
    enum task_state state; /* as last reported under our token */
    bool seen;             /* listed at least once under our token */
    bool inherited;        /* not ordered by us under this token: never started by us, released when shown absent */
    bool released;         /* proven gone or ended: its place is free, the record follows */
    bool stop_requested, stop_sent;
    int stop_requests; /* by us, not being its owner */
    int starts_sent;   /* answered reports that carried its run order */
    double grace_s;
    struct timespec allocated_at, state_since;
};

struct unknown_task {
    char task[96];
    int64_t attempt;
    bool ended;
};

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

/* What the owner remembers of a shard. */
struct shard_state {
    int64_t fencing_token;
    int64_t next;         /* counter of attempts under this fence */
    bool barrier_pending; /* a transaction's outcome is unknown: nothing more before the shard's mod revision has moved
                           */
    int64_t conflict_revision; /* the store's, when it last refused a write for its conditions */
    struct timespec since, rebalanced_at, compacted_at;
    struct timespec isolated_until; /* until then a transaction holds one record: one was refused as malformed */
    struct timespec suspicion_at;   /* when a machine last failed to answer for the first time */
    bool fit_nowhere;
};
extern struct shard_state shard_states[SHARDS_MAX];

void machines_init(const struct settings *s);

/* All with store_lock held. */
struct machine *machines_find(const char *id);
struct machine *machines_find_or_stub(const char *id);
void machines_drop_stub(struct machine *machine); /* frees what no record and no allocation names any more */
GPtrArray *machines_all(void);
GPtrArray *machines_of_shard(int k); /* the machines of a shard */
/* The shard of a machine that nobody rented: that of what is allocated on it, or else by its number. */
int machines_shard_of(const char *id);
/* A machine that no record names though tasks of a shard of ours are allocated on it, for long enough that no record
 * can be on its way. Only the cloud's answer to its return proves that they are gone. */
bool machines_unrecorded(const struct machine *machine);
int64_t machines_fencing_token(const struct machine *machine);
bool machines_owned(
    struct machine *machine); /* ours now; on a change of owner, what was known under another token goes */
void machines_add_occupancy_sample(struct machine *machine); /* a report came: a row in the occupancy window */
bool machines_leaving(const struct machine *machine);        /* on its way back to the cloud, or there already */
bool machines_known(const char *id);                         /* recorded, waiting to be, or gone for good */
void machines_returned(const char *id);
struct rental_request {
    char type_name[64], zone[64];
    bool spot;
    int count, shard;
    int weight; /* how much waits for it */
};
GHashTable *machines_unregistered(void); /* id -> unregistered_machine */
void machines_adopt(const char *id, const char *address, const char *type_name, const char *zone, bool spot);
void machines_rented(int shard, const char *id, const char *type_name, const char *zone, bool spot);

/* Pages: as many machines of a shard as a value holds, so that one change carries what a round decided for all of them.
 * Scratch fields decide: `leave` keeps a machine out, `next_fence` raises its token, `next_page` brings one in, as does
 * an unregistered one's page. */
cJSON *machines_page_value(int k, int page, int *count);
/* How full a page is, by both measures. A page is filled only as far as the first version, which writes images into it,
 * can rewrite it under the present limit, and anyone under the next. */
struct page_fill {
    int present, next;
};
/* How full a shard's pages are: counted once, however many machines are then given places. */
struct shard_page_fills {
    struct page_fill pages[MACHINE_PAGES_MAX];
};
void machines_page_fills(int k, struct shard_page_fills *fills);
/* The page that the machine is to go to, counted in; -1: all are full. */
int machines_page_fills_add(struct shard_page_fills *fills, const char *id);
int machines_page_for(int k, const char *id); /* for one machine alone */
/* The pages that could not be rewritten under the service's next limit. Their machines are written to others, a page of
 * them at a time: a later record moves a machine whatever an older one says, so that no step leaves it on none, whoever
 * reads what in between. A page is rewritten once the rest has room, and is stale until then. */
void machines_oversized_pages(int k, bool *large);
bool machines_page_stale(int k, int page);
cJSON *machines_single_value(const struct machine *machine, int shard, int64_t fencing_token);
bool machines_layout_unreadable(void); /* the store holds records of a layout that is not ours to read */
#endif
