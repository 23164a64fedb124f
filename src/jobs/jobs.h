/* Jobs: the record of each, and what is known of its tasks. */
#ifndef FF_JOBS_H
#define FF_JOBS_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../json/json.h"
#include "../store/store.h"
#include "job_spec.h"

enum job_state { JOB_QUEUED, JOB_DONE, JOB_CANCELLED };

struct allocation;
struct job {
    struct job_spec spec;
    bool known; /* false: only heard of through an allocation */
    char *spec_text;
    int shard; /* that its record names, of a divided team's job; -1: its team's home */
    enum job_state state;
    double submitted; /* time of day of the acceptance */
    double finished;  /* time of day at which its record says done; 0: not done, or recorded by the first version */
    struct timespec eligible_since; /* since when it may start, as far as we know */
    /* kept by chains */
    GPtrArray *prerequisites, *dependents; /* struct job; NULL: none */
    int unmet;                             /* prerequisites whose record does not say done */
    double ready;                          /* time of day from which its times count; 0: it waits for others */
    enum job_priority priority;            /* the highest of its own and its unfinished dependents' */
    double deadline;                       /* time of day by which it is to be done for its own and their sake */
    bool prerequisite_cancelled;           /* one of them, directly or through others: it is to be cancelled */
    bool cascade_owned;                    /* and we told a user of it */
    struct timespec cascade_since;
    bool cancel_acknowledged;      /* we told its user so: its tasks end even if their owner never learns of it */
    struct timespec ended;         /* when we learned of its final state */
    uint8_t *done, *reported_done; /* recorded, and reported but not yet recorded */
    int n_done, n_reported_done;
    GPtrArray *allocations; /* struct allocation */
    uint8_t *chunk_flags;   /* per chunk of tasks: 1 the store has a record, 2 what we know differs from it */
    int n_recorded_chunks, n_dirty_chunks;
    int chunk_size; /* tasks a record holds; 0: not known yet, that of the first layout */
    bool listed_active, listed_ended;
    /* owner's side */
    struct timespec dirty_since; /* since when something waits to be written */
    struct timespec retry_at;
    /* kept by failures */
    int failed_tries;          /* since it is suspect; 0: it is not */
    int failed_tries_recorded; /* what its first record of allocations says of them */
    GPtrArray *failed_on;      /* ids of machines, since a task of it last completed; NULL: none */
    const char *zone;          /* where machines are being gathered for a gang that stays together; NULL: not decided */
    int replicas_at_risk; /* replicas on machines that went silent with their zone: they may have to start elsewhere
                             soon */
    bool unplaced;        /* tasks found no place in the last round */
    struct timespec preempted_at;
};

char *jobs_bits_text(const uint8_t *bits, int from, int n);
void jobs_bits_read(const char *text, uint8_t *bits, int from, int n);

void jobs_init(const struct settings *s);
/* With store_lock held. */
struct job *jobs_find(const char *job_id);
struct job *jobs_find_or_stub(const char *job_id);
GPtrArray *jobs_active(void);     /* struct job, not terminal, oldest first */
GPtrArray *jobs_active_of(int k); /* those of a shard, oldest first */
GPtrArray *jobs_ended_of(int k);  /* terminal, with allocations still on record */
void jobs_list(struct job *j);    /* puts it into the lists that it belongs to by now */
int jobs_shard(const struct job *j);
bool jobs_any_foreign(void); /* an unfinished job is in another shard than its team's home */
bool jobs_bit(const uint8_t *bits, int i);
void jobs_mark_done(struct job *j, int task);  /* reported, to be recorded in the next round */
bool jobs_complete(const struct job *j);       /* all tasks reported done, and the record does not say so yet */
void jobs_mark_dirty(struct job *j, int task); /* what is known of the task differs from its record */
void jobs_set_chunk_size(struct job *j, int chunk_size); /* its records have that chunk size from now on */
void jobs_set_chunk_recorded(struct job *j, int chunk,
                             bool there); /* a record of its allocations was read or written */
void jobs_done_bits(struct job *j, const char *bits, int from, int n);
/* Values of a job's record: as accepted into a shard, moved to another, and in a final state. */
cJSON *jobs_value(const char *spec_text, enum job_state state, double at, int shard);
cJSON *jobs_moved_value(const struct job *j, int shard);
cJSON *jobs_final_value(const struct job *j, enum job_state state);
/* Bytes that a record may take, so that it can be rewritten under the service's next limit, and those of a spec's. */
size_t jobs_record_bytes_max(void);
size_t jobs_record_bytes(const char *spec_text);
const char *jobs_state_name(const struct job *j, int *running);
bool jobs_running(const struct job *j, int *running);

#endif
