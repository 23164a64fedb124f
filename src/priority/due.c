#include "due.h"

#include <glib.h>
#include <string.h>

#define WAIT_BOUND_S 75            /* nobody is to wait 90 s beside room that fits */
#define WITHOUT_OBJECTIVES_S 300.0 /* the longest time by which anything is expected, where no class has one */

bool due_has_objective(const struct settings *settings, const struct job *job) {
    static const enum settings_objective_kind times[] = {OBJECTIVE_WAIT, OBJECTIVE_FINISHED, OBJECTIVE_DEADLINE};
    for (size_t i = 0; i < G_N_ELEMENTS(times); i++)
        if (settings_has_objective(settings, times[i], job->spec.job_class)) return true;
    return false;
}

/* The longest time by which anything is expected to be done. */
static double longest_objective_s(const struct settings *settings) {
    double longest = 0;
    for (int i = 0; i < settings->n_objectives; i++) {
        const struct settings_objective *objective = &settings->objectives[i];
        if (objective->kind == OBJECTIVE_FINISHED) longest = MAX(longest, objective->within_s);
    }
    return longest > 0 ? longest : WITHOUT_OBJECTIVES_S;
}

/* The shortest time above `after` by which jobs of the class are to be done; -1: none. */
static double next_objective_s(const struct settings *settings, const char *job_class, double after) {
    double next = -1;
    for (int i = 0; i < settings->n_objectives; i++) {
        const struct settings_objective *objective = &settings->objectives[i];
        if (objective->kind != OBJECTIVE_FINISHED || strcmp(objective->job_class, job_class) != 0) continue;
        if (objective->within_s > after && (next < 0 || objective->within_s < next)) next = objective->within_s;
    }
    return next;
}

static bool has_begun(const struct job *job) { return job->allocations->len > 0 || job->n_reported_done > 0; }

/* The first multiple of the missed time, by doubling, that the job can still keep. */
static double next_after_missed_s(double missed_s, double earliest_end_s) {
    double next = missed_s * 2;
    while (earliest_end_s > next) next *= 2;
    return next;
}

double due_time(const struct settings *settings, const struct job *job, double now) {
    double age_s = now - job->ready;
    /* Late or large work must not step back for ever: a job that waits for its first task for this long goes first
     * among those of its priority. */
    if (age_s > WAIT_BOUND_S && !has_begun(job)) return job->ready;

    double earliest_end_s = age_s + job->spec.runtime_s, missed_s = 0;
    for (;;) {
        double next = next_objective_s(settings, job->spec.job_class, missed_s);
        if (next < 0) break;
        if (earliest_end_s <= next) return job->ready + next;
        missed_s = next;
    }
    if (missed_s > 0) return job->ready + next_after_missed_s(missed_s, earliest_end_s);
    if (due_has_objective(settings, job))
        return job->ready + settings_objective_within(settings, OBJECTIVE_WAIT, job->spec.job_class, 0);
    /* Nobody expects it by a time: it takes turns with what is late for the last of all times. Due at once, a guest's
     * arrays without an objective once kept those with one waiting for 400 s. */
    return job->ready + next_after_missed_s(longest_objective_s(settings), earliest_end_s);
}
