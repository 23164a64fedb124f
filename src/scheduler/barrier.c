#include "barrier.h"

#include <stdbool.h>

#include "../json/json.h"
#include "../machines/machines.h"
#include "../membership/membership.h"
#include "../store/store.h"

static bool send_barrier(struct http_client *client, struct store_txn *transaction) {
    struct store_response response;
    bool committed = store_commit(client, STORE_PRIORITY_ALLOCATE, transaction, &response) == STORE_OK;
    if (committed) {
        store_lock();
        store_apply_committed(transaction, response.revision);
        store_unlock();
        store_wake_watch();
    }
    store_response_clear(&response);
    return committed;
}

void barrier_write(struct http_client *client, int shard) {
    struct store_key key = store_key_shard(shard);
    struct store_txn transaction;
    store_refresh(client, key.text);
    store_txn_init(&transaction);
    store_lock();
    bool owned = membership_owns(shard);
    const struct membership_shard_state *record = membership_shard(shard);
    store_txn_compare(&transaction, key.text, record->mod_revision);
    struct token_range tokens = {record->fencing_token, record->last_token};
    cJSON *same_value = membership_shard_value(record->owner, record->incarnation, tokens);
    store_txn_put(&transaction, key.text, same_value, 0);
    store_unlock();
    if (owned && send_barrier(client, &transaction)) owned_shard_states[shard].barrier_pending = false;
    store_txn_free(&transaction);
}
