#include "urgency.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

static const struct settings *settings;

void urgency_init(const struct settings *all_settings) { settings = all_settings; }

static bool is_unfinished(const struct job *job) { return job->known && job->state == JOB_QUEUED; }

void urgency_reset(struct job *job) {
    job->priority = job->spec.priority;
    /* Where no objective of its class counts deadlines, its other objectives say what is wanted. */
    bool counts = job->known && job->spec.deadline_s > 0 &&
                  settings_has_objective(settings, OBJECTIVE_DEADLINE, job->spec.job_class);
    job->deadline = counts ? job->submitted + job->spec.deadline_s : INFINITY;
}

/* A dependent's priority, and its deadline less the time that it runs itself. True if that changed anything. */
static bool inherit(struct job *prerequisite, const struct job *dependent) {
    enum job_priority priority = MAX(prerequisite->priority, dependent->priority);
    double deadline = MIN(prerequisite->deadline, dependent->deadline - dependent->spec.runtime_s);
    bool changed = priority != prerequisite->priority || deadline < prerequisite->deadline;
    prerequisite->priority = priority;
    prerequisite->deadline = deadline;
    return changed;
}

/* Passes the urgency of the queue's jobs on to their prerequisites, and on from these, as far as it changes anything.
 * Jobs may depend on one another thousands of levels deep: a queue, no recursion. Frees the queue. */
static void pass_on(GQueue *queue) {
    struct job *job;
    while ((job = g_queue_pop_head(queue))) {
        for (guint i = 0; is_unfinished(job) && job->prerequisites && i < job->prerequisites->len; i++) {
            struct job *prerequisite = job->prerequisites->pdata[i];
            if (is_unfinished(prerequisite) && inherit(prerequisite, job)) g_queue_push_tail(queue, prerequisite);
        }
    }
    g_queue_free(queue);
}

void urgency_link(struct job *job) {
    for (guint i = 0; job->dependents && i < job->dependents->len; i++) {
        const struct job *dependent = job->dependents->pdata[i];
        if (is_unfinished(dependent) && is_unfinished(job)) inherit(job, dependent);
    }
    GQueue *queue = g_queue_new();
    g_queue_push_tail(queue, job);
    pass_on(queue);
}

/* Resets all unfinished jobs that the cancelled one depended on, directly or through others. Returns the dependents of
 * each of them, whose urgency is to be passed on again; the caller frees the queue. */
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

void urgency_withdraw(struct job *cancelled) { pass_on(reset_prerequisites(cancelled)); }
