#include "make_room.h"

#include <string.h>

#include "../logging/logging.h"
#include "../placement/placement.h"
#include "../quota/quota.h"
#include "internal.h"
#include "preemptible.h"

/* Costs of a machine that is cleared: of each task, and of the image that the machine would have to fetch. */
#define COST_TASK 1
#define COST_RECENT_TASK 3
#define COST_FETCH 100

#define WAIT_ACCEPTED_S 60 /* where no objective names it */

static bool is_candidate(const struct machine *machine, const struct job *job, const char *zone, const char *bound) {
    return machine->round.schedulable && machine->type && (!zone || strcmp(zone, machine->zone) == 0) &&
           placement_allowed(machine, job, bound, NULL);
}

/* Whether one task of the job fits if all that may be is preempted, and the cost of that. */
static bool can_be_cleared(const struct machine *machine, const struct priority_entry *entry, double *cost) {
    const struct job_spec *spec = &entry->job->spec;
    struct resources used = resources_used(machine);
    *cost = 0;
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        if (!preemption_allowed(allocation, entry)) continue;
        resources_remove_task(&used, &allocation->job->spec);
        *cost += preemption_recently_started(allocation) ? COST_RECENT_TASK : COST_TASK;
    }
    if (!g_hash_table_contains(machine->images, spec->image)) *cost += COST_FETCH;
    return resources_fit(&used, spec, machine->type);
}

/* The machine that has the image comes first, then the one that loses least. */
static struct machine *choose_machine(const struct priority_entry *entry, const GPtrArray *machines, const char *zone) {
    struct machine *best = NULL;
    double best_cost = 0;
    const char *bound = placement_zone(entry->job);
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        double cost;
        if (!is_candidate(machine, entry->job, zone, bound) || !can_be_cleared(machine, entry, &cost)) continue;
        if (best && cost >= best_cost) continue;
        best = machine;
        best_cost = cost;
    }
    return best;
}

/* `grace_at_most`: the wait that the job's users accept. */
static void preempt(struct allocation *allocation, const struct job *job, double grace_at_most) {
    const struct job_spec *spec = &allocation->job->spec;
    quota_note_preempted(allocation);
    allocation->stop_requested = true;
    allocation->grace_s = preemption_grace_s(spec, grace_at_most);
    placement_release(allocation->machine, spec);
    log_info("task %s/%d on machine %s is preempted for job %s", spec->job_id, allocation->task,
             allocation->machine->id, job->spec.job_id);
}

enum preempted_tasks { PREEMPT_LONG_STARTED, PREEMPT_ANY };

/* Preempts tasks, the youngest first, until one of the job fits. */
static void preempt_until_fits(struct machine *machine, const struct priority_entry *entry,
                               enum preempted_tasks which) {
    double wait_s =
        settings_shortest_objective_s(preemption_settings, OBJECTIVE_WAIT, entry->job->spec.job_class, WAIT_ACCEPTED_S);
    for (guint i = machine->allocations->len; i-- > 0;) {
        struct allocation *allocation = machine->allocations->pdata[i];
        if (placement_fits(machine, &entry->job->spec)) return;
        if (!preemption_allowed(allocation, entry)) continue;
        if (which == PREEMPT_LONG_STARTED && preemption_recently_started(allocation)) continue;
        preempt(allocation, entry->job, wait_s);
    }
}

bool preemption_make_room(const struct priority_entry *entry, const GPtrArray *machines, const char *zone,
                          const struct team_usage *usage) {
    const struct job *job = entry->job;
    if (!preemption_quota_left(&usage[job->spec.team], job, 1)) return false;
    struct machine *machine = choose_machine(entry, machines, zone);
    if (!machine) return false;
    /* Those whose start has counted lose least. */
    preempt_until_fits(machine, entry, PREEMPT_LONG_STARTED);
    preempt_until_fits(machine, entry, PREEMPT_ANY);
    placement_reserve(machine, &job->spec);
    machine->commands.send_pending = true;
    return true;
}
