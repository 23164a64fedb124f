/* A scheduling round from the claim of the shard to the last answer of the store. */
#include <glib.h>
#include <stdbool.h>

#include "../clock/clock.h"
#include "../events/events.h"
#include "../jobs/jobs.h"
#include "../logging/logging.h"
#include "../machines/machines.h"
#include "../membership/membership.h"
#include "barrier.h"
#include "round.h"
#include "transactions.h"

/* With store_lock held. An owner under a new fencing token begins anew what it remembers of the shard. */
static void claim_shard(int shard) {
    struct shard_state *state = &shard_states[shard];
    int64_t fencing_token = membership_shard(shard)->fencing_token;
    if (state->fencing_token == fencing_token) return;
    state->fencing_token = fencing_token;
    state->attempt_counter = 0;
    state->barrier_pending = false;
    state->owned_since = clock_now();
    log_info("shard %d: owned under fencing token %lld", shard, (long long)fencing_token);
}

/* With store_lock held. A prerequisite has ended, and its dependents wait for the record of that: it goes ahead of
 * ordinary progress. */
static bool prerequisite_has_ended(int shard) {
    const GPtrArray *jobs = jobs_active_of(shard);
    for (guint i = 0; i < jobs->len; i++) {
        const struct job *job = jobs->pdata[i];
        if (job->dependents && jobs_complete(job)) return true;
    }
    return false;
}

static void handle_written(const struct scheduling_round *round, const struct store_txn *transaction,
                           const struct store_response *response) {
    store_lock();
    scheduling_round_apply(round, transaction, response->revision);
    store_unlock();
}

/* Chunks of allocations and pages of machines come in the order of the watch alone: read one by one they would be ahead
 * of the records that they rest on. */
static bool comes_by_watch_only(const char *key) {
    return g_str_has_prefix(key, STORE_PREFIX_ALLOCATIONS) || g_str_has_prefix(key, STORE_PREFIX_MACHINE_PAGE);
}

/* A record was another than the mirror had: what differs is read again. */
static void handle_conflict(struct http_client *client, int shard, const struct store_response *response) {
    shard_states[shard].conflict_revision = response->revision;
    for (guint i = 0; i < response->conflicts->len; i++) {
        const char *key = response->conflicts->pdata[i];
        if (!comes_by_watch_only(key)) store_refresh(client, key);
    }
    store_wake_watch();
}

/* Surely not executed. Its records are written apart from others from now on; a record that was rejected alone is left
 * out for a while. */
static void handle_invalid(const struct scheduling_round *round, const struct store_txn *transaction) {
    if (round->isolated || transaction->writes == 1) rejected_keys_add(transaction);
    shard_states[round->shard].isolated_until = clock_now_plus(clock_from_seconds(2 * REJECTED_KEY_PAUSE_S));
}

/* Sends one transaction. False if what comes after it must not be sent. */
static bool send_transaction(struct http_client *client, const struct scheduling_round *round,
                             struct store_txn *transaction) {
    struct store_response response;
    bool go_on = true;
    switch (store_commit(client, STORE_PRIORITY_ALLOCATE, transaction, &response)) {
        case STORE_OK:
            handle_written(round, transaction, &response);
            break;
        case STORE_CONFLICT:
            handle_conflict(client, round->shard, &response);
            break;
        case STORE_INVALID:
            handle_invalid(round, transaction);
            break;
        case STORE_UNKNOWN:
            shard_states[round->shard].barrier_pending = true;
            go_on = false;
            break;
        case STORE_REJECTED:
            go_on = false;
            break;
    }
    store_response_clear(&response);
    return go_on;
}

/* True if another round should follow at once. A conflict ends only its own transaction: a fence that all controllers
 * move once kept a shard from allocating anything for minutes, because what came after the raise was dropped with it.
 */
static bool send_transactions(struct http_client *client, const struct scheduling_round *round) {
    bool sent_any = false;
    for (guint i = 0; i < round->transactions->len; i++) {
        struct store_txn *transaction = round->transactions->pdata[i];
        if (!transaction->writes) continue;
        if (!send_transaction(client, round, transaction)) break;
        sent_any = true;
    }
    return sent_any;
}

/* With store_lock held. Claims the shard and decides its round; NULL: a barrier is pending. */
static struct scheduling_round *claim_and_decide(int shard, int writes) {
    claim_shard(shard);
    if (writes < LEAST_WRITES && prerequisite_has_ended(shard))
        writes = store_budget_available(STORE_PRIORITY_ALLOCATE);
    return shard_states[shard].barrier_pending ? NULL : scheduling_round_decide(shard, writes);
}

bool scheduling_round_run(struct http_client *client, int shard) {
    struct scheduling_round *round = NULL;
    int writes = store_budget_available(STORE_PRIORITY_PROGRESS);
    store_lock();
    bool owned = membership_owns(shard);
    if (owned) round = claim_and_decide(shard, writes);
    store_unlock();
    bool again = false;
    if (owned && !round) {
        barrier_try(client, shard);
        again = true;
    }
    if (round) again = send_transactions(client, round) || round->more_waits;
    events_publish(EVENT_DISPATCH);
    if (round) scheduling_round_free(round);
    return again;
}
