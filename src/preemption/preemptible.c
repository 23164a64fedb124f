#include "preemptible.h"

#include <glib.h>

#include "../clock/clock.h"
#include "../machines/machines.h"
#include "../priority/priority.h"
#include "../quota/quota.h"
#include "internal.h"
#include "team_usage.h"

#define GUARANTEE_EXCESS_MIN 1e-3 /* excess over a guarantee that is required to preempt a task without GPUs */
#define STARTED_RUNTIME_MIN_S 32  /* a task that has run for this long counts as started */
#define STOP_DELAY_S 1            /* from the request to stop until the task begins its checkpoint */
#define FETCH_RATE_MIN_GB_PER_S 1e-3
#define WAIT_UNLIMITED_S 1e9 /* accepted wait if no objective names one */

/* Returns whether the task may be preempted to give the job's team its guarantee: with one more task, the job's team
 * stays within its guarantee, and without the preempted task, the task's team still has its own. Without these
 * conditions, two teams that each had work beyond their guarantees preempted each other's tasks for minutes. */
static bool claimable_for_guarantee(const struct allocation *allocation, const struct job *job) {
    const struct job_spec *task_spec = &allocation->job->spec;
    double excess_min = task_spec->gpus > GUARANTEE_EXCESS_MIN ? task_spec->gpus : GUARANTEE_EXCESS_MIN;
    return task_spec->team != job->spec.team &&
           preemption_guarantee_excess(job->spec.team) + job->spec.gpus <= PRIORITY_SUM_TOLERANCE &&
           preemption_guarantee_excess(task_spec->team) >= excess_min && quota_may_preempt(allocation);
}

bool preemption_allowed(const struct allocation *allocation, const struct priority_entry *entry) {
    if (allocation->released || allocation->stop_requested || allocation->job->spec.kind != JOB_ARRAY) return false;
    if (allocation->job->effective_priority < entry->job->effective_priority) return true;
    return entry->within_guarantee && claimable_for_guarantee(allocation, entry->job);
}

bool preemption_recently_started(const struct allocation *allocation) {
    return allocation->state == TASK_NOT_LISTED || allocation->state == TASK_FETCHING ||
           (allocation->state == TASK_RUNNING && clock_seconds_since(allocation->state_since) < STARTED_RUNTIME_MIN_S);
}

double preemption_grace_s(const struct job_spec *spec, double max_grace_s) {
    double grace_s = spec->checkpoint_flush_s + STOP_DELAY_S;
    return spec->checkpoint_s > 0 && grace_s < max_grace_s ? grace_s : 0;
}

bool preemption_machine_clearable(const struct machine *machine) {
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

bool preemption_image_fetch_too_slow(const struct job *job, const struct machine *machine) {
    if (!machine->type || g_hash_table_contains(machine->images, job->spec.image)) return false;
    double rate_gb_per_s = machine->type->image_fetch_gb_per_s > FETCH_RATE_MIN_GB_PER_S
                               ? machine->type->image_fetch_gb_per_s
                               : FETCH_RATE_MIN_GB_PER_S;
    return job->spec.image_gb / rate_gb_per_s >
           settings_shortest_objective_s(preemption_settings, OBJECTIVE_WAIT, job->spec.job_class, WAIT_UNLIMITED_S);
}
