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

/* All controllers' changes of parts together stay below this part of the store's rate: they only move what is not used
 * yet, and must not take from allocations. */
#define CHANGES_PART 0.15
#define CHANGES_BURST 3.0
#define MOVE_EVERY_S 0.2 /* between looks for jobs that wait in another shard than they should */

static double changes_left = CHANGES_BURST;
static struct timespec changes_counted;

static bool may_change(void) {
    struct timespec now = clock_now();
    double rate = quota_settings->state_write_rps * CHANGES_PART / membership_live_controllers();
    changes_left =
        MIN(changes_left + (clock_to_seconds(now) - clock_to_seconds(changes_counted)) * rate, CHANGES_BURST);
    changes_counted = now;
    return changes_left >= 1;
}

/* The shard is ours, and all that we wrote of it is in the mirror: what it uses is known. */
static bool settled(int shard) {
    const struct shard_state *s = &shard_states[shard];
    return membership_owns(shard) && !s->barrier_pending &&
           s->fencing_token == membership_shard(shard)->fencing_token && s->conflict_revision <= store_revision();
}

/* A change of one team's record on its way. */
struct change {
    struct store_txn txn;
    struct store_key key;
    int shards[QUOTA_SHARES_MAX]; /* those that it is conditional on */
    int n_shards;
};

static void require_shard(struct change *c, int shard) {
    struct store_key key = store_key_shard(shard);
    store_txn_compare(&c->txn, key.text, membership_shard(shard)->mod_revision);
    for (int i = 0; i < c->n_shards; i++)
        if (c->shards[i] == shard) return;
    c->shards[c->n_shards++] = shard;
}

static void begin_change(struct change *c, const struct quota_team *t) {
    memset(c, 0, sizeof *c);
    store_txn_init(&c->txn);
    c->key = store_key_quota(quota_settings->teams[t->team].name);
    store_txn_compare(&c->txn, c->key.text, store_key_revision(c->key.text));
}

/* Nothing is left in shards beside the home. */
static bool undivided_again(const struct quota_team *t) {
    if (t->record.shards > 1 || t->record.n_allotments > 1) return false;
    for (int k = 0; k < quota_settings->size; k++) {
        GPtrArray *lists[] = {jobs_active_of(k), jobs_ended_of(k)};
        for (size_t l = 0; k != t->home && l < G_N_ELEMENTS(lists); l++)
            for (guint i = 0; i < lists[l]->len; i++)
                if (((const struct job *)lists[l]->pdata[i])->spec.team == t->team) return false;
    }
    return true;
}

/* The duties of the home's owner: it divides the team, follows the settings, and takes the division back. */
static bool change_division(struct change *c, struct quota_team *t) {
    struct quota_view agreed;
    bool known = quota_view_agreed(t->team, &agreed);
    struct quota_record next = t->record;
    if (t->damaged || !settled(t->home)) return false;
    if (t->recorded) quota_measure_demand(t);
    if (!t->recorded) {
        if (!known || agreed.shards <= 1 || !schema_version_divided_quota()) return false;
        next = quota_record_create(t->home, quota_settings->size, agreed.shards, agreed.limit, agreed.guarantee);
    } else if (undivided_again(t)) {
        begin_change(c, t);
        require_shard(c, t->home);
        store_txn_delete(&c->txn, c->key.text);
        return true;
    } else {
        /* Lowered as soon as one controller's settings name less, raised once all name more. */
        struct quota_amount limit = known ? agreed.limit : quota_view_least_limit(t->team);
        if (!known)
            for (int d = 0; d < QUOTA_DIMENSIONS; d++)
                if (t->record.limit.of[d] > 0 && (limit.of[d] == 0 || limit.of[d] > t->record.limit.of[d]))
                    limit.of[d] = t->record.limit.of[d];
        struct quota_amount guarantee = known ? agreed.guarantee : t->record.guarantee;
        int shards = known && agreed.shards > 0 ? agreed.shards : t->record.shards;
        bool same = quota_amount_equal(limit, t->record.limit) && shards == t->record.shards &&
                    quota_amount_equal(guarantee, t->record.guarantee);
        if (!same)
            quota_record_change(&next, t->home, quota_settings->size, shards, limit, guarantee);
        else if (!quota_record_prune(&next, t->home, quota_settings->size, t->used))
            return false;
    }
    begin_change(c, t);
    require_shard(c, t->home);
    store_txn_put(&c->txn, c->key.text, quota_record_value(&next), 0);
    return true;
}

