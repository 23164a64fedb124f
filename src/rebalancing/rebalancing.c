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
#include "needy_job.h"

#define TRANSFER_MAX_S 12          /* a machine that was not transferred by then stays */
#define PAUSE_PER_MACHINE_S 0.0008 /* between two searches, for each machine of the deployment */

static const struct settings *rebalancing_settings;

/* Not in a round that allocates on it or releases from it: the plan is not in its list yet. A machine was once
 * transferred together with a task of its old shard's, which then counted nowhere against the team's limit. */
bool rebalancing_allowed(const struct machine *machine) {
    return machine->rebalance.target_shard >= 0 && machine->allocations->len == 0 && machine->page >= 0 &&
           !machine->round.dirty && !machine->commands.start_outcome_unknown && !machine->commands.in_flight &&
           !machine->commands.needs_token_raise && !machine->retirement.return_wanted &&
           !machine->retirement.returning && !machine->retirement.released;
}

static void cancel_overdue_transfers(int shard) {
    const GPtrArray *machines = machines_of_shard(shard);
    for (guint i = 0; i < machines->len; i++) {
        struct machine_rebalance *rebalance = &((struct machine *)machines->pdata[i])->rebalance;
        if (rebalance->target_shard >= 0 && clock_seconds_since(rebalance->chosen_at) > TRANSFER_MAX_S)
            rebalance->target_shard = -1;
    }
}

/* Examining the needs of every other shard is the dearest part of a round, and no transfer is faster than this. */
static bool search_due(int shard) {
    struct timespec *searched_at = &shard_states[shard].rebalanced_at;
    if (clock_seconds_since(*searched_at) < machines_all()->len * PAUSE_PER_MACHINE_S) return false;
    *searched_at = clock_now();
    return true;
}

static void begin_transfer(struct machine *machine, int to, const struct job *job) {
    machine->rebalance.target_shard = to;
    machine->rebalance.chosen_at = clock_now();
    log_info("machine %s: rebalancing from shard %d to shard %d for job %s", machine->id, machine->shard, to,
             job->spec.job_id);
    for (guint i = 0; i < machine->allocations->len; i++) {
        struct allocation *allocation = machine->allocations->pdata[i];
        if (!allocation->stop_requested) quota_note_preempted(allocation);
        allocations_request_stop(allocation, preemption_grace_s(&allocation->job->spec, INFINITY));
    }
}

/* Gives a machine of the shard to a job of the other, if one is needed there and can be spared here. */
static void serve_shard(int shard, int other) {
    static const enum needy_jobs turns[] = {NEEDY_ON_DEMAND_ONLY, NEEDY_ALLOWING_SPOT};
    for (size_t i = 0; i < G_N_ELEMENTS(turns); i++) {
        struct priority_entry entry;
        if (!needy_job_find(rebalancing_settings, other, turns[i], &entry)) continue;
        struct machine *machine = donation_choose(shard, &entry);
        if (!machine) continue;
        begin_transfer(machine, other, entry.job);
        return;
    }
}

void rebalancing_plan(int shard) {
    cancel_overdue_transfers(shard);
    if (!search_due(shard)) return;
    for (int other = 0; other < rebalancing_settings->n_shards; other++)
        if (other != shard && jobs_active_in_shard(other)->len > 0) serve_shard(shard, other);
}

void rebalancing_init(const struct settings *settings) { rebalancing_settings = settings; }
