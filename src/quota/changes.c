/* The changes that a shard's owner writes for divided teams: to their records, and to the shards of waiting jobs. */
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "../clock/clock.h"
#include "../http/client.h"
#include "../jobs/jobs.h"
#include "../membership/membership.h"
#include "../schema_version/schema_version.h"
#include "demand.h"
#include "views.h"

/* All controllers together spend at most this fraction of the store's write rate on changes of records. These only move
 * capacity that is not in use yet, and must not take writes from allocations. */
#define CHANGES_RATE_FRACTION 0.15
#define CHANGES_BURST 3.0   /* changes that the full budget allows */
#define MOVE_INTERVAL_S 0.2 /* interval between searches for waiting jobs that belong in another shard */

/* Token bucket that limits this controller's changes of records. Protected by store_lock. */
static struct {
    double tokens;
    struct timespec refilled_at;
} budget = {.tokens = CHANGES_BURST};

/* Refills the budget and returns whether it allows a change. */
static bool budget_allows_change(void) {
    struct timespec now = clock_now();
    double rate = quota_settings->store_changes_per_s * CHANGES_RATE_FRACTION / membership_live_controllers();
    double refilled = budget.tokens + (clock_to_seconds(now) - clock_to_seconds(budget.refilled_at)) * rate;
    budget.tokens = refilled < CHANGES_BURST ? refilled : CHANGES_BURST;
    budget.refilled_at = now;
    return budget.tokens >= 1;
}

/* Returns whether this controller knows the shard's use: it owns the shard, and the mirror holds all writes to it. */
static bool usage_known(int shard) {
    const struct shard_state *state = &owned_shard_states[shard];
    return membership_owns(shard) && !state->barrier_pending &&
           state->fencing_token == membership_shard(shard)->fencing_token &&
           state->conflict_revision <= store_revision();
}

/* A transaction that changes one team's record or moves jobs out of one shard. */
struct change {
    struct store_txn txn;
    struct store_key key;
    int shards[QUOTA_SHARDS_MAX]; /* the shards whose records must be unchanged */
    int n_shards;
};

static void require_shard(struct change *change, int shard) {
    struct store_key key = store_key_shard(shard);
    store_txn_compare(&change->txn, key.text, membership_shard(shard)->mod_revision);
    for (int i = 0; i < change->n_shards; i++)
        if (change->shards[i] == shard) return;
    change->shards[change->n_shards++] = shard;
}

static void begin_change(struct change *change, const struct quota_team *team_quota) {
    memset(change, 0, sizeof *change);
    store_txn_init(&change->txn);
    change->key = store_key_quota(quota_settings->teams[team_quota->team].name);
    store_txn_compare(&change->txn, change->key.text, store_key_revision(change->key.text));
}

static bool has_job_of(const GPtrArray *jobs, int team) {
    for (guint i = 0; i < jobs->len; i++) {
        const struct job *job = jobs->pdata[i];
        if (job->spec.team == team) return true;
    }
    return false;
}

/* Returns whether the team has allotments and jobs in its home shard only, so that its record can be deleted. */
static bool division_ended(const struct quota_team *team_quota) {
    if (team_quota->record.n_shards > 1 || team_quota->record.n_allotments > 1) return false;
    for (int shard = 0; shard < quota_settings->n_shards; shard++) {
        if (shard == team_quota->home_shard) continue;
        if (has_job_of(jobs_active_in_shard(shard), team_quota->team)) return false;
        if (has_job_of(jobs_ended_in_shard(shard), team_quota->team)) return false;
    }
    return true;
}

/* Returns the limit that applies while not all controllers have recorded their views: it is lowered as soon as one view
 * has a lower limit, but not raised. */
static struct quota_amount limit_until_agreed(const struct quota_team *team_quota) {
    struct quota_amount limit = quota_view_lowest_limit(team_quota->team);
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) {
        int64_t current = team_quota->record.limit.thousandths[dimension], lowest_view = limit.thousandths[dimension];
        if (current > 0 && (lowest_view == 0 || lowest_view > current)) limit.thousandths[dimension] = current;
    }
    return limit;
}

