/* Which controller is the leader: the first that records itself while no live one is recorded. Used inside the package
 * only. */
#ifndef FF_MEMBERSHIP_LEADER_ELECTION_H
#define FF_MEMBERSHIP_LEADER_ELECTION_H
#include <stdbool.h>

#include "../store/store.h"

/* With store_lock held: adds to the transaction that this controller becomes the leader; false if one is live. */
bool leader_election_stand(struct store_txn *txn);
#endif
