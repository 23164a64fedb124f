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

static int n_divided; /* teams with a record, readable or not */

static int part_at(const struct quota_team *t, int shard) {
    for (int i = 0; i < t->record.n_allotments; i++)
        if (t->record.allotments[i].shard == shard) return i;
    return -1;
}

/* The team's state where it is divided, looked at lately; NULL where it is not. */
static struct quota_team *divided(int team) {
    struct quota_team *t = quota_team_at(team);
    if (!t || !(t->recorded || t->damaged)) return NULL;
    if (t->recorded && !t->looked) quota_measure_demand(t);
    return t;
}

bool quota_divided(int team) { return divided(team) != NULL; }

bool quota_any_divided(void) { return n_divided > 0; }

int quota_shard_of_new(int team, const char *job_id) {
    const struct quota_team *t = quota_team_at(team);
    int home = team % quota_settings->size;
    return t && t->recorded ? quota_shard_for(job_id, home, quota_settings->size, t->record.shards) : home;
}

void quota_refresh(void) {
    n_divided = 0;
    for (int team = 0; team < quota_settings->n_teams; team++) {
        struct quota_team *t = quota_team_at(team);
        if (!t || !(t->recorded || t->damaged)) continue;
        n_divided++;
        if (t->recorded) quota_measure_demand(t);
    }
    priority_set_teams_divided(n_divided > 0);
}

static double bound_of(int64_t amount) { return amount == INT64_MAX ? INFINITY : (double)amount / QUOTA_UNIT; }
static double limit_or_none(double limit) { return limit > 0 ? limit : INFINITY; }

static const struct quota_bound no_room = {0, 0};

struct quota_bound quota_bound(int team, int shard) {
    const struct settings_team *s = &quota_settings->teams[team];
    const struct quota_team *t = divided(team);
    /* A job that came into another shard shortly before the division was taken back waits until it is moved. */
    if (!t)
        return shard == team % quota_settings->size
                   ? (struct quota_bound){limit_or_none(s->cpus_max), limit_or_none(s->gpus_max)}
                   : no_room;
    int at = part_at(t, shard);
    /* A write that was refused may be the second copy of one that was carried out: until the mirror shows whether it
     * was, what the shard uses is not known. */
    if (t->damaged || at < 0 || shard_states[shard].conflict_revision > store_revision()) return no_room;
    bool closing = quota_allotment_closing(&t->record, t->home, quota_settings->size, shard);
    struct quota_amount may =
        quota_allowance(&t->record, at, quota_view_least_limit(team), t->used, &t->targets, closing);
    return (struct quota_bound){bound_of(may.of[QUOTA_VCPUS]), bound_of(may.of[QUOTA_GPUS])};
}

bool quota_reserves_for(const struct job *j) {
    const struct quota_team *t = divided(j->spec.team);
    return t && t->reservation_holder[0] && strcmp(t->reservation_holder, j->spec.job_id) == 0;
}

bool quota_counts_scarce(const struct job *j) {
    const struct quota_team *t = divided(j->spec.team);
    return t && ((t->targets.scarce[QUOTA_VCPUS] && j->spec.vcpus > 0) ||
                 (t->targets.scarce[QUOTA_GPUS] && j->spec.gpus > 0));
}

/* Which of its dimensions a team's guarantee is measured by. */
static enum quota_dimension guaranteed(const struct quota_team *t) {
    return t->record.guarantee.of[QUOTA_GPUS] > 0 || t->record.guarantee.of[QUOTA_VCPUS] == 0 ? QUOTA_GPUS
                                                                                              : QUOTA_VCPUS;
}

bool quota_may_preempt(const struct allocation *b) {
    const struct quota_team *t = divided(b->job->spec.team);
    if (!t) return true;
    int at = part_at(t, jobs_shard(b->job));
    if (t->damaged || at < 0) return false;
    struct quota_amount used[QUOTA_SHARES_MAX];
    memcpy(used, t->used, sizeof used);
    used[at] = quota_amount_difference(used[at], t->stopping[at]);
    enum quota_dimension d = guaranteed(t);
    return quota_over_guarantee(&t->record, at, used).of[d] >= MAX(quota_amount_used(&b->job->spec, 1).of[d], 1);
}

