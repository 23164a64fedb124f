#include "preemptible.h"

#include <glib.h>

#include "../clock/clock.h"
#include "../machines/machines.h"
#include "../priority/priority.h"
#include "../quota/quota.h"
#include "internal.h"
#include "team_usage.h"

#define LEAST_EXCESS 1e-3      /* beyond its guarantee, of a team whose task asks for no GPU */
#define COUNTS_AS_STARTED_S 32 /* that a task has run */
#define STOP_DELAY_S 1         /* until a task that is to stop begins its checkpoint */
#define FETCH_RATE_LEAST 1e-3  /* GB per second */
#define NO_OBJECTIVE_S 1e9

/* A team that stays within its guarantee with the job, against one that stays at or above its own without the task: two
 * teams that each had some work beyond their guarantees once preempted one another's tasks for minutes. */
static bool guarantee_claims(const struct allocation *allocation, const struct job *job) {
    const struct job_spec *holder = &allocation->job->spec;
    double needed_excess = holder->gpus > LEAST_EXCESS ? holder->gpus : LEAST_EXCESS;
    return holder->team != job->spec.team &&
           preemption_over_guarantee(job->spec.team) + job->spec.gpus <= PRIORITY_SUM_TOLERANCE &&
           preemption_over_guarantee(holder->team) >= needed_excess && quota_may_preempt(allocation);
}

bool preemption_allowed(const struct allocation *allocation, const struct priority_entry *entry) {
    if (allocation->released || allocation->stop_requested || allocation->job->spec.kind != JOB_ARRAY) return false;
    if (allocation->job->priority < entry->job->priority) return true;
    return entry->within_guarantee && guarantee_claims(allocation, entry->job);
}

bool preemption_recently_started(const struct allocation *allocation) {
    return allocation->state == TASK_NOT_LISTED || allocation->state == TASK_FETCHING ||
           (allocation->state == TASK_RUNNING && clock_seconds_since(allocation->state_since) < COUNTS_AS_STARTED_S);
}

double preemption_grace_s(const struct job_spec *spec, double at_most) {
    double grace_s = spec->checkpoint_flush_s + STOP_DELAY_S;
    return spec->checkpoint_s > 0 && grace_s < at_most ? grace_s : 0;
}

bool preemption_clears_machine(const struct machine *machine) {
    if (machine->spot || machines_leaving(machine) || machine->liveness.preemption_notice_s >= 0 ||
        !machine->address[0])
        return false;
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        const struct job_spec *spec = &allocation->job->spec;
        if (!spec->allows_spot || spec->kind != JOB_ARRAY) return false;
    }
    return true;
}

bool preemption_fetch_too_slow(const struct job *job, const struct machine *machine) {
    if (!machine->type || g_hash_table_contains(machine->images, job->spec.image)) return false;
    double rate =
        machine->type->image_fetch_gb_per_s > FETCH_RATE_LEAST ? machine->type->image_fetch_gb_per_s : FETCH_RATE_LEAST;
    return job->spec.image_gb / rate >
           settings_shortest_objective_s(preemption_settings, OBJECTIVE_WAIT, job->spec.job_class, NO_OBJECTIVE_S);
}
