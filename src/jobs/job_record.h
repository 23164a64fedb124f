/* The codec of the records job/ID. */
#ifndef FF_JOBS_JOB_RECORD_H
#define FF_JOBS_JOB_RECORD_H
#include <stddef.h>

#include "../json/json.h"
#include "../model/job.h"
#include "../settings/settings.h"

/* By jobs_init. The functions below may then be called from any thread, with or without the lock, but for those that
 * are given a job. */
void job_record_init(const struct settings *settings);

/* What changes in a record. */
struct job_record {
    enum job_state state;
    double finished; /* time of day at which a done job ended; 0: not done, or not recorded */
    int shard;       /* that a record of a divided team's job names; -1: none */
};
/* Reads what changes in the course of a job. */
struct job_record job_record_read(const cJSON *data);
/* What doesn't: the submission, which belongs to data (NULL: there is none), and the time of day of its acceptance. */
const cJSON *job_record_submission(const cJSON *data);
double job_record_submitted(const cJSON *data);

/* The name of a state, on record and in answers to users. */
const char *job_record_state_name(enum job_state state);

/* Values of a record; the caller owns them. */

/* Of a job that is accepted into a shard (-1: its team's home) at a time of day. */
cJSON *jobs_accepted_value(const char *spec_text, enum job_state state, double at, int shard);

/* With store_lock held, of a job in no final state. */

/* Of a job that moves to another shard. */
cJSON *jobs_moved_value(const struct job *job, int shard);
/* Of a job that enters a final state. */
cJSON *jobs_final_value(const struct job *job, enum job_state state);

/* Bytes that a record may take, so that it can be rewritten under the store's next limit, and those that the record of
 * a submission takes. */
size_t jobs_record_bytes_max(void);
size_t jobs_record_bytes(const char *spec_text);
#endif
