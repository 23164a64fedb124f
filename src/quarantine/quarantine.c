#include "quarantine.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <string.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../membership/membership.h"

#define SUSPECT_MACHINES_MIN 2        /* a job that has failed on this many machines and completed no task is suspect */
#define FAULTY_JOBS_MIN 2             /* a machine on which this many jobs have failed is faulty */
#define REMEMBERED_FAILURES_MAX 8     /* machines remembered per job, and jobs per machine */
#define UNSUSPECTED_RETRY_DELAY_S 1.0 /* for a job that is not suspect, per machine on which it has failed */
#define FAILED_TRIES_MAX 16           /* the delay reaches QUARANTINE_RETRY_DELAY_MAX_S before */

double quarantine_retry_delay_s(int failed_tries) {
    return fmin(QUARANTINE_RETRY_DELAY_MAX_S, exp2(CLAMP(failed_tries, 1, FAILED_TRIES_MAX)));
}

/* ---- failures ---- */

bool quarantine_job_suspect(const struct job *job) { return job->failed_tries > 0; }

bool quarantine_failed_on(const struct job *job, const struct machine *machine) {
    for (guint i = 0; job->failed_on && i < job->failed_on->len; i++)
        if (strcmp(job->failed_on->pdata[i], machine->id) == 0) return true;
    return false;
}

int quarantine_machine_failures(const struct machine *machine) {
    int failures = 0;
    for (guint i = 0; machine->failed_jobs && i < machine->failed_jobs->len; i++)
        failures += !quarantine_job_suspect(machine->failed_jobs->pdata[i]);
    return failures;
}

bool quarantine_machine_faulty(const struct machine *machine) {
    return quarantine_machine_failures(machine) >= FAULTY_JOBS_MIN;
}

static void remember_failure(struct job *job, struct machine *machine) {
    if (!job->failed_on) job->failed_on = g_ptr_array_new_with_free_func(g_free);
    if (!quarantine_failed_on(job, machine) && job->failed_on->len < REMEMBERED_FAILURES_MAX)
        g_ptr_array_add(job->failed_on, g_strdup(machine->id));
    if (!machine->failed_jobs) machine->failed_jobs = g_ptr_array_new();
    if (!g_ptr_array_find(machine->failed_jobs, job, NULL) && machine->failed_jobs->len < REMEMBERED_FAILURES_MAX)
        g_ptr_array_add(machine->failed_jobs, job);
}

/* ---- retries ---- */

static void retry_in(struct job *job, double delay_s) { job->retry_at = clock_now_plus(clock_from_seconds(delay_s)); }

/* Several tasks may fail in one try: all tasks of a gang, or the many tasks of a job that was not suspect yet. Failures
 * that arrive while the job already waits for the next try belong to the same try. */
static void count_failed_try(struct job *job) {
    bool waiting = clock_seconds_since(job->retry_at) < 0;
    if (quarantine_job_suspect(job) && waiting) return;
    job->failed_tries = MIN(job->failed_tries + 1, FAILED_TRIES_MAX);
    double delay_s = quarantine_retry_delay_s(job->failed_tries);
    retry_in(job, delay_s);
    chunks_mark_dirty(job, 0); /* the first allocation record stores the number of failed tries */
    log_info("job %s: quarantined, its tasks fail on several machines, next try in %.0f s", job->spec.job_id, delay_s);
}

void quarantine_record_failure(struct job *job, struct machine *machine) {
    remember_failure(job, machine);
    bool anything_done = job->n_reported_done > 0;
    if (quarantine_job_suspect(job) || (job->failed_on->len >= SUSPECT_MACHINES_MIN && !anything_done)) {
        count_failed_try(job);
    } else {
        retry_in(job, UNSUSPECTED_RETRY_DELAY_S * job->failed_on->len);
    }
}

void quarantine_record_success(struct job *job) {
    if (quarantine_job_suspect(job)) {
        log_info("job %s: released from quarantine", job->spec.job_id);
        job->failed_tries = 0;
        job->retry_at = clock_now();
        chunks_mark_dirty(job, 0);
    }
    if (job->failed_on) g_ptr_array_set_size(job->failed_on, 0);
}

/* ---- records ---- */

int quarantine_tries_to_record(const struct job *job) { return job->state == JOB_QUEUED ? job->failed_tries : 0; }

void quarantine_restore(struct job *job, int recorded_tries) {
    job->failed_tries_recorded = CLAMP(recorded_tries, 0, FAILED_TRIES_MAX);
    /* The owner's own count may be newer than the record; other controllers only have the record. */
    if (!membership_owns(jobs_shard(job))) job->failed_tries = job->failed_tries_recorded;
}
