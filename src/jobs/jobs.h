/* Jobs: the record of each, and what is known of its tasks. */
#ifndef FF_JOBS_H
#define FF_JOBS_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../json/json.h"
#include "../model/job.h"
#include "../store/store.h"
#include "job_spec.h"

char *jobs_bits_text(const uint8_t *bits, int from, int n);
void jobs_bits_read(const char *text, uint8_t *bits, int from, int n);

void jobs_init(const struct settings *s);

/* Those who want to know when a job's record was taken in. Called with store_lock held, in the order of subscription;
 * a member may be NULL. */
struct jobs_observer {
    void (*added)(struct job *job);   /* its record was read for the first time; records come in any order */
    void (*ended)(struct job *job);   /* its record says done or cancelled now */
    void (*applied)(struct job *job); /* it is in the lists that it belongs to by now */
};
void jobs_subscribe(struct jobs_observer observer); /* before the mirror is started */

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
