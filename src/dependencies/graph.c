/* Links jobs with their prerequisites when records are read, and counts the unmet prerequisites of each job. */
#include <glib.h>
#include <stdbool.h>

#include "../clock/clock.h"
#include "../events/events.h"
#include "../jobs/jobs.h"
#include "cascade.h"
#include "dependencies.h"
#include "urgency.h"

bool dependencies_unmet(const struct job *job) { return job->n_unmet_prerequisites > 0; }

/* Adds the job and its prerequisites to each other's lists of dependents and prerequisites, which live as long as their
 * jobs. Called once per job. */
static void link_prerequisites(struct job *job) {
    if (!job->spec.prerequisites) return;
    job->prerequisites = g_ptr_array_new();
    for (char **job_id = job->spec.prerequisites; *job_id; job_id++) {
        struct job *prerequisite = jobs_find_or_stub(*job_id);
        if (!prerequisite->dependents) prerequisite->dependents = g_ptr_array_new();
        g_ptr_array_add(job->prerequisites, prerequisite);
        g_ptr_array_add(prerequisite->dependents, job);
    }
}

/* Recounts the unmet prerequisites and sets the time from which the job's waiting time counts: the end of the
 * prerequisite that ended last, but not before the submission. That time comes from the records, so that it is the same
 * for every owner of the shard. Records of the first version have no end time, but are older than any job with
 * prerequisites. */
static void update_unmet(struct job *job) {
    double ready_since = job->submitted_at;
    job->n_unmet_prerequisites = 0;
    for (guint i = 0; job->prerequisites && i < job->prerequisites->len; i++) {
        const struct job *prerequisite = job->prerequisites->pdata[i];
        job->n_unmet_prerequisites += !(prerequisite->recorded && prerequisite->state == JOB_DONE);
        ready_since = MAX(ready_since, prerequisite->finished_at);
    }
    if (job->n_unmet_prerequisites == 0 && job->ready_at <= 0) job->eligible_since = clock_now();
    job->ready_at = job->n_unmet_prerequisites ? 0 : ready_since;
}

/* Observers of jobs, called with store_lock held. */

static void job_added(struct job *job) {
    link_prerequisites(job);
    urgency_reset(job);
    update_unmet(job);
    urgency_propagate(job);
    cascade_check(job);
}

static void job_ended(struct job *job) {
    bool cancelled = job->state == JOB_CANCELLED;
    for (guint i = 0; job->dependents && i < job->dependents->len; i++) {
        struct job *dependent = job->dependents->pdata[i];
        if (!dependent->recorded) continue;
        update_unmet(dependent);
        if (cancelled) cascade_mark(dependent);
    }
    if (cancelled) urgency_withdraw(job);
    if (job->dependents) events_publish(EVENT_SCHEDULE);
}

void dependencies_init(const struct settings *settings) {
    urgency_init(settings);
    cascade_init(settings);
    jobs_subscribe((struct jobs_observer){.added = job_added, .ended = job_ended});
}