bool quota_may_preempt_all(const struct machine *m, enum job_priority rank) {
    bool may = true;
    guint counted = 0;
    struct quota_amount before[MACHINE_TASKS_MAX] = {{{0}}};
    /* Each is counted as stopped while the next is looked at: the sum must lie beyond the guarantee. */
    for (; counted < m->allocations->len && counted < MACHINE_TASKS_MAX; counted++) {
        const struct allocation *b = m->allocations->pdata[counted];
        struct quota_team *t = divided(b->job->spec.team);
        int at = t && !t->damaged ? part_at(t, jobs_shard(b->job)) : -1;
        may &= !t || b->job->priority < rank || quota_may_preempt(b);
        if (at < 0) continue;
        before[counted] = t->stopping[at];
        quota_note_preempted(b);
    }
    while (counted-- > 0) {
        const struct allocation *b = m->allocations->pdata[counted];
        struct quota_team *t = divided(b->job->spec.team);
        int at = t && !t->damaged ? part_at(t, jobs_shard(b->job)) : -1;
        if (at >= 0) t->stopping[at] = before[counted];
    }
    return may;
}

bool quota_waits_for_machines(const struct job *j, int tasks) {
    const struct quota_team *t = divided(j->spec.team);
    if (!t) return true;
    int shard = jobs_shard(j), at = part_at(t, shard);
    if (t->damaged || at < 0) return false;
    struct quota_bound most = quota_bound(j->spec.team, shard);
    return (double)t->used[at].of[QUOTA_VCPUS] / QUOTA_UNIT + tasks * j->spec.vcpus <= most.vcpus + 1e-6 &&
           (double)t->used[at].of[QUOTA_GPUS] / QUOTA_UNIT + tasks * j->spec.gpus <= most.gpus + 1e-6;
}

void quota_note_preempted(const struct allocation *b) {
    struct quota_team *t = divided(b->job->spec.team);
    int at = t ? part_at(t, jobs_shard(b->job)) : -1;
    if (at >= 0) t->stopping[at] = quota_amount_sum(t->stopping[at], quota_amount_used(&b->job->spec, 1));
}

/* The periodic line of each team whose home is ours. */
void quota_log_status(void) {
    for (int team = 0; team < quota_settings->n_teams; team++) {
        const struct quota_team *t = divided(team);
        if (!t || t->damaged || !membership_owns(t->home)) continue;
        const struct quota_record *r = &t->record;
        GString *line = g_string_new("");
        for (int i = 0; i < r->n_allotments; i++) {
            struct quota_amount waits = quota_amount_difference(t->targets.of[i], t->used[i]);
            g_string_append_printf(
                line, ", shard %d uses %.0f/%.0f of %.0f/%.0f and is due %.0f/%.0f more", r->allotments[i].shard,
                (double)t->used[i].of[QUOTA_VCPUS] / QUOTA_UNIT, (double)t->used[i].of[QUOTA_GPUS] / QUOTA_UNIT,
                (double)r->allotments[i].limit.of[QUOTA_VCPUS] / QUOTA_UNIT,
                (double)r->allotments[i].limit.of[QUOTA_GPUS] / QUOTA_UNIT, (double)waits.of[QUOTA_VCPUS] / QUOTA_UNIT,
                (double)waits.of[QUOTA_GPUS] / QUOTA_UNIT);
        }
        log_info("quota: team %s, epoch %lld%s, unassigned %.0f/%.0f (vcpus/gpus)%s%s",
                 quota_settings->teams[team].name, (long long)r->epoch, line->str,
                 (double)r->unassigned.of[QUOTA_VCPUS] / QUOTA_UNIT, (double)r->unassigned.of[QUOTA_GPUS] / QUOTA_UNIT,
                 t->reservation_holder[0] ? ", capacity is reserved for " : "", t->reservation_holder);
        g_string_free(line, TRUE);
    }
}

void quota_init(const struct settings *s) { quota_state_init(s); }
