#include "donation.h"

#include <glib.h>
#include <stdbool.h>

#include "../autoscaler/planned_machine.h"
#include "../clock/clock.h"
#include "../jobs/jobs.h"
#include "../machines/machines.h"
#include "../placement/placement.h"
#include "../preemption/preemption.h"
#include "../quota/quota.h"

#define OWNED_S 5 /* a machine has been owned for that long before it is given */

/* Costs of giving a machine: of each task on it, more if that has only just started, and of the image that it would
 * have to fetch. */
#define COST_TASK 2.0
#define COST_RECENT_START 1
#define COST_FETCH 3

/* A job of the shard waits for a machine, and is of the same priority as the other's or a higher one. */
static bool own_work_first(int shard, const struct job *other) {
    const GPtrArray *jobs = jobs_active_in_shard(shard);
    for (guint i = 0; i < jobs->len; i++) {
        const struct job *job = jobs->pdata[i];
        if (job->unplaced && job->priority >= other->priority) return true;
    }
    return false;
}

/* The same, but of the shard's jobs those count that are within their teams' guarantees. A divided team's job may be in
 * a shard that has few machines: it waited there for ever, though within its guarantee, while the shard that had them
 * all had work beyond its guarantees waiting. */
static bool own_guarantee_first(int shard, const struct job *other) {
    GArray *order = priority_order_shard(shard);
    bool first = false;
    for (guint i = 0; i < order->len && !first; i++) {
        const struct priority_entry *entry = &g_array_index(order, struct priority_entry, i);
        first = entry->within_guarantee && entry->job->unplaced && entry->job->priority >= other->priority;
    }
    g_array_free(order, TRUE);
    return first;
}

static bool shard_keeps_its_machines(int shard, const struct priority_entry *entry) {
    bool claims_guarantee = entry->within_guarantee && quota_divided(entry->job->spec.team);
    return claims_guarantee ? own_guarantee_first(shard, entry->job) : own_work_first(shard, entry->job);
}

/* It is up, has been this shard's for a while, and is not about to go anywhere. */
static bool is_settled(struct machine *machine) {
    if (machine->round.dirty || clock_seconds_since(machine->owned_since) < OWNED_S ||
        machine->rebalance.target_shard >= 0 || !machine->liveness.up || !machines_owned(machine) || !machine->type)
        return false;
    return !machines_leaving(machine) && machine->liveness.preemption_notice_s < 0 && machine->address[0] &&
           clock_seconds_since(machine->liveness.last_heard) <= placement_heartbeat_overdue_s();
}

/* For work that allows spot machines an on-demand one is given only if it is surplus here. */
static bool is_surplus(int shard, const struct machine *machine, const struct priority_entry *entry) {
    if (!entry->job->spec.allows_spot || entry->within_guarantee) return true;
    if (!machine->spot && !machine->retirement.draining) return false;
    return machine->allocations->len > 0 || !shard_states[shard].has_unplaced_tasks;
}

static bool can_be_cleared(const struct machine *machine, const struct priority_entry *entry) {
    for (guint i = 0; i < machine->allocations->len; i++)
        if (!preemption_allowed(machine->allocations->pdata[i], entry)) return false;
    return quota_may_preempt_machine(machine, entry->job->priority);
}

static double cost_of(const struct machine *machine, const struct job *job) {
    double cost = machine->allocations->len * COST_TASK;
    for (guint i = 0; i < machine->allocations->len; i++)
        if (preemption_recently_started(machine->allocations->pdata[i])) cost += COST_RECENT_START;
    if (!g_hash_table_contains(machine->images, job->spec.image)) cost += COST_FETCH;
    return cost;
}

struct machine *donation_choose(int shard, const struct priority_entry *entry) {
    const struct job *job = entry->job;
    if (shard_keeps_its_machines(shard, entry)) return NULL;
    struct machine *best = NULL, *reception = placement_reception(shard);
    double best_cost = 0;
    const char *zone = placement_zone(job);
    const GPtrArray *machines = machines_of_shard(shard);
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        if (machine == reception || !is_settled(machine) || !scale_out_type_fits(&job->spec, machine->type) ||
            !placement_allowed(machine, job, zone, NULL))
            continue;
        if (!is_surplus(shard, machine, entry) || !can_be_cleared(machine, entry)) continue;
        double cost = cost_of(machine, job);
        if (best && cost >= best_cost) continue;
        best = machine;
        best_cost = cost;
    }
    return best;
}
