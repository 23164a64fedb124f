/* Runs a scheduling round: claims the shard, decides the round, and sends its transactions to the store. */
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

/* Called with store_lock held. Resets the shard's state if the shard is owned under a new fencing token. */
static void claim_shard(int shard) {
    struct shard_state *state = &owned_shard_states[shard];
    int64_t fencing_token = membership_shard(shard)->fencing_token;
    if (state->fencing_token == fencing_token) return;
    state->fencing_token = fencing_token;
    state->attempt_counter = 0;
    state->barrier_pending = false;
    state->owned_since = clock_now();
    log_info("shard %d: owned under fencing token %lld, last read of the store %.2f s ago", shard,
             (long long)fencing_token, clock_seconds_since(store_last_read_sent()));
}

/* Called with store_lock held. Returns whether a prerequisite has completed but is not recorded as done. Its dependents
 * wait for the record, so its write takes precedence over ordinary progress. */
static bool prerequisite_completed(int shard) {
    const GPtrArray *jobs = jobs_active_in_shard(shard);
    for (guint i = 0; i < jobs->len; i++) {
        const struct job *job = jobs->pdata[i];
        if (job->dependents && jobs_complete(job)) return true;
    }
    return false;
}

static void handle_committed(const struct scheduling_round *round, const struct store_txn *transaction,
                             const struct store_response *response) {
    store_lock();
    scheduling_round_apply(round, transaction, response->revision);
    store_unlock();
}

/* Chunks of allocations and pages of machines must be applied in the order of the watch: read one by one, they could be
 * newer than the records that they refer to. */
static bool is_read_by_watch_only(const char *key) {
    return g_str_has_prefix(key, STORE_PREFIX_ALLOCATIONS) || g_str_has_prefix(key, STORE_PREFIX_MACHINE_PAGE);
}

/* Reads the conflicting records again, since they differ from the mirror. */
static void handle_conflict(struct http_client *client, int shard, const struct store_response *response) {
    owned_shard_states[shard].conflict_revision = response->revision;
    for (guint i = 0; i < response->conflicts->len; i++) {
        const char *key = response->conflicts->pdata[i];
        if (!is_read_by_watch_only(key)) store_refresh(client, key);
    }
    store_wake_watch();
}

/* Handles a transaction that the store has rejected as invalid. For a while, records do not share transactions, so that
 * an invalid record does not affect other records; a record that was rejected alone is skipped for
 * REJECTED_KEY_PAUSE_S. */
static void handle_invalid(const struct scheduling_round *round, const struct store_txn *transaction) {
    if (round->one_record_per_transaction || transaction->n_operations == 1) rejected_keys_add(transaction);
    owned_shard_states[round->shard].one_record_until = clock_now_plus(clock_from_seconds(2 * REJECTED_KEY_PAUSE_S));
}

/* Sends one transaction. Returns false if the round's following transactions must not be sent. */
static bool send_transaction(struct http_client *client, const struct scheduling_round *round,
                             struct store_txn *transaction) {
    struct store_response response;
    bool continue_sending = true;
    switch (store_commit(client, STORE_PRIORITY_ALLOCATE, transaction, &response)) {
        case STORE_OK:
            handle_committed(round, transaction, &response);
            break;
        case STORE_CONFLICT:
            handle_conflict(client, round->shard, &response);
            break;
        case STORE_INVALID:
            handle_invalid(round, transaction);
            break;
        case STORE_UNKNOWN:
            owned_shard_states[round->shard].barrier_pending = true;
            continue_sending = false;
            break;
        case STORE_REJECTED:
            continue_sending = false;
            break;
    }
    store_response_clear(&response);
    return continue_sending;
}

/* Sends the round's transactions; returns true if another round should follow at once. A conflict drops only its own
 * transaction: when it also dropped the following transactions, conflicts on the fencing counter, which all controllers
 * raise, kept a shard from allocating anything for minutes. */
static bool send_transactions(struct http_client *client, const struct scheduling_round *round) {
    bool sent_any = false;
    for (guint i = 0; i < round->transactions->len; i++) {
        struct store_txn *transaction = round->transactions->pdata[i];
        if (!transaction->n_operations) continue;
        if (!send_transaction(client, round, transaction)) break;
        sent_any = true;
    }
    return sent_any;
}

/* Called with store_lock held. Claims the shard and decides its round; NULL if a barrier is pending. */
static struct scheduling_round *claim_shard_and_decide(int shard, int writes) {
    claim_shard(shard);
    if (writes < ROUND_WRITES_MIN && prerequisite_completed(shard))
        writes = store_budget_available(STORE_PRIORITY_ALLOCATE);
    return owned_shard_states[shard].barrier_pending ? NULL : scheduling_round_decide(shard, writes);
}

bool scheduling_round_run(struct http_client *client, int shard) {
    struct scheduling_round *round = NULL;
    int writes = store_budget_available(STORE_PRIORITY_PROGRESS);
    store_lock();
    bool owned = membership_owns(shard);
    if (owned) round = claim_shard_and_decide(shard, writes);
    store_unlock();
    bool run_again = false;
    if (owned && !round) {
        barrier_write(client, shard);
        run_again = true;
    }
    if (round) run_again = send_transactions(client, round) || round->has_deferred_work;
    events_publish(EVENT_DISPATCH);
    if (round) scheduling_round_free(round);
    return run_again;
}
