#include "drain_eviction.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../allocations/allocations.h"
#include "../placement/placement.h"
#include "../preemption/preemption.h"

static bool image_cached(const struct machine *machine, const struct job_spec *spec) {
    return g_hash_table_contains(machine->images, spec->image);
}

static bool in_use(const struct machine *machine) {
    return machine->round.used_gpus > 0 || machine->round.used_vcpus > 0;
}

/* Returns whether the replica may move to the machine. Within its present zone, the spread and single-zone rules do not
 * apply, since its job keeps as many replicas in each zone. */
static bool may_run_on(const struct machine *machine, const struct allocation *replica) {
    const char *zone = replica->machine->zone;
    struct job job = *replica->job;
    if (strcmp(machine->zone, zone) == 0) job.spec.spread = job.spec.single_zone = false;
    return placement_allowed(machine, &job, job.spec.single_zone ? zone : NULL, NULL);
}

/* Returns a used machine with room and the cached image, on which the replica could start at once; NULL if none. */
static struct machine *replica_target(const struct allocation *replica) {
    const struct job_spec *spec = &replica->job->spec;
    const GPtrArray *machines = machines_of_shard(replica->machine->shard);
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        if (machine == replica->machine || !machine->round.schedulable || machine->retirement.draining) continue;
        if (placement_fits(machine, spec) && image_cached(machine, spec) && in_use(machine) &&
            may_run_on(machine, replica))
            return machine;
    }
    return NULL;
}

/* Returns whether the task loses almost nothing by stopping. For a replica, reserves its place on another machine. */
static bool can_be_evicted(const struct allocation *allocation) {
    const struct job_spec *spec = &allocation->job->spec;
    if (allocation->stop_requested) return true;
    if (preemption_recently_started(allocation)) return false;
    if (spec->kind == JOB_ARRAY && spec->checkpoint_s > 0) return true;
    if (spec->kind != JOB_SERVICE || allocation->state != TASK_RUNNING) return false;
    struct machine *target = replica_target(allocation);
    if (target) placement_reserve(target, spec);
    return target != NULL;
}

/* Without evictions, a machine with a replica would stay busy, and be paid for, until its drain is cancelled. */
void drain_eviction_stop_tasks(struct machine *machine) {
    placement_prepare_machines(machine->shard);
    for (guint i = 0; i < machine->allocations->len; i++)
        if (!can_be_evicted(machine->allocations->pdata[i])) return;
    for (guint i = 0; i < machine->allocations->len; i++) {
        struct allocation *allocation = machine->allocations->pdata[i];
        const struct job_spec *spec = &allocation->job->spec;
        allocations_request_stop(
            allocation, spec->checkpoint_s > 0 ? spec->checkpoint_flush_s + ALLOCATIONS_CHECKPOINT_GRACE_S : 0);
    }
}
