/* Links jobs with their prerequisites as records arrive, and counts the unmet ones. */
#include <glib.h>
#include <stdbool.h>

#include "../clock/clock.h"
#include "../events/events.h"
#include "../jobs/jobs.h"
#include "cascade.h"
#include "dependencies.h"
#include "urgency.h"

bool dependencies_unmet(const struct job *job) { return job->unmet > 0; }

/* The lists of a job that is linked for the first time are made here; they live as long as the job. */
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

/* Counts the unmet prerequisites anew. The job's times count from the end of the last prerequisite, by the records, so
 * that every owner counts alike. A record of the first version names no end; it is older than any job with
 * prerequisites. */
static void update_unmet(struct job *job) {
    double ready = job->submitted;
    job->unmet = 0;
    for (guint i = 0; job->prerequisites && i < job->prerequisites->len; i++) {
        const struct job *prerequisite = job->prerequisites->pdata[i];
        job->unmet += !(prerequisite->known && prerequisite->state == JOB_DONE);
        ready = MAX(ready, prerequisite->finished);
    }
    if (job->unmet == 0 && job->ready <= 0) job->eligible_since = clock_now();
    job->ready = job->unmet ? 0 : ready;
}

/* Observers of jobs, with store_lock held. */

static void job_added(struct job *job) {
    link_prerequisites(job);
    urgency_reset(job);
    update_unmet(job);
    urgency_link(job);
    cascade_check(job);
}

static void job_ended(struct job *job) {
    bool cancelled = job->state == JOB_CANCELLED;
    for (guint i = 0; job->dependents && i < job->dependents->len; i++) {
        struct job *dependent = job->dependents->pdata[i];
        if (!dependent->known) continue;
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
