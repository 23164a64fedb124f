#include "needy_job.h"

#include <glib.h>
#include <string.h>

#include "../allocations/allocations.h"
#include "../autoscaler/planned_machine.h"
#include "../clock/clock.h"
#include "../machine_types/machine_types.h"
#include "../machines/machines.h"
#include "../placement/placement.h"
#include "../preemption/preemption.h"
#include "../quarantine/quarantine.h"
#include "../quota/quota.h"

#define ELIGIBLE_S 0.4 /* its own shard places it within that time if it can */

/* A spread job's part in the zone is used up. */
static bool zone_full(const struct job *job, const char *zone) {
    int tasks = 0;
    for (guint i = 0; i < job->allocations->len; i++) {
        const struct allocation *allocation = job->allocations->pdata[i];
        tasks += strcmp(allocation->machine->zone, zone) == 0;
    }
    return job->spec.spread && tasks >= (job->spec.tasks + 1) / 2;
}

/* Nothing fits beside what is allocated: most machines of a busy shard, which are left out early. */
static bool is_full(const struct machine *machine) {
    const struct machine_type *type = machine_types_find(machine->type_name);
    if (!type) return false;
    struct resources used = {0, 0, 0};
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        if (!allocation->released) resources_add_task(&used, &allocation->job->spec);
    }
    return used.vcpus >= type->vcpus - RESOURCES_TOLERANCE ||
           (type->gpus > 0 && used.gpus >= type->gpus - RESOURCES_TOLERANCE);
}

/* Whether the machine is the shard's, or on its way there, and may take tasks of these jobs. */
static bool counts(const struct machine *machine, int shard, enum needy_jobs which) {
    if (machine->shard != shard && machine->rebalance.target_shard != shard) return false;
    if (machine->retirement.returning || (machine->spot && which != NEEDY_ALLOWING_SPOT)) return false;
    return machine->shard != shard || !is_full(machine);
}

/* Adds the machine with the room that is left on it; one that comes from another shard comes empty. */
static void add_machine(GArray *planned, const struct machine *machine, int shard) {
    struct planned_machine *added = planned_machine_add(planned, machine->type_name, machine->zone, machine->spot);
    if (!added || machine->shard != shard) return;
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        if (!allocation->released) resources_remove_task(&added->free, &allocation->job->spec);
    }
}

/* The shard's machines with the room left on them: struct planned_machine. The caller frees the array. */
static GArray *machines_with_room(int shard, enum needy_jobs which) {
    GArray *planned = g_array_new(FALSE, FALSE, sizeof(struct planned_machine));
    const GPtrArray *machines = machines_all();
    for (guint i = 0; i < machines->len; i++) {
        const struct machine *machine = machines->pdata[i];
        if (counts(machine, shard, which)) add_machine(planned, machine, shard);
    }
    return planned;
}

/* Whether the machines have room for so many tasks of the job; they are counted in. Each machine is examined once: an
 * array of 25,000 tasks, each examining all machines, once took more processor time than all else. */
static bool take_all(GArray *planned, const struct job *job, int tasks) {
    const char *zone = placement_zone(job);
    for (guint i = 0; i < planned->len && tasks > 0; i++) {
        struct planned_machine *machine = &g_array_index(planned, struct planned_machine, i);
        if (zone_full(job, machine->request.zone)) continue;
        while (tasks > 0 && planned_machine_take(machine, job, zone)) tasks--;
    }
    return tasks <= 0;
}

/* A limit of the team, or of its part, would keep the tasks from starting whatever machines there are. */
static bool held_by_limit(const struct settings *settings, const struct job *job, int tasks) {
    if (!quota_allows_tasks(job, tasks)) return true;
    const struct settings_team *team = &settings->teams[job->spec.team];
    return team->gpus_max > 0 &&
           preemption_over_guarantee(job->spec.team) + team->gpus + tasks * job->spec.gpus > team->gpus_max;
}

/* How many tasks of the job wait for a machine. */
static int tasks_waiting(const struct settings *settings, const struct job *job, enum needy_jobs which) {
    if (job->spec.allows_spot != (which == NEEDY_ALLOWING_SPOT) || quarantine_job_suspect(job) ||
        clock_seconds_since(job->eligible_since) < ELIGIBLE_S)
        return 0;
    /* An on-demand machine that nobody needs is returned rather than kept for work that nobody expects by a time. */
    if (job->spec.allows_spot && !priority_has_objective(job)) return 0;
    int missing = allocations_missing_tasks(job), at_once = job->spec.kind == JOB_ARRAY ? 1 : missing;
    return missing <= 0 || held_by_limit(settings, job, at_once) ? 0 : missing;
}

bool needy_job_find(const struct settings *settings, int shard, enum needy_jobs which, struct priority_entry *found) {
    bool any = false;
    GArray *planned = machines_with_room(shard, which);
    GArray *order = priority_order_shard(shard);
    for (guint i = 0; i < order->len && !any; i++) {
        const struct priority_entry *entry = &g_array_index(order, struct priority_entry, i);
        int tasks = tasks_waiting(settings, entry->job, which);
        if (tasks <= 0 || take_all(planned, entry->job, tasks)) continue;
        *found = *entry;
        any = true;
    }
    g_array_free(order, TRUE);
    g_array_free(planned, TRUE);
    return any;
}
