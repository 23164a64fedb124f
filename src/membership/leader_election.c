#include "leader_election.h"

#include <stdbool.h>

#include "../store/store.h"
#include "lease.h"
#include "records.h"

bool leader_election_campaign(struct store_txn *txn) {
    if (records_live_leader()) return false;
    store_txn_compare(txn, STORE_KEY_LEADER, store_key_revision(STORE_KEY_LEADER));
    records_compare_own_node(txn);
    const struct membership_node *previous = records_recorded_leader();
    if (previous) store_txn_compare(txn, store_key_node(previous->name).text, previous->mod_revision);
    store_txn_put(txn, STORE_KEY_LEADER, records_leader_value(), lease_id());
    return true;
}