/* Applies the settings to the record and removes empty allotments. Returns whether the record changed. */
static bool apply_settings(const struct quota_team *team_quota, const struct quota_view *agreed,
                           struct quota_record *next) {
    const struct quota_record *record = &team_quota->record;
    struct quota_amount limit = agreed ? agreed->limit : limit_until_agreed(team_quota);
    struct quota_amount guarantee = agreed ? agreed->guarantee : record->guarantee;
    int n_shards = agreed && agreed->n_shards > 0 ? agreed->n_shards : record->n_shards;
    bool unchanged = quota_amount_equal(limit, record->limit) && quota_amount_equal(guarantee, record->guarantee) &&
                     n_shards == record->n_shards;
    if (unchanged) return quota_record_prune(next, team_quota->home_shard, quota_settings->n_shards, team_quota->used);
    quota_record_reconfigure(next, team_quota->home_shard, quota_settings->n_shards, n_shards, limit, guarantee);
    return true;
}

static void begin_home_change(struct change *change, const struct quota_team *team_quota) {
    begin_change(change, team_quota);
    require_shard(change, team_quota->home_shard);
}

/* Prepares the first record of a team. Returns false if the team is not to be divided yet. */
static bool divide_team(struct change *change, const struct quota_team *team_quota, const struct quota_view *agreed) {
    if (!agreed || agreed->n_shards <= 1 || !schema_version_divided_quota_active()) return false;
    struct quota_record record = quota_record_create(team_quota->home_shard, quota_settings->n_shards, agreed->n_shards,
                                                     agreed->limit, agreed->guarantee);
    begin_home_change(change, team_quota);
    store_txn_put(&change->txn, change->key.text, quota_record_value(&record), 0);
    return true;
}

/* Prepares a change that only the owner of the home shard makes: creates the record, applies the settings to it, or
 * deletes it. Returns false if no such change is due. */
static bool change_division(struct change *change, struct quota_team *team_quota) {
    struct quota_view view;
    const struct quota_view *agreed = quota_view_agreed(team_quota->team, &view) ? &view : NULL;
    if (team_quota->unreadable || !usage_known(team_quota->home_shard)) return false;
    if (!team_quota->recorded) return divide_team(change, team_quota, agreed);
    quota_measure_demand(team_quota);
    if (division_ended(team_quota)) {
        begin_home_change(change, team_quota);
        store_txn_delete(&change->txn, change->key.text);
        return true;
    }
    struct quota_record next = team_quota->record;
    if (!apply_settings(team_quota, agreed, &next)) return false;
    begin_home_change(change, team_quota);
    store_txn_put(&change->txn, change->key.text, quota_record_value(&next), 0);
    return true;
}

/* Prepares a change that moves the allotments of owned shards towards their targets. Returns false if none is due. */
static bool change_allotments(struct change *change, struct quota_team *team_quota) {
    bool owned[QUOTA_SHARDS_MAX], any_owned = false;
    if (!team_quota->recorded) return false;
    for (int i = 0; i < team_quota->record.n_allotments; i++)
        any_owned |= owned[i] = usage_known(team_quota->record.allotments[i].shard);
    if (!any_owned) return false;
    quota_measure_demand(team_quota);
    struct quota_record next = team_quota->record;
    if (!quota_rebalance(&next, team_quota->home_shard, quota_settings->n_shards, team_quota->used,
                         &team_quota->targets, owned))
        return false;
    begin_change(change, team_quota);
    for (int i = 0; i < next.n_allotments; i++) {
        if (!quota_amount_equal(next.allotments[i].limit, team_quota->record.allotments[i].limit))
            require_shard(change, next.allotments[i].shard);
    }
    store_txn_put(&change->txn, change->key.text, quota_record_value(&next), 0);
    return true;
}

