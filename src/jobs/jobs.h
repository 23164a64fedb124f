/* Jobs: the users' interface, acceptance and cancellation, and the record of each job. */
#ifndef FF_JOBS_H
#define FF_JOBS_H
#include "../store/store.h"

#define JOB_TASKS_MOST 100000
#define JOB_CHUNK 4096 /* tasks whose done bits share one value */

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
    uint8_t *done, *pend; /* recorded, and reported but not yet recorded */
    int n_done, n_pend;
    /* owner's side */
    GPtrArray *bookings; /* struct booking, the machines' property */
    struct timespec retry_at;
    int failures;
    bool hungry; /* tasks found no place in the last round */
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
GPtrArray *jobs_active(void); /* struct job, not terminal, oldest first */
int jobs_share(const struct job *j);
bool jobs_bit(const uint8_t *bits, int i);
void jobs_mark_done(struct job *j, int task);                     /* reported, to be recorded in the next round */
void jobs_adds(struct job *j, struct store_txn *t, int most_ops); /* writes what is pending into t */
bool jobs_dirty(const struct job *j);
bool jobs_running(const struct job *j, int *running);

/* How long the answers took since the last call, in milliseconds; 0 answers: all 0. */
void jobs_latency(int *answers, double *median_ms, double *p95_ms);

bool jobs_route(struct http_req *r); /* true if the path is ours */
#endif
