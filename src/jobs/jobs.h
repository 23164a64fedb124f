/* Jobs: the users' interface, acceptance and cancellation, and the record of each job. */
#ifndef FF_JOBS_H
#define FF_JOBS_H
#include "../store/store.h"

#define JOB_TASKS_MOST 100000

enum job_shape { JOB_BATCH, JOB_GROUP, JOB_STANDING };
enum job_rank { RANK_IDLE, RANK_NORMAL, RANK_HIGH, RANK_PRODUCTION };
enum job_state { JOB_QUEUED, JOB_DONE, JOB_CANCELLED };

struct job_spec {
    char uid[64];
    char *jobclass, *image, *site;
    char **flavours;
    int team; /* -1: unknown */
    enum job_shape shape;
    enum job_rank rank;
    int tasks;
    double vcpus, gpus, memory_gb, pull_gb;
    bool together, spread, reclaimable;
    double runtime_s, checkpoint_s, flush_s, due_s;
};

struct booking;
struct job {
    struct job_spec spec;
    bool known; /* false: only heard of through a booking */
    char *spec_text;
    enum job_state state;
    double submitted; /* time of day of the acceptance */
    struct timespec seen;
    bool told_cancelled;   /* we told its user so: its tasks end even if their owner never learns of it */
    struct timespec ended; /* when we learned of its final state */
    uint8_t *done, *pend;  /* recorded, and reported but not yet recorded */
    int n_done, n_pend;
    GPtrArray *bookings; /* struct booking */
    uint8_t *runs;       /* per chunk of tasks: 1 the store has a record, 2 what we know differs from it */
    int n_runs, n_touched;
    bool listed_active, listed_ended;
    /* owner's side */
    struct timespec touched; /* since when something waits to be written */
    struct timespec retry_at;
    int failures;
    const char *zone; /* where machines are being gathered for a gang that stays together; NULL: not decided */
    int at_risk;      /* replicas on machines that went silent with their zone: they may have to start elsewhere soon */
    bool hungry;      /* tasks found no place in the last round */
    struct timespec preempted;
};

/* Pure. 0, or 400/422 with the field (and reason) named. */
struct flavour_info {
    char sku[64];
    double vcpus, gpus, memory_gb, local_gb, fetch_rate, hourly, market, startup_s;
    char *sites[32];
    int n_sites;
};
int jobs_parse(const char *body, size_t len, const struct settings *s, struct job_spec *out, char *field, size_t n);
int jobs_feasible(const struct job_spec *j, const struct settings *s, const struct flavour_info *f, int nf, char *why,
                  size_t n);
void jobs_spec_clear(struct job_spec *j);
bool jobs_uid_ok(const char *uid);
char *jobs_bits_text(const uint8_t *bits, int from, int n);
void jobs_bits_read(const char *text, uint8_t *bits, int from, int n);

void jobs_init(const struct settings *s);
void jobs_start(void);
/* With store_lock held. */
struct job *jobs_find(const char *uid);
struct job *jobs_find_or_stub(const char *uid);
GPtrArray *jobs_active(void);     /* struct job, not terminal, oldest first */
GPtrArray *jobs_active_of(int k); /* those of a share, oldest first */
GPtrArray *jobs_ended_of(int k);  /* terminal, with bookings still on record */
void jobs_list(struct job *j);    /* puts it into the lists that it belongs to by now */
int jobs_share(const struct job *j);
bool jobs_bit(const uint8_t *bits, int i);
void jobs_mark_done(struct job *j, int task); /* reported, to be recorded in the next round */
bool jobs_complete(const struct job *j);      /* all tasks reported done, and the record does not say so yet */
void jobs_touch(struct job *j, int task);     /* what is known of the task differs from its record */
void jobs_run_record(struct job *j, int chunk, bool there); /* a record of its bookings was read or written */
void jobs_done_bits(struct job *j, const char *bits, int from, int n);
cJSON *jobs_value(const char *spec_text, const char *state, double at);
bool jobs_running(const struct job *j, int *running);

/* How long the answers took since the last call, in milliseconds; 0 answers: all 0. */
void jobs_latency(int *answers, double *median_ms, double *p95_ms);

bool jobs_route(struct http_req *r); /* true if the path is ours */
#endif
