#include "lease.h"

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../store/store.h"
#include "membership.h"
#include "records.h"

static const struct settings *cfg;
static struct {
    int64_t id; /* 0: no lease is held */
    struct timespec renewed_at;
} lease;

void lease_init(const struct settings *settings) { cfg = settings; }

int64_t lease_id(void) { return lease.id; }

/* Writes the node record of this controller under the granted lease; on success, the controller holds that lease. */
static void write_node_record(struct http_client *client, int64_t granted_lease) {
    struct store_key key = store_key_node(cfg->node);
    struct store_txn txn;
    struct store_response response;
    store_refresh(client, key.text);
    store_txn_init(&txn);
    store_lock();
    records_compare_own_node(&txn);
    store_unlock();
    store_txn_put(&txn, key.text, records_node_value(membership_workers_unreachable()), granted_lease);
    if (store_commit(client, STORE_PRIORITY_LEASE, &txn, &response) == STORE_OK) {
        store_lock();
        lease.id = granted_lease;
        store_apply_committed(&txn, response.revision);
        store_unlock();
        log_info("joined the cluster as %s, incarnation %s", cfg->node, membership_incarnation());
    }
    store_response_clear(&response);
    store_txn_free(&txn);
}

bool lease_join(struct http_client *client) {
    int64_t granted_lease;
    if (store_lease_grant(client, cfg->tuning.controller_lease, &granted_lease) == STORE_OK)
        write_node_record(client, granted_lease);
    lease.renewed_at = clock_now();
    return lease.id != 0;
}

bool lease_renew_if_due(struct http_client *client) {
    if (clock_seconds_since(lease.renewed_at) <= clock_to_seconds(cfg->tuning.controller_lease) / 4) return true;
    enum store_result result = store_lease_renew(client, lease.id);
    if (result == STORE_OK) lease.renewed_at = clock_now();
    if (result != STORE_CONFLICT) return true;
    log_info("node lease expired, rejoining");
    lease.id = 0;
    return false;
}

bool lease_update_record(struct store_txn *txn) {
    bool unreachable = membership_workers_unreachable();
    if (records_own_node()->workers_unreachable == unreachable) return false;
    records_compare_own_node(txn);
    store_txn_put(txn, store_key_node(cfg->node).text, records_node_value(unreachable), lease.id);
    return true;
}