static void send_change(struct http_client *client, struct change *change) {
    struct store_response response;
    enum store_result result = store_commit(client, STORE_PRIORITY_PROGRESS, &change->txn, &response);
    if (result == STORE_OK) {
        store_lock();
        store_apply_committed(&change->txn, response.revision);
        store_unlock();
    } else if (result == STORE_CONFLICT) {
        store_refresh(client, change->key.text);
        store_wake_watch();
    } else if (result == STORE_UNKNOWN) {
        /* The transaction may still be applied: nothing is allocated in these shards until their mod revisions rise. */
        for (int i = 0; i < change->n_shards; i++) owned_shard_states[change->shards[i]].barrier_pending = true;
    }
    store_response_clear(&response);
}

/* Returns whether the job has no allocations and its id now maps to another shard of its team. */
static bool belongs_elsewhere(const struct job *job, int shard) {
    if (job->allocations->len > 0 || job->n_dirty_chunks > 0 || !job->spec_text || job->spec.team < 0) return false;
    const struct quota_team *team_quota = quota_team_find(job->spec.team);
    bool unreadable = team_quota && team_quota->unreadable;
    return !unreadable && quota_shard_for_new_job(job->spec.team, job->spec.job_id) != shard;
}

/* Prepares a change that moves up to `moves_max` waiting jobs from this shard to the shard that they belong in after
 * their team's number of shards has changed. Returns false if it moves no job. An allocation of such a job that is
 * still in flight fails, since the job's record has changed. */
static bool move_jobs(struct change *change, int shard, int moves_max) {
    int n_moved = 0;
    GPtrArray *jobs = jobs_active_in_shard(shard);
    if (!usage_known(shard)) return false;
    memset(change, 0, sizeof *change);
    store_txn_init(&change->txn);
    for (guint i = 0; i < jobs->len && n_moved < moves_max; i++) {
        const struct job *job = jobs->pdata[i];
        if (!belongs_elsewhere(job, shard)) continue;
        struct store_key key = store_key_job(job->spec.job_id);
        store_txn_compare(&change->txn, key.text, store_key_revision(key.text));
        store_txn_put(&change->txn, key.text,
                      jobs_moved_value(job, quota_shard_for_new_job(job->spec.team, job->spec.job_id)), 0);
        n_moved++;
    }
    if (n_moved > 0) require_shard(change, shard);
    return n_moved > 0;
}

static void finish_change(struct http_client *client, struct change *change, bool due) {
    if (due) send_change(client, change);
    if (change->txn.comparisons) store_txn_free(&change->txn);
}

static void change_records(struct http_client *client) {
    struct change change;
    for (int team = 0; team < quota_settings->n_teams; team++) {
        store_lock();
        struct quota_team *team_quota = quota_team_find_or_create(team);
        memset(&change, 0, sizeof change);
        bool due = team_quota && budget_allows_change() &&
                   (change_division(&change, team_quota) || change_allotments(&change, team_quota));
        budget.tokens -= due;
        store_unlock();
        finish_change(client, &change, due);
    }
}

/* Waiting jobs are not served in a closing shard, so they are moved as fast as the rate budget allows. */
static void move_waiting_jobs(struct http_client *client) {
    struct change change;
    for (int shard = 0; shard < quota_settings->n_shards; shard++) {
        int moves_max = MIN(store_budget_available(STORE_PRIORITY_PROGRESS), quota_settings->txn_operations_max);
        if (moves_max < 1) return;
        store_lock();
        memset(&change, 0, sizeof change);
        bool due = move_jobs(&change, shard, moves_max);
        store_unlock();
        finish_change(client, &change, due);
    }
}

void quota_commit_changes(struct http_client *client) {
    static struct timespec last_move;
    store_lock();
    bool in_use = quota_in_use(), any_outside_home_shard = jobs_any_outside_home_shard();
    store_unlock();
    if (in_use) change_records(client);
    if ((in_use || any_outside_home_shard) && clock_seconds_since(last_move) > MOVE_INTERVAL_S) {
        last_move = clock_now();
        move_waiting_jobs(client);
    }
}
