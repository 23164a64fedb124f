/* The machines: their records in the state service, and what an owner remembers of each. */
#ifndef FF_RECORDS_H
#define FF_RECORDS_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../jobs/jobs.h"
#include "../json/json.h"

#define RECORDS_WINDOW 64
#define RECORDS_SHARES 64
#define RECORDS_TASKS_MOST 200 /* allocated on a machine at a time: reports and answers stay far below 64 KiB */
#define RECORDS_PAGES 256      /* a shard's pages are numbered below this */

enum task_state { TASK_UNSEEN, TASK_FETCHING, TASK_GATHERING, TASK_RUNNING, TASK_FLUSHING, TASK_ENDED };

struct machine;
struct allocation {
    struct job *job;
    struct machine *m;
    guint index_in_job, index_in_machine; /* where it stands in their lists */
    int task;
    int64_t attempt;
    /* owner's side */
    enum task_state state; /* as last reported under our token */
    bool seen;             /* listed at least once under our token */
    bool inherited;        /* not ordered by us under this token: never started by us, released when shown absent */
    bool released;         /* proven gone or ended: its place is free, the record follows */
    bool stop_requested, stop_sent;
    int asked_to_end; /* by us, not being its owner */
    int starts_sent;  /* answered reports that carried its run order */
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
    int64_t placed;                   /* mod revision of the record that says so */
    int64_t fence;                    /* its own token from adoption or a raise; the shard's may be higher */
    char address[64], sku[64], site[64];
    const struct machine_type *flavour;
    bool spot, returning;
    double born; /* time of day of the rental */
    GPtrArray *allocations;
    /* owner's side */
    int64_t owned_fence; /* the shard fence under which the rest holds */
    bool up;
    int64_t tenure, seq, seen_fence;
    struct timespec asked_to_end; /* when, not being its owner, we last asked tasks of it to end */
    struct timespec heard, reported, mine_since, probed; /* heard: by a report or a direct answer */
    double warning;                                      /* < 0: none */
    struct timespec warned;
    bool unknown; /* a direct command's outcome is not known */
    int64_t unknown_fence, unknown_tenure;
    bool sending, asking, need_raise, kick, hello; /* asking: what is being sent carries no orders */
    int64_t
        ordered_tenure; /* the latest session of it in which an answer to a report carried our run orders; 0: none */
    int unanswered;     /* questions in a row that it did not answer since it was heard */
    bool answered;      /* its last report got a 200 under the token it should show by now */
    int ignored;        /* reports in a row that show nothing of what we answered */
    bool unwritten;     /* its address is known, but not on record */
    GArray *unknown_tasks;
    double occ[RECORDS_WINDOW][3];
    int rows;
    GHashTable *images;
    struct timespec faulty_since; /* zero: it is not */
    GPtrArray *failed_jobs;       /* struct job, kept by failures; NULL: none */
    bool draining, want_return, dead, had_task;
    int transfer_to; /* shard that it is to pass to, -1: none */
    struct timespec transfer_since;
    struct timespec drain_since;
    /* scratch of a round */
    bool open, touched, leave;
    int64_t next_fence;
    int next_page;
    double occupancy, used_cpu, used_gpu, used_mem;
    int used_tasks;
};

struct records_unregistered { /* rented or found, not yet recorded */
    char id[64], address[64], sku[64], site[64];
    bool spot;
    int shard;
    double born;
    int page; /* scratch of a round: where it is to be recorded, -1: not yet */
};

/* What the owner remembers of a shard. */
struct records_shard {
    int64_t fence;
    int64_t next; /* counter of attempts under this fence */
    bool barrier; /* a transaction's outcome is unknown: nothing more before the shard's mod revision has moved */
    int64_t conflict_revision; /* the store's, when it last refused a write for its conditions */
    struct timespec since, passed, tidied;
    struct timespec apart_until; /* until then a transaction holds one record: one was refused as malformed */
    struct timespec alarm;       /* when a machine last failed to answer for the first time */
    bool fit_nowhere;
};
extern struct records_shard records_shards[RECORDS_SHARES];

void records_init(const struct settings *s);

/* All with store_lock held. */
struct machine *records_find(const char *id);
struct machine *records_find_or_stub(const char *id);
void records_drop_stub(struct machine *m); /* frees what no record and no allocation names any more */
GPtrArray *records_machines(void);
GPtrArray *records_of(int k); /* the machines of a shard */
/* The shard of a machine that nobody rented: that of what is allocated on it, or else by its number. */
int records_shard_of(const char *id);
/* A machine that no record names though tasks of a shard of ours are allocated on it, for long enough that no record
 * can be on its way. Only the cloud's answer to its return proves that they are gone. */
bool records_unrecorded(const struct machine *m);
int64_t records_token(const struct machine *m);
bool records_mine(struct machine *m); /* ours now; on a change of owner, what was known under another token goes */
void records_row(struct machine *m);  /* a report came: a row in the occupancy window */
bool records_leaving(const struct machine *m); /* on its way back to the cloud, or there already */
bool records_known(const char *id);            /* recorded, waiting to be, or gone for good */
void records_returned(const char *id);
struct rent_order {
    char sku[64], site[64];
    bool spot;
    int count, shard;
    int weight; /* how much waits for it */
};
GHashTable *records_unregistered_all(void); /* id -> records_unregistered */
void records_adopt(const char *id, const char *address, const char *sku, const char *site, bool spot);
void records_rented(int shard, const char *id, const char *sku, const char *site, bool spot);

/* Pages: as many machines of a shard as a value holds, so that one change carries what a round decided for all of them.
 * Scratch fields decide: `leave` keeps a machine out, `next_fence` raises its token, `next_page` brings one in, as does
 * an unregistered one's page. */
cJSON *records_page_value(int k, int page, int *count);
/* How full a page is, by both measures. A page is filled only as far as the first version, which writes images into it,
 * can rewrite it under the present limit, and anyone under the next. */
struct records_fill {
    int present, next;
};
/* How full a shard's pages are: counted once, however many machines are then given places. */
struct records_fills {
    struct records_fill pages[RECORDS_PAGES];
};
void records_fills(int k, struct records_fills *fills);
/* The page that the machine is to go to, counted in; -1: all are full. */
int records_fills_add(struct records_fills *fills, const char *id);
int records_page_for(int k, const char *id); /* for one machine alone */
/* The pages that could not be rewritten under the service's next limit. Their machines are written to others, a page of
 * them at a time: a later record moves a machine whatever an older one says, so that no step leaves it on none, whoever
 * reads what in between. A page is rewritten once the rest has room, and is stale until then. */
void records_large_pages(int k, bool *large);
bool records_page_stale(int k, int page);
cJSON *records_single_value(const struct machine *m, int shard, int64_t fence);
bool records_refused(void); /* the store holds records of a layout that is not ours to read */
#endif
