#include "transactions.h"

#include <glib.h>
#include <stdbool.h>
#include <time.h>

#include "../clock/clock.h"
#include "../json/json.h"
#include "../membership/membership.h"

#define COMPARISONS_MAX_PER_WRITE 4 /* a transaction's limit, for each write that it may hold */

void transaction_free(gpointer transaction) {
    store_txn_free(transaction);
    g_free(transaction);
}

int transactions_writes_max(void) { return MIN(ROUND_TRANSACTION_WRITES_MAX, scheduler_settings->txn_operations_max); }

static bool has_room(const struct scheduling_round *round, const struct store_txn *transaction, int writes,
                     int comparisons) {
    int comparisons_max = scheduler_settings->txn_operations_max * COMPARISONS_MAX_PER_WRITE;
    if (round->one_record_per_transaction && transaction->n_operations > 0) return false;
    return transaction->n_operations + writes <= transactions_writes_max() &&
           cJSON_GetArraySize(transaction->comparisons) + comparisons <= comparisons_max;
}

struct store_txn *transactions_reserve(struct scheduling_round *round, int writes, int comparisons) {
    GPtrArray *transactions = round->transactions;
    struct store_txn *transaction = transactions->len ? transactions->pdata[transactions->len - 1] : NULL;
    if (!transaction || !has_room(round, transaction, writes, comparisons)) {
        transaction = g_new0(struct store_txn, 1);
        store_txn_init(transaction);
        struct store_key key = store_key_shard(round->shard);
        store_txn_compare(transaction, key.text, membership_shard(round->shard)->mod_revision);
        g_ptr_array_add(transactions, transaction);
    }
    round->writes_left -= writes;
    return transaction;
}

/* Until when rounds skip a key whose write the store has rejected. The store would reject the same write again, and
 * other writes must not wait for it. */
static GHashTable *rejected_until; /* key -> struct timespec; NULL: no key was rejected yet */

bool rejected_keys_contain(const char *key) {
    const struct timespec *until = rejected_until ? g_hash_table_lookup(rejected_until, key) : NULL;
    return until && clock_seconds_since(*until) < 0;
}

void rejected_keys_add(const struct store_txn *transaction) {
    const cJSON *operation;
    if (!rejected_until) rejected_until = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    cJSON_ArrayForEach(operation, transaction->operations) {
        struct timespec *until = g_new0(struct timespec, 1);
        *until = clock_now_plus(clock_from_seconds(REJECTED_KEY_PAUSE_S));
        g_hash_table_replace(rejected_until, g_strdup(store_change_read(operation).key), until);
    }
}
