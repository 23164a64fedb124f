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

#define OWNED_MIN_S 5 /* a machine is given only after the shard has owned it for this long */

/* Costs of giving a machine: for each task on it, in addition for each recently started task, and for fetching the
 * job's image. */
#define COST_PER_TASK 2.0
#define COST_PER_RECENT_START 1
#define COST_IMAGE_FETCH 3

/* Returns whether a job of the shard found no room and has at least the priority of the other shard's job. */
static bool own_job_first(int shard, const struct job *other_job) {
    const GPtrArray *jobs = jobs_active_in_shard(shard);
    for (guint i = 0; i < jobs->len; i++) {
        const struct job *job = jobs->pdata[i];
        if (job->unplaced && job->effective_priority >= other_job->effective_priority) return true;
    }
    return false;
}

/* Like own_job_first, but counts only jobs within their teams' guarantees. A job of a divided team may be in a shard
 * with few machines, while jobs beyond their teams' guarantees wait in the shard with the machines. If these counted,
 * the job would wait forever although it is within its team's guarantee. */
static bool own_guaranteed_job_first(int shard, const struct job *other_job) {
    GArray *order = priority_order_shard(shard);
    bool own_first = false;
    for (guint i = 0; i < order->len && !own_first; i++) {
        const struct priority_entry *entry = &g_array_index(order, struct priority_entry, i);
        own_first = entry->within_guarantee && entry->job->unplaced &&
                    entry->job->effective_priority >= other_job->effective_priority;
    }
    g_array_free(order, TRUE);
    return own_first;
}

static bool keeps_machines(int shard, const struct priority_entry *entry) {
    bool claims_guarantee = entry->within_guarantee && quota_divided(entry->job->spec.team);
    return claims_guarantee ? own_guaranteed_job_first(shard, entry->job) : own_job_first(shard, entry->job);
}

/* Returns whether the machine is up and recently heard, has been owned long enough, and is neither changed by this
 * round nor about to leave the shard. */
static bool is_settled(struct machine *machine) {
    if (machine->round.dirty || clock_seconds_since(machine->owned_since) < OWNED_MIN_S ||
        machine->rebalance.target_shard >= 0 || !machine->liveness.up || !machines_owned(machine) || !machine->type)
        return false;
    return !machines_leaving(machine) && machine->liveness.preemption_notice_s < 0 && machine->address[0] &&
           clock_seconds_since(machine->liveness.last_heard) <= placement_heartbeat_overdue_s();
}

/* Returns whether the shard can spare the machine for the job. If the job allows spot machines and is beyond its team's
 * guarantee, an on-demand machine must be draining, and an empty machine is given only if all tasks of the shard found
 * a place. */
static bool is_surplus(int shard, const struct machine *machine, const struct priority_entry *entry) {
    if (!entry->job->spec.allows_spot || entry->within_guarantee) return true;
    if (!machine->spot && !machine->retirement.draining) return false;
    return machine->allocations->len > 0 || !owned_shard_states[shard].has_unplaced_tasks;
}

static bool can_be_emptied(const struct machine *machine, const struct priority_entry *entry) {
    for (guint i = 0; i < machine->allocations->len; i++)
        if (!preemption_allowed(machine->allocations->pdata[i], entry)) return false;
    return quota_may_preempt_machine(machine, entry->job->effective_priority);
}

static double donation_cost(const struct machine *machine, const struct job *job) {
    double cost = machine->allocations->len * COST_PER_TASK;
    for (guint i = 0; i < machine->allocations->len; i++)
        if (preemption_recently_started(machine->allocations->pdata[i])) cost += COST_PER_RECENT_START;
    if (!g_hash_table_contains(machine->images, job->spec.image)) cost += COST_IMAGE_FETCH;
    return cost;
}

struct machine *donation_choose_machine(int shard, const struct priority_entry *entry) {
    const struct job *job = entry->job;
    if (keeps_machines(shard, entry)) return NULL;
    struct machine *best = NULL, *reception_machine = placement_reception_machine(shard);
    double best_cost = 0;
    const char *zone = placement_job_zone(job);
    const GPtrArray *machines = machines_of_shard(shard);
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        if (machine == reception_machine || !is_settled(machine) ||
            !planned_machine_type_fits(&job->spec, machine->type) || !placement_allowed(machine, job, zone, NULL))
            continue;
        if (!is_surplus(shard, machine, entry) || !can_be_emptied(machine, entry)) continue;
        double cost = donation_cost(machine, job);
        if (best && cost >= best_cost) continue;
        best = machine;
        best_cost = cost;
    }
    return best;
}
