#include "quota.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "../logging/logging.h"
#include "../membership/membership.h"
#include "../priority/priority.h"
#include "demand.h"
#include "views.h"

static int n_divided; /* teams with a record, readable or not, at the last quota_refresh */

/* Returns the state of a divided team, or NULL if the team is undivided. Measures the demand if the team's record has
 * changed since the last measurement. */
static struct quota_team *divided_team(int team) {
    struct quota_team *team_quota = quota_team_find(team);
    if (!team_quota || !(team_quota->recorded || team_quota->unreadable)) return NULL;
    if (team_quota->recorded && !team_quota->measured) quota_measure_demand(team_quota);
    return team_quota;
}

bool quota_divided(int team) { return divided_team(team) != NULL; }

bool quota_any_divided(void) { return n_divided > 0; }

int quota_shard_for_new_job(int team, const char *job_id) {
    const struct quota_team *team_quota = quota_team_find(team);
    int home_shard = settings_home_shard(quota_settings, team);
    return team_quota && team_quota->recorded
               ? quota_shard_for_job(job_id, home_shard, quota_settings->n_shards, team_quota->record.n_shards)
               : home_shard;
}

void quota_refresh(void) {
    n_divided = 0;
    for (int team = 0; team < quota_settings->n_teams; team++) {
        struct quota_team *team_quota = quota_team_find(team);
        if (!team_quota || !(team_quota->recorded || team_quota->unreadable)) continue;
        n_divided++;
        if (team_quota->recorded) quota_measure_demand(team_quota);
    }
    priority_set_teams_divided(n_divided > 0);
}

static double units_or_infinity(int64_t amount) {
    return amount == INT64_MAX ? INFINITY : (double)amount / QUOTA_THOUSANDTHS_PER_UNIT;
}
static double limit_or_infinity(double limit) { return limit > 0 ? limit : INFINITY; }

static const struct quota_bound zero_bound = {0, 0};

struct quota_bound quota_bound(int team, int shard) {
    const struct settings_team *team_settings = &quota_settings->teams[team];
    const struct quota_team *team_quota = divided_team(team);
    /* A job in another shard, accepted shortly before the team became undivided, waits until it is moved. */
    if (!team_quota) {
        return shard == settings_home_shard(quota_settings, team)
                   ? (struct quota_bound){limit_or_infinity(team_settings->cpus_max),
                                          limit_or_infinity(team_settings->gpus_max)}
                   : zero_bound;
    }
    int index = quota_allotment_index(&team_quota->record, shard);
    /* A write that failed with a conflict may be the retry of a write that was applied, so the shard's use is unknown
     * until the mirror has reached the revision of the conflict. */
    if (team_quota->unreadable || index < 0 || owned_shard_states[shard].conflict_revision > store_revision())
        return zero_bound;
    bool closing =
        quota_allotment_closing(&team_quota->record, team_quota->home_shard, quota_settings->n_shards, shard);
    struct quota_amount allowance = quota_allowance(&team_quota->record, index, quota_view_lowest_limit(team),
                                                    team_quota->used, &team_quota->targets, closing);
    return (struct quota_bound){units_or_infinity(allowance.thousandths[QUOTA_VCPUS]),
                                units_or_infinity(allowance.thousandths[QUOTA_GPUS])};
}

bool quota_reserves_for(const struct job *job) {
    const struct quota_team *team_quota = divided_team(job->spec.team);
    return team_quota && team_quota->reserved_job_id[0] && strcmp(team_quota->reserved_job_id, job->spec.job_id) == 0;
}

bool quota_uses_scarce_capacity(const struct job *job) {
    const struct quota_team *team_quota = divided_team(job->spec.team);
    return team_quota && ((team_quota->targets.scarce[QUOTA_VCPUS] && job->spec.vcpus > 0) ||
                          (team_quota->targets.scarce[QUOTA_GPUS] && job->spec.gpus > 0));
}

/* Returns the dimension in which the team's use is compared with its guarantee: GPUs, unless the guarantee is of vcpus
 * only. */
static enum quota_dimension guarantee_dimension(const struct quota_team *team_quota) {
    return team_quota->record.guarantee.thousandths[QUOTA_GPUS] > 0 ||
                   team_quota->record.guarantee.thousandths[QUOTA_VCPUS] == 0
               ? QUOTA_GPUS
               : QUOTA_VCPUS;
}

bool quota_may_preempt(const struct allocation *allocation) {
    const struct quota_team *team_quota = divided_team(allocation->job->spec.team);
    if (!team_quota) return true;
    int index = quota_allotment_index(&team_quota->record, jobs_shard(allocation->job));
    if (team_quota->unreadable || index < 0) return false;
    struct quota_amount used[QUOTA_SHARDS_MAX];
    memcpy(used, team_quota->used, sizeof used);
    used[index] = quota_amount_difference(used[index], team_quota->stopping[index]);
    enum quota_dimension dimension = guarantee_dimension(team_quota);
    return quota_over_guarantee(&team_quota->record, index, used).thousandths[dimension] >=
           MAX(quota_amount_of_tasks(&allocation->job->spec, 1).thousandths[dimension], 1);
}

