#include "rebalancing.h"

#include <glib.h>
#include <math.h>

#include "../allocations/allocations.h"
#include "../clock/clock.h"
#include "../jobs/jobs.h"
#include "../logging/logging.h"
#include "../machines/machines.h"
#include "../preemption/preemption.h"
#include "../quota/quota.h"
#include "donation.h"
#include "waiting_job.h"

#define TRANSFER_TIMEOUT_S 12                /* a machine that is not transferred by then stays in its shard */
#define SEARCH_INTERVAL_PER_MACHINE_S 0.0008 /* for each machine of the deployment */

static const struct settings *rebalancing_settings;

/* A machine on which this round allocates or releases tasks is not transferred, because its list of allocations does
 * not hold the planned tasks yet. Without this check, a task of the old shard moved to the new shard with its machine,
 * and no longer counted against its team's limit. */
bool rebalancing_transfer_allowed(const struct machine *machine) {
    return machine->rebalance.target_shard >= 0 && machine->allocations->len == 0 && machine->page >= 0 &&
           !machine->round.dirty && !machine->commands.start_outcome_unknown && !machine->commands.in_flight &&
           !machine->commands.needs_token_raise && !machine->retirement.return_wanted &&
           !machine->retirement.returning && !machine->retirement.released;
}

static void cancel_overdue_transfers(int shard) {
    const GPtrArray *machines = machines_of_shard(shard);
    for (guint i = 0; i < machines->len; i++) {
        struct machine_rebalance *rebalance = &((struct machine *)machines->pdata[i])->rebalance;
        if (rebalance->target_shard >= 0 && clock_seconds_since(rebalance->chosen_at) > TRANSFER_TIMEOUT_S)
            rebalance->target_shard = -1;
    }
}

/* Returns whether the next search is due, and if so records its time. Examining the jobs of every other shard is the
 * most expensive part of a round, and no transfer completes within this interval. */
static bool search_due(int shard) {
    struct timespec *searched_at = &owned_shard_states[shard].rebalance_searched_at;
    if (clock_seconds_since(*searched_at) < machines_all()->len * SEARCH_INTERVAL_PER_MACHINE_S) return false;
    *searched_at = clock_now();
    return true;
}

static void begin_transfer(struct machine *machine, int to_shard, const struct job *job) {
    machine->rebalance.target_shard = to_shard;
    machine->rebalance.chosen_at = clock_now();
    log_info("machine %s: rebalancing from shard %d to shard %d for job %s", machine->id, machine->shard, to_shard,
             job->spec.job_id);
    for (guint i = 0; i < machine->allocations->len; i++) {
        struct allocation *allocation = machine->allocations->pdata[i];
        if (!allocation->stop_requested) quota_count_as_stopping(allocation);
        allocations_request_stop(allocation, preemption_grace_s(&allocation->job->spec, INFINITY));
    }
}

/* Begins the transfer of one machine if a job of the other shard waits for one and this shard can spare one. */
static void transfer_to_shard(int shard, int other_shard) {
    static const enum waiting_job_kind job_kinds[] = {WAITING_JOB_ON_DEMAND_ONLY, WAITING_JOB_ALLOWING_SPOT};
    for (size_t i = 0; i < G_N_ELEMENTS(job_kinds); i++) {
        struct priority_entry entry;
        if (!waiting_job_find(rebalancing_settings, other_shard, job_kinds[i], &entry)) continue;
        struct machine *machine = donation_choose_machine(shard, &entry);
        if (!machine) continue;
        begin_transfer(machine, other_shard, entry.job);
        return;
    }
}

void rebalancing_plan(int shard) {
    cancel_overdue_transfers(shard);
    if (!search_due(shard)) return;
    for (int other_shard = 0; other_shard < rebalancing_settings->n_shards; other_shard++)
        if (other_shard != shard && jobs_active_in_shard(other_shard)->len > 0) transfer_to_shard(shard, other_shard);
}

void rebalancing_init(const struct settings *settings) { rebalancing_settings = settings; }
