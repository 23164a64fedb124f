#include "waiting_job.h"

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

#define ELIGIBLE_MIN_S 0.4 /* a job's own shard places it within this time if there is room */

/* Returns whether a spread job already has as many tasks in the zone as it may have. */
static bool spread_limit_reached(const struct job *job, const char *zone) {
    int tasks = 0;
    for (guint i = 0; i < job->allocations->len; i++) {
        const struct allocation *allocation = job->allocations->pdata[i];
        tasks += strcmp(allocation->machine->zone, zone) == 0;
    }
    return job->spec.spread && tasks >= (job->spec.tasks + 1) / 2;
}

/* Returns whether all CPUs or all GPUs of the machine are allocated. Most machines of a busy shard are full and are
 * left out early. */
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

/* Returns whether the machine is in the shard, or being transferred to it, and may take tasks of these jobs. */
static bool is_usable(const struct machine *machine, int shard, enum waiting_job_kind waiting_kind) {
    if (machine->shard != shard && machine->rebalance.target_shard != shard) return false;
    if (machine->retirement.returning || (machine->spot && waiting_kind != WAITING_JOB_ALLOWING_SPOT)) return false;
    return machine->shard != shard || !is_full(machine);
}

/* Adds the machine with its free resources. A machine of another shard arrives empty. */
static void add_machine(GArray *planned_machines, const struct machine *machine, int shard) {
    struct planned_machine *added =
        planned_machine_add(planned_machines, machine->type_name, machine->zone, machine->spot);
    if (!added || machine->shard != shard) return;
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        if (!allocation->released) resources_remove_task(&added->free, &allocation->job->spec);
    }
}

/* Returns the machines with room and their free resources: struct planned_machine. The caller frees the array. */
static GArray *machines_with_room(int shard, enum waiting_job_kind waiting_kind) {
    GArray *planned_machines = g_array_new(FALSE, FALSE, sizeof(struct planned_machine));
    const GPtrArray *machines = machines_all();
    for (guint i = 0; i < machines->len; i++) {
        const struct machine *machine = machines->pdata[i];
        if (is_usable(machine, shard, waiting_kind)) add_machine(planned_machines, machine, shard);
    }
    return planned_machines;
}

/* Reserves room for the tasks of the job and returns whether all tasks fit. Each machine is examined once: examining
 * all machines for each task of an array of 25,000 tasks took most of the processor time. */
static bool reserve_all(GArray *planned_machines, const struct job *job, int tasks) {
    const char *zone = placement_job_zone(job);
    for (guint i = 0; i < planned_machines->len && tasks > 0; i++) {
        struct planned_machine *machine = &g_array_index(planned_machines, struct planned_machine, i);
        if (spread_limit_reached(job, machine->request.zone)) continue;
        while (tasks > 0 && planned_machine_reserve_task(machine, job, zone)) tasks--;
    }
    return tasks <= 0;
}

/* Returns whether the team's limit, or the shard's part of it, keeps the tasks from starting on any machine. */
static bool blocked_by_limit(const struct settings *settings, const struct job *job, int tasks) {
    if (!quota_allows_tasks(job, tasks)) return true;
    const struct settings_team *team = &settings->teams[job->spec.team];
    /* The guarantee plus the excess over it is the team's usage. */
    return team->gpus_max > 0 &&
           preemption_guarantee_excess(job->spec.team) + team->guaranteed_gpus + tasks * job->spec.gpus >
               team->gpus_max;
}

/* Returns how many tasks of the job wait for a machine. */
static int tasks_waiting(const struct settings *settings, const struct job *job, enum waiting_job_kind waiting_kind) {
    if (job->spec.allows_spot != (waiting_kind == WAITING_JOB_ALLOWING_SPOT) || quarantine_job_suspect(job) ||
        clock_seconds_since(job->eligible_since) < ELIGIBLE_MIN_S)
        return 0;
    /* No machine is transferred for a job that allows spot machines and has no objective: a surplus one is returned to
     * the cloud. */
    if (job->spec.allows_spot && !priority_has_objective(job)) return 0;
    int n_missing = allocations_missing_tasks(job), n_at_once = job->spec.kind == JOB_ARRAY ? 1 : n_missing;
    return n_missing <= 0 || blocked_by_limit(settings, job, n_at_once) ? 0 : n_missing;
}

bool waiting_job_find(const struct settings *settings, int shard, enum waiting_job_kind waiting_kind,
                      struct priority_entry *found) {
    bool any_found = false;
    GArray *planned_machines = machines_with_room(shard, waiting_kind);
    GArray *order = priority_order_shard(shard);
    for (guint i = 0; i < order->len && !any_found; i++) {
        const struct priority_entry *entry = &g_array_index(order, struct priority_entry, i);
        int tasks = tasks_waiting(settings, entry->job, waiting_kind);
        if (tasks <= 0 || reserve_all(planned_machines, entry->job, tasks)) continue;
        *found = *entry;
        any_found = true;
    }
    g_array_free(order, TRUE);
    g_array_free(planned_machines, TRUE);
    return any_found;
}
