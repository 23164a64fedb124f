/* The changes that an owner writes of divided teams: their records, and the shards of waiting jobs. */
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

/* All controllers' changes of allotments together stay below this fraction of the store's rate: they only move what is
 * not used yet, and must not take from allocations. */
#define CHANGES_FRACTION 0.15
#define CHANGES_BURST 3.0
#define MOVE_EVERY_S 0.2 /* between searches for jobs that wait in another shard than they should */

/* What this controller may change now, counted under store_lock. */
static struct {
    double left;
    struct timespec counted;
} budget = {.left = CHANGES_BURST};

static bool may_change(void) {
    struct timespec now = clock_now();
    double rate = quota_settings->state_write_rps * CHANGES_FRACTION / membership_live_controllers();
    double refilled = budget.left + (clock_to_seconds(now) - clock_to_seconds(budget.counted)) * rate;
    budget.left = refilled < CHANGES_BURST ? refilled : CHANGES_BURST;
    budget.counted = now;
    return budget.left >= 1;
}

/* The shard is owned here, and all that was written of it is in the mirror: what it uses is known. */
static bool settled(int shard) {
    const struct shard_state *state = &shard_states[shard];
    return membership_owns(shard) && !state->barrier_pending &&
           state->fencing_token == membership_shard(shard)->fencing_token &&
           state->conflict_revision <= store_revision();
}

/* A change of one team's record on its way. */
struct change {
    struct store_txn txn;
    struct store_key key;
    int shards[QUOTA_SHARDS_MAX]; /* those that it is conditional on */
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

/* Nothing is left in shards beside the home. */
static bool undivided_again(const struct quota_team *team_quota) {
    if (team_quota->record.shards > 1 || team_quota->record.n_allotments > 1) return false;
    for (int shard = 0; shard < quota_settings->size; shard++) {
        if (shard == team_quota->home) continue;
        if (has_job_of(jobs_active_of(shard), team_quota->team)) return false;
        if (has_job_of(jobs_ended_of(shard), team_quota->team)) return false;
    }
    return true;
}

/* The limit while controllers' settings differ: lowered as soon as one of them names less, raised once all name more.
 */
static struct quota_amount limit_while_unknown(const struct quota_team *team_quota) {
    struct quota_amount limit = quota_view_least_limit(team_quota->team);
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) {
        int64_t present = team_quota->record.limit.of[dimension], named = limit.of[dimension];
        if (present > 0 && (named == 0 || named > present)) limit.of[dimension] = present;
    }
    return limit;
}

/* Follows the settings: false where the record says the same already and nothing is left to be removed from it. */
static bool follow_settings(const struct quota_team *team_quota, const struct quota_view *agreed,
                            struct quota_record *next) {
    const struct quota_record *record = &team_quota->record;
    struct quota_amount limit = agreed ? agreed->limit : limit_while_unknown(team_quota);
    struct quota_amount guarantee = agreed ? agreed->guarantee : record->guarantee;
    int shards = agreed && agreed->shards > 0 ? agreed->shards : record->shards;
    bool same = quota_amount_equal(limit, record->limit) && quota_amount_equal(guarantee, record->guarantee) &&
                shards == record->shards;
    if (same) return quota_record_prune(next, team_quota->home, quota_settings->size, team_quota->used);
    quota_record_change(next, team_quota->home, quota_settings->size, shards, limit, guarantee);
    return true;
}

static void begin_home_change(struct change *change, const struct quota_team *team_quota) {
    begin_change(change, team_quota);
    require_shard(change, team_quota->home);
}

static bool divide_team(struct change *change, const struct quota_team *team_quota, const struct quota_view *agreed) {
    if (!agreed || agreed->shards <= 1 || !schema_version_divided_quota_active()) return false;
    struct quota_record record =
        quota_record_create(team_quota->home, quota_settings->size, agreed->shards, agreed->limit, agreed->guarantee);
    begin_home_change(change, team_quota);
    store_txn_put(&change->txn, change->key.text, quota_record_value(&record), 0);
    return true;
}

