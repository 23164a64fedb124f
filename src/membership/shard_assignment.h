/* Assignment of the shards to controllers. Each assignment increments the fencing counter. Used inside the package
 * only. */
#ifndef FF_MEMBERSHIP_SHARD_ASSIGNMENT_H
#define FF_MEMBERSHIP_SHARD_ASSIGNMENT_H
#include <stdbool.h>

#include "../settings/settings.h"
#include "../store/store.h"

/* Called before the threads start. Keeps the pointer to the settings. */
void shard_assignment_init(const struct settings *settings);

/* The functions below add one assignment to the transaction, or return false if none is due. They are called with
 * store_lock held, while this controller holds its lease. */

/* Assigns a shard of an earlier incarnation of this controller to the current one, without waiting for the leader. */
bool shard_assignment_reclaim(struct store_txn *txn);
/* Assigns one shard; a shard goes first if its owner has failed or cannot reach the workers. Called by the leader. */
bool shard_assignment_assign(struct store_txn *txn);
#endif