/* Parts of our own shards, towards what is due to each. */
static bool change_parts(struct change *c, struct quota_team *t) {
    bool owned[QUOTA_SHARES_MAX], any = false;
    if (!t->recorded) return false;
    for (int i = 0; i < t->record.n_allotments; i++) any |= owned[i] = settled(t->record.allotments[i].shard);
    if (!any) return false;
    quota_measure_demand(t);
    struct quota_record next = t->record;
    if (!quota_rebalance(&next, t->home, quota_settings->size, t->used, &t->targets, owned)) return false;
    begin_change(c, t);
    for (int i = 0; i < next.n_allotments; i++)
        if (!quota_amount_equal(next.allotments[i].limit, t->record.allotments[i].limit))
            require_shard(c, next.allotments[i].shard);
    store_txn_put(&c->txn, c->key.text, quota_record_value(&next), 0);
    return true;
}

static void send_change(struct http_client *client, struct change *c) {
    struct store_response a;
    enum store_result rc = store_commit(client, STORE_PRIORITY_PROGRESS, &c->txn, &a);
    if (rc == STORE_OK) {
        store_lock();
        store_apply_committed(&c->txn, a.revision);
        store_unlock();
    } else if (rc == STORE_CONFLICT) {
        store_refresh(client, c->key.text);
        store_wake_watch();
    } else if (rc == STORE_UNKNOWN) {
        /* It may yet be carried out: nothing is allocated in these shards before their mod revisions have moved. */
        for (int i = 0; i < c->n_shards; i++) shard_states[c->shards[i]].barrier_pending = true;
    }
    store_response_clear(&a);
}

/* The job has nothing allocated, and by its id its team's number of shards puts it into another shard now. */
static bool waits_elsewhere(const struct job *j, int shard) {
    if (j->allocations->len > 0 || j->n_dirty_chunks > 0 || !j->spec_text || j->spec.team < 0) return false;
    const struct quota_team *t = quota_team_at(j->spec.team);
    bool damaged = t && t->damaged;
    return !damaged && quota_shard_of_new(j->spec.team, j->spec.job_id) != shard;
}

/* Jobs that wait follow the number of their team's shards: they leave one that closes, and part among new ones. Late
 * allocations of theirs fail, since their records have changed. */
static bool move_jobs(struct change *c, int shard, int most) {
    int moved = 0;
    GPtrArray *jobs = jobs_active_of(shard);
    if (!settled(shard)) return false;
    memset(c, 0, sizeof *c);
    store_txn_init(&c->txn);
    for (guint i = 0; i < jobs->len && moved < most; i++) {
        const struct job *j = jobs->pdata[i];
        if (!waits_elsewhere(j, shard)) continue;
        struct store_key key = store_key_job(j->spec.job_id);
        store_txn_compare(&c->txn, key.text, store_key_revision(key.text));
        store_txn_put(&c->txn, key.text, jobs_moved_value(j, quota_shard_of_new(j->spec.team, j->spec.job_id)), 0);
        moved++;
    }
    if (moved > 0) require_shard(c, shard);
    return moved > 0;
}

static void run_change(struct http_client *client, struct change *c, bool wanted) {
    if (wanted) send_change(client, c);
    if (c->txn.comparisons) store_txn_free(&c->txn);
}

static void change_teams(struct http_client *client) {
    struct change c;
    for (int team = 0; team < quota_settings->n_teams; team++) {
        store_lock();
        struct quota_team *t = quota_team_for(team);
        memset(&c, 0, sizeof c);
        bool wanted = t && may_change() && (change_division(&c, t) || change_parts(&c, t));
        changes_left -= wanted;
        store_unlock();
        run_change(client, &c, wanted);
    }
}

/* What waits in a closing shard is not served there: it moves as fast as the store lets it beside allocations. */
static void move_all_jobs(struct http_client *client) {
    struct change c;
    for (int shard = 0; shard < quota_settings->size; shard++) {
        int most = MIN(store_budget_available(STORE_PRIORITY_PROGRESS), quota_settings->txn_ops);
        if (most < 1) return;
        store_lock();
        memset(&c, 0, sizeof c);
        bool wanted = move_jobs(&c, shard, most);
        store_unlock();
        run_change(client, &c, wanted);
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
