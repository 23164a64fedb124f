#include "due.h"

#include <glib.h>
#include <string.h>

#define FIRST_TASK_WAIT_MAX_S 75  /* no job may wait 90 s while a machine has room for it */
#define DEFAULT_OBJECTIVE_S 300.0 /* longest objective if no class has one */

bool due_has_objective(const struct settings *settings, const struct job *job) {
    static const enum settings_objective_kind timed_kinds[] = {OBJECTIVE_WAIT, OBJECTIVE_FINISHED, OBJECTIVE_DEADLINE};
    for (size_t i = 0; i < G_N_ELEMENTS(timed_kinds); i++)
        if (settings_has_objective(settings, timed_kinds[i], job->spec.job_class)) return true;
    return false;
}

/* Returns the longest completion objective of all classes. */
static double longest_objective_s(const struct settings *settings) {
    double longest = 0;
    for (int i = 0; i < settings->n_objectives; i++) {
        const struct settings_objective *objective = &settings->objectives[i];
        if (objective->kind == OBJECTIVE_FINISHED) longest = MAX(longest, objective->within_s);
    }
    return longest > 0 ? longest : DEFAULT_OBJECTIVE_S;
}

/* Returns the class's shortest completion objective that is longer than `after`; -1 if there is none. */
static double next_objective_s(const struct settings *settings, const char *job_class, double after) {
    double next = -1;
    for (int i = 0; i < settings->n_objectives; i++) {
        const struct settings_objective *objective = &settings->objectives[i];
        if (objective->kind != OBJECTIVE_FINISHED || strcmp(objective->job_class, job_class) != 0) continue;
        if (objective->within_s > after && (next < 0 || objective->within_s < next)) next = objective->within_s;
    }
    return next;
}

static bool has_started_tasks(const struct job *job) { return job->allocations->len > 0 || job->n_reported_done > 0; }

/* Doubles the missed objective, at least once, until the job can still meet it. */
static double next_after_missed_s(double missed_s, double earliest_end_s) {
    double next = missed_s * 2;
    while (earliest_end_s > next) next *= 2;
    return next;
}

double job_due_time(const struct settings *settings, const struct job *job, double now) {
    double age_s = now - job->ready_at;
    /* A job that has waited this long for its first task goes before the other jobs of its priority, so that late and
     * large jobs do not wait forever. */
    if (age_s > FIRST_TASK_WAIT_MAX_S && !has_started_tasks(job)) return job->ready_at;

    double earliest_end_s = age_s + job->spec.runtime_s, missed_s = 0;
    for (;;) {
        double next = next_objective_s(settings, job->spec.job_class, missed_s);
        if (next < 0) break;
        if (earliest_end_s <= next) return job->ready_at + next;
        missed_s = next;
    }
    if (missed_s > 0) return job->ready_at + next_after_missed_s(missed_s, earliest_end_s);
    if (due_has_objective(settings, job))
        return job->ready_at + settings_shortest_objective_s(settings, OBJECTIVE_WAIT, job->spec.job_class, 0);
    /* A job without an objective ranks like a job that has missed the longest objective. When such jobs were treated as
     * due at once, one team's arrays without an objective kept arrays with an objective waiting for 400 s. */
    return job->ready_at + next_after_missed_s(longest_objective_s(settings), earliest_end_s);
}
