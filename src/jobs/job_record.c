#include "job_record.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "../clock/clock.h"
#include "job_spec.h"

/* Fields of a record. A submission with prerequisites has a field of its own: the first version of the program, which
 * does not support prerequisites, finds no submission and ignores the job instead of starting it too early. */
#define FIELD_SUBMISSION "spec"
#define FIELD_SUBMISSION_WITH_PREREQUISITES "chained_spec"
#define FIELD_STATE "state"
#define FIELD_SUBMITTED_AT "at"
#define FIELD_FINISHED_AT "end"
#define FIELD_SHARD "share"

#define OTHER_FIELDS_BYTES 100 /* maximum size of a record without the submission */
#define BYTES_PER_KIB 1024

static const char *const state_names[] = {[JOB_QUEUED] = "queued", [JOB_DONE] = "done", [JOB_CANCELLED] = "cancelled"};

static const struct settings *settings;

void job_record_init(const struct settings *all_settings) { settings = all_settings; }

const char *job_record_state_name(enum job_state state) { return state_names[state]; }

/* ---- Reading ---- */

/* Any state but done and cancelled is read as queued. */
static enum job_state read_state(const cJSON *data) {
    const char *name = json_get_string(data, FIELD_STATE);
    for (int i = JOB_DONE; name && i <= JOB_CANCELLED; i++)
        if (strcmp(name, state_names[i]) == 0) return (enum job_state)i;
    return JOB_QUEUED;
}

static int read_shard(const cJSON *data) {
    int64_t shard;
    return json_get_int64(data, FIELD_SHARD, &shard) && shard < settings->n_shards ? (int)shard : -1;
}

struct job_record job_record_read(const cJSON *data) {
    struct job_record record = {.state = read_state(data), .shard = read_shard(data)};
    if (record.state == JOB_DONE) record.finished_at = json_get_double(data, FIELD_FINISHED_AT, 0);
    return record;
}

const cJSON *job_record_submission(const cJSON *data) {
    const cJSON *submission = cJSON_GetObjectItemCaseSensitive(data, FIELD_SUBMISSION);
    return submission ? submission : cJSON_GetObjectItemCaseSensitive(data, FIELD_SUBMISSION_WITH_PREREQUISITES);
}

double job_record_submitted_at(const cJSON *data) { return json_get_double(data, FIELD_SUBMITTED_AT, 0); }

/* ---- Writing ---- */

/* Frees the submission. The record has its known fields only. */
static cJSON *new_record_value(cJSON *submission, enum job_state state, double submitted_at, int shard) {
    bool has_prerequisites = job_spec_names_prerequisites(submission);
    int team = job_spec_read_team(submission, settings);
    cJSON *value = cJSON_CreateObject();
    cJSON_AddItemToObject(value, has_prerequisites ? FIELD_SUBMISSION_WITH_PREREQUISITES : FIELD_SUBMISSION,
                          job_spec_canonical(submission));
    cJSON_Delete(submission);
    cJSON_AddStringToObject(value, FIELD_STATE, state_names[state]);
    cJSON_AddNumberToObject(value, FIELD_SUBMITTED_AT, submitted_at);
    /* Older versions do not know the shard field, so it is written only for a job outside its team's home shard. */
    if (team >= 0 && shard >= 0 && shard != settings_home_shard(settings, team))
        cJSON_AddNumberToObject(value, FIELD_SHARD, shard);
    return value;
}

cJSON *jobs_accepted_value(const char *spec_text, enum job_state state, double submitted_at, int shard) {
    /* The submission is parsed, not added as raw text, because the value is applied to the mirror after the write. */
    return new_record_value(cJSON_Parse(spec_text), state, submitted_at, shard);
}

cJSON *jobs_moved_value(const struct job *job, int shard) {
    return jobs_accepted_value(job->spec_text, job->state, job->submitted_at, shard);
}

cJSON *jobs_final_value(const struct job *job, enum job_state state) {
    cJSON *submission = cJSON_Parse(job->spec_text);
    /* The first version accepted records up to the store's current value limit, which may be above the next one. From
     * such a record, the fields of the submission that aren't required are removed; they have no use after the end of
     * the job. */
    if (jobs_record_bytes(job->spec_text) > jobs_record_bytes_max()) job_spec_keep_required(submission);
    cJSON *value = new_record_value(submission, state, job->submitted_at, job->shard);
    /* Dependents become ready at this time; the controllers that own their shards read it from the record. */
    if (state == JOB_DONE) cJSON_AddNumberToObject(value, FIELD_FINISHED_AT, clock_time_of_day());
    return value;
}

size_t jobs_record_bytes_max(void) { return (size_t)(settings->next_value_max_kb * BYTES_PER_KIB); }
size_t jobs_record_bytes(const char *spec_text) { return strlen(spec_text) + OTHER_FIELDS_BYTES; }
