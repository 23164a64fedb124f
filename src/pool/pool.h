/* The machines: their records, bookings, occupancy, the ledger, and the owner's rounds. */
#ifndef FF_POOL_H
#define FF_POOL_H
#include "../jobs/jobs.h"

#define POOL_WINDOW 64

enum task_state { TASK_UNSEEN, TASK_FETCHING, TASK_GATHERING, TASK_RUNNING, TASK_FLUSHING, TASK_ENDED };

struct machine;
struct booking {
    struct job *job;
    struct machine *m;
    int task;
    int64_t attempt;
    /* owner's side */
    enum task_state state; /* as last reported under our token */
    bool seen;             /* listed at least once under our token */
    bool over;             /* proven gone or ended: to be released in the next round */
    bool stop;
    bool stop_sent;
    bool twin; /* the same task was booked elsewhere before this one was seen */
    double grace_s;
    struct timespec booked, changed;
};

struct stray {
    char task[96];
    int64_t attempt;
    bool ended;
};

struct machine {
    char id[64];
    int share;
    int64_t fence; /* its own token from adoption or a raise; the share's may be higher */
    char address[64], sku[64], site[64];
    const struct flavour_info *flavour;
    bool spot, returning;
    double born; /* time of day of the rental */
    GPtrArray *bookings;
    /* owner's side */
    int64_t owned_fence; /* the share fence under which the rest holds */
    bool up;
    int64_t tenure, seq, seen_fence;
    struct timespec heard, reported, mine_since, probed; /* heard: by a report or a direct answer */
    double warning;                                      /* < 0: none */
    struct timespec warned;
    bool unknown; /* a direct command's outcome is not known */
    int64_t unknown_fence, unknown_tenure;
    bool sending, need_raise, kick, hello;
    GArray *strays;
    double occ[POOL_WINDOW][3];
    int rows;
    GHashTable *images;
    int faults;
    bool draining, want_return, dead, had_task;
    int pass_to; /* share that it is to pass to, -1: none */
    struct timespec pass_since;
    struct timespec drain_since;
    /* scratch of a round */
    bool open, touched;
    double occupancy, used_cpu, used_gpu, used_mem;
};

void pool_init(const struct settings *s);
void pool_start(void);
void pool_kick(void);

/* With store_lock held. */
struct machine *pool_find(const char *id);
int pool_share_of(const char *id); /* for machines that nobody rented: by their number */
int64_t pool_token(const struct machine *m);
bool pool_mine(struct machine *m); /* ours now; on a change of owner, what was known under another token is forgotten */
void pool_stranger(const char *id, const char *address, const char *sku, const char *site, bool spot);
void pool_job_changed(struct job *j);
bool pool_booking_active(const struct booking *b);
void pool_row(struct machine *m); /* a report came: a row in the occupancy window */
GPtrArray *pool_machines(void);
int64_t pool_gang_open(const struct job *j);
bool pool_may_pass(const struct machine *m); /* in this round */

/* Without the lock: whether one of a few workers answers. */
bool pool_try_workers(struct http_client *c);

struct rent_order {
    char sku[64], site[64];
    bool spot;
    int count, share;
};
int pool_rent_plan(struct rent_order *out, int most);
void pool_rented(int share, const struct rent_order *o, const char *id); /* record it in the next round */
int pool_return_plan(char ids[][64], int most);
void pool_returned(const char *id);
bool pool_known(const char *id); /* recorded, waiting to be, or gone for good */
#endif
