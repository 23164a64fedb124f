/* Election of the leader: while the leader record names no live controller, the first controller that writes itself
 * into the record becomes the leader. Used inside the package only. */
#ifndef FF_MEMBERSHIP_LEADER_ELECTION_H
#define FF_MEMBERSHIP_LEADER_ELECTION_H
#include <stdbool.h>

#include "../store/store.h"

/* Adds a leader record that names this controller to the transaction. Returns false, and adds nothing, if there is a
 * live leader. Called with store_lock held. */
bool leader_election_campaign(struct store_txn *txn);
#endif