bool quota_may_preempt_machine(const struct machine *machine, enum job_priority priority) {
    bool may_preempt = true;
    guint counted = 0;
    struct quota_amount stopping_before[MACHINE_TASKS_MAX] = {{{0}}};
    /* A checked task counts as stopping while the next tasks are checked, since all tasks together must lie beyond the
     * guarantee. The second loop restores the amounts. */
    for (; counted < machine->allocations->len && counted < MACHINE_TASKS_MAX; counted++) {
        const struct allocation *allocation = machine->allocations->pdata[counted];
        struct quota_team *team_quota = divided_team(allocation->job->spec.team);
        int index = team_quota && !team_quota->unreadable
                        ? quota_allotment_index(&team_quota->record, jobs_shard(allocation->job))
                        : -1;
        may_preempt &= !team_quota || allocation->job->effective_priority < priority || quota_may_preempt(allocation);
        if (index < 0) continue;
        stopping_before[counted] = team_quota->stopping[index];
        quota_count_as_stopping(allocation);
    }
    while (counted-- > 0) {
        const struct allocation *allocation = machine->allocations->pdata[counted];
        struct quota_team *team_quota = divided_team(allocation->job->spec.team);
        int index = team_quota && !team_quota->unreadable
                        ? quota_allotment_index(&team_quota->record, jobs_shard(allocation->job))
                        : -1;
        if (index >= 0) team_quota->stopping[index] = stopping_before[counted];
    }
    return may_preempt;
}

bool quota_allows_tasks(const struct job *job, int tasks) {
    const struct quota_team *team_quota = divided_team(job->spec.team);
    if (!team_quota) return true;
    int shard = jobs_shard(job), index = quota_allotment_index(&team_quota->record, shard);
    if (team_quota->unreadable || index < 0) return false;
    struct quota_bound bound = quota_bound(job->spec.team, shard);
    return quota_amount_units(team_quota->used[index], QUOTA_VCPUS) + tasks * job->spec.vcpus <=
               bound.vcpus + QUOTA_ROUNDING_TOLERANCE &&
           quota_amount_units(team_quota->used[index], QUOTA_GPUS) + tasks * job->spec.gpus <=
               bound.gpus + QUOTA_ROUNDING_TOLERANCE;
}

void quota_count_as_stopping(const struct allocation *allocation) {
    struct quota_team *team_quota = divided_team(allocation->job->spec.team);
    int index = team_quota ? quota_allotment_index(&team_quota->record, jobs_shard(allocation->job)) : -1;
    if (index >= 0) {
        team_quota->stopping[index] =
            quota_amount_sum(team_quota->stopping[index], quota_amount_of_tasks(&allocation->job->spec, 1));
    }
}

void quota_log_status(void) {
    for (int team = 0; team < quota_settings->n_teams; team++) {
        const struct quota_team *team_quota = divided_team(team);
        if (!team_quota || team_quota->unreadable || !membership_owns(team_quota->home_shard)) continue;
        const struct quota_record *record = &team_quota->record;
        GString *line = g_string_new("");
        for (int i = 0; i < record->n_allotments; i++) {
            struct quota_amount demanded = quota_amount_difference(team_quota->targets.amounts[i], team_quota->used[i]);
            g_string_append_printf(line, ", shard %d uses %.0f/%.0f of %.0f/%.0f and needs %.0f/%.0f more",
                                   record->allotments[i].shard, quota_amount_units(team_quota->used[i], QUOTA_VCPUS),
                                   quota_amount_units(team_quota->used[i], QUOTA_GPUS),
                                   quota_amount_units(record->allotments[i].limit, QUOTA_VCPUS),
                                   quota_amount_units(record->allotments[i].limit, QUOTA_GPUS),
                                   quota_amount_units(demanded, QUOTA_VCPUS), quota_amount_units(demanded, QUOTA_GPUS));
        }
        log_info("quota: team %s, epoch %lld%s, unassigned %.0f/%.0f (vcpus/gpus)%s%s",
                 quota_settings->teams[team].name, (long long)record->epoch, line->str,
                 quota_amount_units(record->unassigned, QUOTA_VCPUS),
                 quota_amount_units(record->unassigned, QUOTA_GPUS),
                 team_quota->reserved_job_id[0] ? ", capacity reserved for job " : "", team_quota->reserved_job_id);
        g_string_free(line, TRUE);
    }
}

void quota_init(const struct settings *settings) {
    quota_state_init(settings);
    quota_views_init();
}
