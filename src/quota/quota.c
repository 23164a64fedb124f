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

static int n_divided; /* teams with a record, readable or not */

/* The team's state where it is divided, measured lately; NULL where it is not. */
static struct quota_team *divided(int team) {
    struct quota_team *team_quota = quota_team_at(team);
    if (!team_quota || !(team_quota->recorded || team_quota->damaged)) return NULL;
    if (team_quota->recorded && !team_quota->measured) quota_measure_demand(team_quota);
    return team_quota;
}

bool quota_divided(int team) { return divided(team) != NULL; }

bool quota_any_divided(void) { return n_divided > 0; }

int quota_shard_of_new(int team, const char *job_id) {
    const struct quota_team *team_quota = quota_team_at(team);
    int home = settings_home_shard(quota_settings, team);
    return team_quota && team_quota->recorded
               ? quota_shard_for(job_id, home, quota_settings->size, team_quota->record.shards)
               : home;
}

void quota_refresh(void) {
    n_divided = 0;
    for (int team = 0; team < quota_settings->n_teams; team++) {
        struct quota_team *team_quota = quota_team_at(team);
        if (!team_quota || !(team_quota->recorded || team_quota->damaged)) continue;
        n_divided++;
        if (team_quota->recorded) quota_measure_demand(team_quota);
    }
    priority_set_teams_divided(n_divided > 0);
}

static double bound_of(int64_t amount) { return amount == INT64_MAX ? INFINITY : (double)amount / QUOTA_UNIT; }
static double limit_or_none(double limit) { return limit > 0 ? limit : INFINITY; }

static const struct quota_bound no_room = {0, 0};

struct quota_bound quota_bound(int team, int shard) {
    const struct settings_team *team_settings = &quota_settings->teams[team];
    const struct quota_team *team_quota = divided(team);
    /* A job that came into another shard shortly before the division was taken back waits until it is moved. */
    if (!team_quota) {
        return shard == settings_home_shard(quota_settings, team)
                   ? (struct quota_bound){limit_or_none(team_settings->cpus_max),
                                          limit_or_none(team_settings->gpus_max)}
                   : no_room;
    }
    int at = quota_allotment_index(&team_quota->record, shard);
    /* A write that was refused may be the second copy of one that was carried out: until the mirror shows whether it
     * was, what the shard uses is not known. */
    if (team_quota->damaged || at < 0 || shard_states[shard].conflict_revision > store_revision()) return no_room;
    bool closing = quota_allotment_closing(&team_quota->record, team_quota->home, quota_settings->size, shard);
    struct quota_amount may = quota_allowance(&team_quota->record, at, quota_view_least_limit(team), team_quota->used,
                                              &team_quota->targets, closing);
    return (struct quota_bound){bound_of(may.of[QUOTA_VCPUS]), bound_of(may.of[QUOTA_GPUS])};
}

bool quota_reserves_for(const struct job *job) {
    const struct quota_team *team_quota = divided(job->spec.team);
    return team_quota && team_quota->reservation_holder[0] &&
           strcmp(team_quota->reservation_holder, job->spec.job_id) == 0;
}

bool quota_counts_scarce(const struct job *job) {
    const struct quota_team *team_quota = divided(job->spec.team);
    return team_quota && ((team_quota->targets.scarce[QUOTA_VCPUS] && job->spec.vcpus > 0) ||
                          (team_quota->targets.scarce[QUOTA_GPUS] && job->spec.gpus > 0));
}

/* Which of its dimensions a team's guarantee is measured by. */
static enum quota_dimension guaranteed(const struct quota_team *team_quota) {
    return team_quota->record.guarantee.of[QUOTA_GPUS] > 0 || team_quota->record.guarantee.of[QUOTA_VCPUS] == 0
               ? QUOTA_GPUS
               : QUOTA_VCPUS;
}

bool quota_may_preempt(const struct allocation *allocation) {
    const struct quota_team *team_quota = divided(allocation->job->spec.team);
    if (!team_quota) return true;
    int at = quota_allotment_index(&team_quota->record, jobs_shard(allocation->job));
    if (team_quota->damaged || at < 0) return false;
    struct quota_amount used[QUOTA_SHARDS_MAX];
    memcpy(used, team_quota->used, sizeof used);
    used[at] = quota_amount_difference(used[at], team_quota->stopping[at]);
    enum quota_dimension dimension = guaranteed(team_quota);
    return quota_over_guarantee(&team_quota->record, at, used).of[dimension] >=
           MAX(quota_amount_used(&allocation->job->spec, 1).of[dimension], 1);
}

