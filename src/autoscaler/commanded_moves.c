#include "commanded_moves.h"

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

/* In its own zone a replica takes its own place among a spread job's tasks. */
static bool may_go_to(const struct machine *machine, const struct allocation *replica) {
    const char *zone = replica->machine->zone;
    struct job job = *replica->job;
    if (strcmp(machine->zone, zone) == 0) job.spec.spread = job.spec.single_zone = false;
    return placement_allowed(machine, &job, job.spec.single_zone ? zone : NULL, NULL);
}

/* Where a replica could go on at once: room, and the image at hand; NULL: nowhere. */
static struct machine *replica_target(const struct allocation *replica) {
    const struct job_spec *spec = &replica->job->spec;
    const GPtrArray *machines = machines_of_shard(replica->machine->shard);
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        if (machine == replica->machine || !machine->round.schedulable || machine->retirement.draining) continue;
        if (placement_fits(machine, spec) && image_cached(machine, spec) && in_use(machine) &&
            may_go_to(machine, replica))
            return machine;
    }
    return NULL;
}

/* Reserves the place to which a replica goes. */
static bool movable(const struct allocation *allocation) {
    const struct job_spec *spec = &allocation->job->spec;
    if (allocation->stop_requested) return true;
    if (preemption_recently_started(allocation)) return false;
    if (spec->kind == JOB_ARRAY && spec->checkpoint_s > 0) return true;
    if (spec->kind != JOB_SERVICE || allocation->state != TASK_RUNNING) return false;
    struct machine *target = replica_target(allocation);
    if (target) placement_reserve(target, spec);
    return target != NULL;
}

/* Without such moves a drain that holds a replica would be paid for until it is cancelled. */
void commanded_moves_empty(struct machine *machine) {
    placement_prepare_machines(machine->shard);
    for (guint i = 0; i < machine->allocations->len; i++)
        if (!movable(machine->allocations->pdata[i])) return;
    for (guint i = 0; i < machine->allocations->len; i++) {
        struct allocation *allocation = machine->allocations->pdata[i];
        const struct job_spec *spec = &allocation->job->spec;
        allocations_request_stop(
            allocation, spec->checkpoint_s > 0 ? spec->checkpoint_flush_s + ALLOCATIONS_CHECKPOINT_GRACE_S : 0);
    }
}
