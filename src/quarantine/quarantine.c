#include "quarantine.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <string.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../membership/membership.h"

#define SUSPECT_MACHINES 2 /* a job that fails on so many is suspect */
#define FAULTY_JOBS 2      /* a machine on which so many jobs fail is faulty */
#define EVIDENCE_MAX 8     /* machines remembered a job, and jobs a machine */
#define SOUND_RETRY_S 1.0  /* a job that is not suspect starts elsewhere after that, for each machine it failed on */
#define TRIES_MAX 16       /* enough for the longest pause */

double quarantine_retry_s(int tries) { return MIN(QUARANTINE_RETRY_MAX_S, exp2(CLAMP(tries, 1, TRIES_MAX))); }

bool quarantine_job_suspect(const struct job *j) { return j->failed_tries > 0; }

bool quarantine_failed_on(const struct job *j, const struct machine *m) {
    for (guint i = 0; j->failed_on && i < j->failed_on->len; i++)
        if (strcmp(j->failed_on->pdata[i], m->id) == 0) return true;
    return false;
}

static void remember(struct job *j, struct machine *m) {
    if (!j->failed_on) j->failed_on = g_ptr_array_new_with_free_func(g_free);
    if (!quarantine_failed_on(j, m) && j->failed_on->len < EVIDENCE_MAX) g_ptr_array_add(j->failed_on, g_strdup(m->id));
    if (!m->failed_jobs) m->failed_jobs = g_ptr_array_new();
    if (!g_ptr_array_find(m->failed_jobs, j, NULL) && m->failed_jobs->len < EVIDENCE_MAX)
        g_ptr_array_add(m->failed_jobs, j);
}

/* A try may be one task or a whole gang, and a job's first failures come by the dozen: those that come while the job
 * waits already are of the same try. */
static void count_try(struct job *j) {
    if (quarantine_job_suspect(j) && clock_seconds_since(j->retry_at) < 0) return;
    j->failed_tries = MIN(j->failed_tries + 1, TRIES_MAX);
    j->retry_at = clock_instant_in(clock_from_seconds(quarantine_retry_s(j->failed_tries)));
    jobs_mark_dirty(j, 0); /* the first record of its allocations says so */
    log_info("job %s: quarantined, fails on every machine, retrying in %.0f s", j->spec.job_id,
             quarantine_retry_s(j->failed_tries));
}

void quarantine_record_failure(struct job *j, struct machine *m) {
    remember(j, m);
    bool anything_done = j->n_reported_done > 0;
    if (quarantine_job_suspect(j) || (j->failed_on->len >= SUSPECT_MACHINES && !anything_done))
        count_try(j);
    else
        j->retry_at = clock_instant_in(clock_from_seconds(SOUND_RETRY_S * j->failed_on->len));
}

void quarantine_record_success(struct job *j) {
    if (!j->failed_on && !j->failed_tries) return;
    if (j->failed_tries) {
        log_info("job %s: released from quarantine", j->spec.job_id);
        j->failed_tries = 0;
        j->retry_at = clock_now();
        jobs_mark_dirty(j, 0);
    }
    if (j->failed_on) g_ptr_array_set_size(j->failed_on, 0);
}

int quarantine_machine_failures(const struct machine *m) {
    int n = 0;
    for (guint i = 0; m->failed_jobs && i < m->failed_jobs->len; i++)
        n += !quarantine_job_suspect(m->failed_jobs->pdata[i]);
    return n;
}

bool quarantine_machine_faulty(const struct machine *m) { return quarantine_machine_failures(m) >= FAULTY_JOBS; }

int quarantine_recorded_tries(const struct job *j) { return j->state == JOB_QUEUED ? j->failed_tries : 0; }

void quarantine_restore(struct job *j, int recorded) {
    j->failed_tries_recorded = CLAMP(recorded, 0, TRIES_MAX);
    /* What its owner knows may be newer than what is on record; all others know no more than the record. */
    if (!membership_owns(jobs_shard(j))) j->failed_tries = j->failed_tries_recorded;
}
