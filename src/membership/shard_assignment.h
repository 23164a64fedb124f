/* Who owns which shard. Each change moves the fencing counter. Used inside the package only. */
#ifndef FF_MEMBERSHIP_SHARD_ASSIGNMENT_H
#define FF_MEMBERSHIP_SHARD_ASSIGNMENT_H
#include <stdbool.h>

#include "../settings/settings.h"
#include "../store/store.h"

/* Before the threads start. The settings are kept. */
void shard_assignment_init(const struct settings *settings);

/* With store_lock held; each adds one change to the transaction, or returns false where there is none to make. */

/* Reclaims a shard that this controller owned before it was restarted: there is no need to wait for anyone. */
bool shard_assignment_reclaim(struct store_txn *txn);
/* By the leader: assigns one shard, of those without a live owner first. */
bool shard_assignment_assign(struct store_txn *txn);
#endif
