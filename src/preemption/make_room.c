#include "make_room.h"

#include <string.h>

#include "../logging/logging.h"
#include "../placement/placement.h"
#include "../quota/quota.h"
#include "internal.h"
#include "preemptible.h"

/* Costs of clearing a machine: for each task that may be preempted, and for fetching the job's image. */
#define COST_PER_TASK 1
#define COST_PER_RECENT_TASK 3
#define COST_IMAGE_FETCH 100

#define WAIT_DEFAULT_S 60 /* accepted wait if no objective names one */

static bool is_candidate(const struct machine *machine, const struct job *job, const char *zone, const char *job_zone) {
    return machine->round.schedulable && machine->type && (!zone || strcmp(zone, machine->zone) == 0) &&
           placement_allowed(machine, job, job_zone, NULL);
}

/* Returns whether one task of the job fits once all tasks that may be preempted are gone, and sets *cost to the cost of
 * clearing the machine. */
static bool fits_after_preemption(const struct machine *machine, const struct priority_entry *entry, double *cost) {
    const struct job_spec *spec = &entry->job->spec;
    struct resources used = resources_used(machine);
    *cost = 0;
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        if (!preemption_allowed(allocation, entry)) continue;
        resources_remove_task(&used, &allocation->job->spec);
        *cost += preemption_recently_started(allocation) ? COST_PER_RECENT_TASK : COST_PER_TASK;
    }
    if (!g_hash_table_contains(machine->images, spec->image)) *cost += COST_IMAGE_FETCH;
    return resources_fit(&used, spec, machine->type);
}

/* Returns the machine with the lowest cost; the cost of fetching the image makes machines that have it come first. */
static struct machine *choose_machine(const struct priority_entry *entry, const GPtrArray *machines, const char *zone) {
    struct machine *best = NULL;
    double best_cost = 0;
    const char *job_zone = placement_job_zone(entry->job);
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        double cost;
        if (!is_candidate(machine, entry->job, zone, job_zone) || !fits_after_preemption(machine, entry, &cost))
            continue;
        if (best && cost >= best_cost) continue;
        best = machine;
        best_cost = cost;
    }
    return best;
}

/* Asks the task to stop for the job. accepted_wait_s is the wait that the job's users accept. */
static void preempt(struct allocation *allocation, const struct job *job, double accepted_wait_s) {
    const struct job_spec *spec = &allocation->job->spec;
    quota_count_as_stopping(allocation);
    allocation->stop_requested = true;
    allocation->grace_s = preemption_grace_s(spec, accepted_wait_s);
    placement_release(allocation->machine, spec);
    log_info("task %s/%d on machine %s is preempted for job %s", spec->job_id, allocation->task,
             allocation->machine->id, job->spec.job_id);
}

/* Which tasks are preempted. */
enum preemption_filter { PREEMPT_NOT_RECENT, PREEMPT_ANY };

/* Preempts tasks until one task of the job fits, from the end of the list, where the latest allocations usually are. */
static void preempt_until_fits(struct machine *machine, const struct priority_entry *entry,
                               enum preemption_filter filter) {
    double wait_s =
        settings_shortest_objective_s(preemption_settings, OBJECTIVE_WAIT, entry->job->spec.job_class, WAIT_DEFAULT_S);
    for (guint i = machine->allocations->len; i-- > 0;) {
        struct allocation *allocation = machine->allocations->pdata[i];
        if (placement_fits(machine, &entry->job->spec)) return;
        if (!preemption_allowed(allocation, entry)) continue;
        if (filter == PREEMPT_NOT_RECENT && preemption_recently_started(allocation)) continue;
        preempt(allocation, entry->job, wait_s);
    }
}

bool preemption_make_room(const struct priority_entry *entry, const GPtrArray *machines, const char *zone,
                          const struct team_usage *usage) {
    const struct job *job = entry->job;
    if (!preemption_quota_allows(&usage[job->spec.team], job, 1)) return false;
    struct machine *machine = choose_machine(entry, machines, zone);
    if (!machine) return false;
    /* Tasks that count as started lose least when preempted. */
    preempt_until_fits(machine, entry, PREEMPT_NOT_RECENT);
    preempt_until_fits(machine, entry, PREEMPT_ANY);
    placement_reserve(machine, &job->spec);
    machine->commands.send_pending = true;
    return true;
}
