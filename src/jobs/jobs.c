#include "jobs.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../membership/membership.h"
#include "../store/keys.h"
#include "../store/store.h"

#define OBSERVERS_MAX 4

static struct {
    const struct settings *settings;
    GHashTable *jobs; /* job id -> struct job */
    struct jobs_observer observers[OBSERVERS_MAX];
    int n_observers;
} registry;

void jobs_subscribe(struct jobs_observer observer) {
    g_assert(registry.n_observers < OBSERVERS_MAX);
    registry.observers[registry.n_observers++] = observer;
}

struct job *jobs_find(const char *job_id) {
    return g_hash_table_lookup(registry.jobs, job_id);
}

struct job *jobs_find_or_stub(const char *job_id) {
    struct job *job = jobs_find(job_id);
    if (job) return job;
    job = g_new0(struct job, 1);
    g_strlcpy(job->spec.job_id, job_id, sizeof job->spec.job_id);
    job->spec.team = job->shard = -1;
    job->effective_priority = PRIORITY_IDLE;
    job->effective_deadline = INFINITY;
    job->allocations = g_ptr_array_new();
    job->eligible_since = clock_now();
    g_hash_table_insert(registry.jobs, job->spec.job_id, job);
    return job;
}

/* Reads the submission from the first record of a job that is read; it is not read from later records. Returns false if
 * the submission is invalid. */
static bool read_submission(struct job *job, const cJSON *data) {
    struct job_spec spec;
    const cJSON *submission = job_record_submission(data);
    const char *invalid_field = job_spec_read(submission, registry.settings, &spec);
    if (!invalid_field && strcmp(spec.job_id, job->spec.job_id) != 0) {
        invalid_field = JOB_SPEC_FIELD_ID;
        job_spec_clear(&spec);
    }
    if (invalid_field) {
        log_error("job/%s: its %s can't be read", job->spec.job_id, invalid_field);
        return false;
    }
    job->spec = spec;
    job->recorded = true;
    job->spec_text = job_spec_canonical_text(submission);
    job->submitted_at = job_record_submitted_at(data);
    job->done_bits = task_bits_new(job->spec.tasks);
    job->reported_done_bits = task_bits_new(job->spec.tasks);
    return true;
}

static void log_final_state(const struct job *job) {
    double now = clock_time_of_day();
    log_info("job %s (%s, %d tasks, estimate %.0f s) is %s %.1f s after submission, %.1f s after it was ready",
             job->spec.job_id, job->spec.job_class, job->spec.tasks, job->spec.runtime_s,
             job_record_state_name(job->state), now - job->submitted_at, job->ready_at > 0 ? now - job->ready_at : 0);
}

/* Sets the final state and frees the data that is no longer needed. */
static void enter_final_state(struct job *job, const struct job_record *record) {
    job->finished_at = record->finished_at;
    job->state = record->state;
    job->ended_at = clock_now();
    if (membership_owns(jobs_shard(job))) log_final_state(job);
    if (job->state == JOB_DONE) job->n_done = job->spec.tasks;
    g_clear_pointer(&job->done_bits, g_free);
    g_clear_pointer(&job->reported_done_bits, g_free);
    g_clear_pointer(&job->spec_text, free);
    chunks_mark_recorded_dirty(job);
}

static void apply_record(const char *job_id, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    if (!data || !job_id_valid(job_id)) return;
    struct job *job = jobs_find_or_stub(job_id);
    bool added = !job->recorded;
    if (added && !read_submission(job, data)) return;
    struct job_record record = job_record_read(data);
    job_lists_move(job, record.shard);
    bool ended = job->state == JOB_QUEUED && record.state != JOB_QUEUED;
    if (ended) enter_final_state(job, &record);
    for (int i = 0; added && i < registry.n_observers; i++)
        if (registry.observers[i].added) registry.observers[i].added(job);
    for (int i = 0; ended && i < registry.n_observers; i++)
        if (registry.observers[i].ended) registry.observers[i].ended(job);
    jobs_update_lists(job);
    for (int i = 0; i < registry.n_observers; i++)
        if (registry.observers[i].applied) registry.observers[i].applied(job);
}

void jobs_init(const struct settings *settings) {
    registry.settings = settings;
    registry.jobs = g_hash_table_new(g_str_hash, g_str_equal);
    chunks_init(settings);
    job_record_init(settings);
    job_lists_init(settings);
    store_observe_prefix(STORE_PREFIX_JOB, apply_record);
}
