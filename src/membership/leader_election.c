#include "leader_election.h"

#include <stdbool.h>

#include "../store/store.h"
#include "lease.h"
#include "records.h"

bool leader_election_stand(struct store_txn *txn) {
    if (records_live_leader()) return false;
    store_txn_compare(txn, STORE_KEY_LEADER, store_key_revision(STORE_KEY_LEADER));
    records_require_self(txn);
    const struct node *former = records_named_leader();
    if (former) store_txn_compare(txn, store_key_node(former->name).text, former->mod_revision);
    store_txn_put(txn, STORE_KEY_LEADER, records_leader_value(), lease_id());
    return true;
}