bool quota_may_preempt_all(const struct machine *machine, enum job_priority priority) {
    bool may = true;
    guint counted = 0;
    struct quota_amount before[MACHINE_TASKS_MAX] = {{{0}}};
    /* Each is counted as stopped while the next is measured: the sum must lie beyond the guarantee. */
    for (; counted < machine->allocations->len && counted < MACHINE_TASKS_MAX; counted++) {
        const struct allocation *allocation = machine->allocations->pdata[counted];
        struct quota_team *team_quota = divided(allocation->job->spec.team);
        int at = team_quota && !team_quota->damaged
                     ? quota_allotment_index(&team_quota->record, jobs_shard(allocation->job))
                     : -1;
        may &= !team_quota || allocation->job->priority < priority || quota_may_preempt(allocation);
        if (at < 0) continue;
        before[counted] = team_quota->stopping[at];
        quota_note_preempted(allocation);
    }
    while (counted-- > 0) {
        const struct allocation *allocation = machine->allocations->pdata[counted];
        struct quota_team *team_quota = divided(allocation->job->spec.team);
        int at = team_quota && !team_quota->damaged
                     ? quota_allotment_index(&team_quota->record, jobs_shard(allocation->job))
                     : -1;
        if (at >= 0) team_quota->stopping[at] = before[counted];
    }
    return may;
}

bool quota_waits_for_machines(const struct job *job, int tasks) {
    const struct quota_team *team_quota = divided(job->spec.team);
    if (!team_quota) return true;
    int shard = jobs_shard(job), at = quota_allotment_index(&team_quota->record, shard);
    if (team_quota->damaged || at < 0) return false;
    struct quota_bound most = quota_bound(job->spec.team, shard);
    return quota_amount_units(team_quota->used[at], QUOTA_VCPUS) + tasks * job->spec.vcpus <=
               most.vcpus + QUOTA_ROUNDING &&
           quota_amount_units(team_quota->used[at], QUOTA_GPUS) + tasks * job->spec.gpus <= most.gpus + QUOTA_ROUNDING;
}

void quota_note_preempted(const struct allocation *allocation) {
    struct quota_team *team_quota = divided(allocation->job->spec.team);
    int at = team_quota ? quota_allotment_index(&team_quota->record, jobs_shard(allocation->job)) : -1;
    if (at >= 0) {
        team_quota->stopping[at] =
            quota_amount_sum(team_quota->stopping[at], quota_amount_used(&allocation->job->spec, 1));
    }
}

/* The periodic line of each team whose home is ours. */
void quota_log_status(void) {
    for (int team = 0; team < quota_settings->n_teams; team++) {
        const struct quota_team *team_quota = divided(team);
        if (!team_quota || team_quota->damaged || !membership_owns(team_quota->home)) continue;
        const struct quota_record *record = &team_quota->record;
        GString *line = g_string_new("");
        for (int i = 0; i < record->n_allotments; i++) {
            struct quota_amount waits = quota_amount_difference(team_quota->targets.of[i], team_quota->used[i]);
            g_string_append_printf(line, ", shard %d uses %.0f/%.0f of %.0f/%.0f and is due %.0f/%.0f more",
                                   record->allotments[i].shard, quota_amount_units(team_quota->used[i], QUOTA_VCPUS),
                                   quota_amount_units(team_quota->used[i], QUOTA_GPUS),
                                   quota_amount_units(record->allotments[i].limit, QUOTA_VCPUS),
                                   quota_amount_units(record->allotments[i].limit, QUOTA_GPUS),
                                   quota_amount_units(waits, QUOTA_VCPUS), quota_amount_units(waits, QUOTA_GPUS));
        }
        log_info(
            "quota: team %s, epoch %lld%s, unassigned %.0f/%.0f (vcpus/gpus)%s%s", quota_settings->teams[team].name,
            (long long)record->epoch, line->str, quota_amount_units(record->unassigned, QUOTA_VCPUS),
            quota_amount_units(record->unassigned, QUOTA_GPUS),
            team_quota->reservation_holder[0] ? ", capacity is reserved for " : "", team_quota->reservation_holder);
        g_string_free(line, TRUE);
    }
}

void quota_init(const struct settings *settings) {
    quota_state_init(settings);
    quota_views_init();
}