/* The duties of the home's owner: it divides the team, follows the settings, and takes the division back. */
static bool change_division(struct change *change, struct quota_team *team_quota) {
    struct quota_view view;
    const struct quota_view *agreed = quota_view_agreed(team_quota->team, &view) ? &view : NULL;
    if (team_quota->damaged || !settled(team_quota->home)) return false;
    if (!team_quota->recorded) return divide_team(change, team_quota, agreed);
    quota_measure_demand(team_quota);
    if (undivided_again(team_quota)) {
        begin_home_change(change, team_quota);
        store_txn_delete(&change->txn, change->key.text);
        return true;
    }
    struct quota_record next = team_quota->record;
    if (!follow_settings(team_quota, agreed, &next)) return false;
    begin_home_change(change, team_quota);
    store_txn_put(&change->txn, change->key.text, quota_record_value(&next), 0);
    return true;
}

/* The allotments of owned shards, towards what is due to each. */
static bool change_allotments(struct change *change, struct quota_team *team_quota) {
    bool owned[QUOTA_SHARDS_MAX], any = false;
    if (!team_quota->recorded) return false;
    for (int i = 0; i < team_quota->record.n_allotments; i++)
        any |= owned[i] = settled(team_quota->record.allotments[i].shard);
    if (!any) return false;
    quota_measure_demand(team_quota);
    struct quota_record next = team_quota->record;
    if (!quota_rebalance(&next, team_quota->home, quota_settings->size, team_quota->used, &team_quota->targets, owned))
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
        /* It may yet be carried out: nothing is allocated in these shards before their mod revisions have moved. */
        for (int i = 0; i < change->n_shards; i++) shard_states[change->shards[i]].barrier_pending = true;
    }
    store_response_clear(&response);
}

/* The job has nothing allocated, and by its id its team's number of shards puts it into another shard now. */
static bool waits_elsewhere(const struct job *job, int shard) {
    if (job->allocations->len > 0 || job->n_dirty_chunks > 0 || !job->spec_text || job->spec.team < 0) return false;
    const struct quota_team *team_quota = quota_team_at(job->spec.team);
    bool damaged = team_quota && team_quota->damaged;
    return !damaged && quota_shard_of_new(job->spec.team, job->spec.job_id) != shard;
}

/* Jobs that wait follow the number of their team's shards: they leave one that closes, and divide among new ones. Late
 * allocations of theirs fail, since their records have changed. */
static bool move_jobs(struct change *change, int shard, int most) {
    int moved = 0;
    GPtrArray *jobs = jobs_active_of(shard);
    if (!settled(shard)) return false;
    memset(change, 0, sizeof *change);
    store_txn_init(&change->txn);
    for (guint i = 0; i < jobs->len && moved < most; i++) {
        const struct job *job = jobs->pdata[i];
        if (!waits_elsewhere(job, shard)) continue;
        struct store_key key = store_key_job(job->spec.job_id);
        store_txn_compare(&change->txn, key.text, store_key_revision(key.text));
        store_txn_put(&change->txn, key.text,
                      jobs_moved_value(job, quota_shard_of_new(job->spec.team, job->spec.job_id)), 0);
        moved++;
    }
    if (moved > 0) require_shard(change, shard);
    return moved > 0;
}

static void run_change(struct http_client *client, struct change *change, bool wanted) {
    if (wanted) send_change(client, change);
    if (change->txn.comparisons) store_txn_free(&change->txn);
}

static void change_teams(struct http_client *client) {
    struct change change;
    for (int team = 0; team < quota_settings->n_teams; team++) {
        store_lock();
        struct quota_team *team_quota = quota_team_for(team);
        memset(&change, 0, sizeof change);
        bool wanted = team_quota && may_change() &&
                      (change_division(&change, team_quota) || change_allotments(&change, team_quota));
        budget.left -= wanted;
        store_unlock();
        run_change(client, &change, wanted);
    }
}

/* What waits in a closing shard is not served there: it moves as fast as the store lets it beside allocations. */
static void move_all_jobs(struct http_client *client) {
    struct change change;
    for (int shard = 0; shard < quota_settings->size; shard++) {
        int most = MIN(store_budget_available(STORE_PRIORITY_PROGRESS), quota_settings->txn_ops);
        if (most < 1) return;
        store_lock();
        memset(&change, 0, sizeof change);
        bool wanted = move_jobs(&change, shard, most);
        store_unlock();
        run_change(client, &change, wanted);
    }
}

void quota_commit_changes(struct http_client *client) {
    static struct timespec moved;
    store_lock();
    bool in_use = quota_in_use(), foreign = jobs_any_foreign();
    store_unlock();
    if (in_use) change_teams(client);
    if ((in_use || foreign) && clock_seconds_since(moved) > MOVE_EVERY_S) {
        moved = clock_now();
        move_all_jobs(client);
    }
}
