#include "urgency.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

static const struct settings *settings;

void urgency_init(const struct settings *all_settings) { settings = all_settings; }

static bool is_unfinished(const struct job *job) { return job->recorded && job->state == JOB_QUEUED; }

void urgency_reset(struct job *job) {
    job->effective_priority = job->spec.priority;
    /* A deadline counts only if a deadline objective names the job's class; otherwise the class's other objectives
     * apply. */
    bool deadline_counts = job->recorded && job->spec.deadline_s > 0 &&
                           settings_has_objective(settings, OBJECTIVE_DEADLINE, job->spec.job_class);
    job->effective_deadline = deadline_counts ? job->submitted_at + job->spec.deadline_s : INFINITY;
}

/* Raises the prerequisite's priority to at least that of the dependent, and lowers its deadline to at most the
 * dependent's deadline minus the dependent's run time. Returns whether either changed. */
static bool inherit_urgency(struct job *prerequisite, const struct job *dependent) {
    enum job_priority priority = MAX(prerequisite->effective_priority, dependent->effective_priority);
    double deadline = MIN(prerequisite->effective_deadline, dependent->effective_deadline - dependent->spec.runtime_s);
    bool changed = priority != prerequisite->effective_priority || deadline < prerequisite->effective_deadline;
    prerequisite->effective_priority = priority;
    prerequisite->effective_deadline = deadline;
    return changed;
}

/* Propagates the urgency of the jobs in the queue to their prerequisites, and from these to their own prerequisites as
 * long as anything changes. Frees the queue. The function does not recurse, because chains of dependencies may be
 * thousands of jobs long. */
static void propagate(GQueue *queue) {
    struct job *job;
    while ((job = g_queue_pop_head(queue))) {
        for (guint i = 0; is_unfinished(job) && job->prerequisites && i < job->prerequisites->len; i++) {
            struct job *prerequisite = job->prerequisites->pdata[i];
            if (is_unfinished(prerequisite) && inherit_urgency(prerequisite, job))
                g_queue_push_tail(queue, prerequisite);
        }
    }
    g_queue_free(queue);
}

void urgency_propagate(struct job *job) {
    for (guint i = 0; job->dependents && i < job->dependents->len; i++) {
        const struct job *dependent = job->dependents->pdata[i];
        if (is_unfinished(dependent) && is_unfinished(job)) inherit_urgency(job, dependent);
    }
    GQueue *queue = g_queue_new();
    g_queue_push_tail(queue, job);
    propagate(queue);
}

/* Resets the urgency of all unfinished jobs that the cancelled job depended on, directly or through others. Returns the
 * dependents of these jobs, whose urgency has to be propagated again; the caller frees the queue. */
static GQueue *reset_prerequisites(struct job *cancelled) {
    GHashTable *reset = g_hash_table_new(g_direct_hash, g_direct_equal);
    GQueue *queue = g_queue_new(), *dependents = g_queue_new();
    g_queue_push_tail(queue, cancelled);
    struct job *job;
    while ((job = g_queue_pop_head(queue))) {
        for (guint i = 0; job->prerequisites && i < job->prerequisites->len; i++) {
            struct job *prerequisite = job->prerequisites->pdata[i];
            if (!is_unfinished(prerequisite) || !g_hash_table_add(reset, prerequisite)) continue;
            urgency_reset(prerequisite);
            g_queue_push_tail(queue, prerequisite);
            for (guint k = 0; k < prerequisite->dependents->len; k++)
                g_queue_push_tail(dependents, prerequisite->dependents->pdata[k]);
        }
    }
    g_queue_free(queue);
    g_hash_table_destroy(reset);
    return dependents;
}

void urgency_withdraw(struct job *cancelled) { propagate(reset_prerequisites(cancelled)); }
