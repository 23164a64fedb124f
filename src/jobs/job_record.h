/* Reads and writes the records job/ID. */
#ifndef FF_JOBS_JOB_RECORD_H
#define FF_JOBS_JOB_RECORD_H
#include <stddef.h>

#include "../json/json.h"
#include "../model/job.h"
#include "../settings/settings.h"

/* Called by jobs_init. Keeps the pointer to the settings. The functions below may then be called from any thread, with
 * or without store_lock, except the functions with a struct job as parameter. */
void job_record_init(const struct settings *settings);

/* The fields of a record that change. */
struct job_record {
    enum job_state state;
    double finished_at; /* time of day when the job was done; 0: not done or not recorded */
    int shard;          /* the shard that the record of a divided team's job names; -1: none */
};
/* Reads the fields that change. */
struct job_record job_record_read(const cJSON *data);
/* Return the fields that never change: the submission, which belongs to data, or NULL if the record has none; and the
 * time of day when the job was accepted. */
const cJSON *job_record_submission(const cJSON *data);
double job_record_submitted_at(const cJSON *data);

/* Returns the name of a state, as in records and in responses to users. */
const char *job_record_state_name(enum job_state state);

/* The functions below create values of records, which the caller owns. */

/* Creates the record of a job that is accepted into a shard (-1: the home shard of its team) at a time of day. */
cJSON *jobs_accepted_value(const char *spec_text, enum job_state state, double submitted_at, int shard);

/* The next two functions are called with store_lock held, for a job in no final state. */

/* Creates the record of a job that moves to another shard. */
cJSON *jobs_moved_value(const struct job *job, int shard);
/* Creates the record of a job that enters a final state. */
cJSON *jobs_final_value(const struct job *job, enum job_state state);

/* Returns the maximum size in bytes that allows a record to be rewritten under the store's next value limit. */
size_t jobs_record_bytes_max(void);
/* Returns an upper bound for the size in bytes of a submission's record. */
size_t jobs_record_bytes(const char *spec_text);
#endif
