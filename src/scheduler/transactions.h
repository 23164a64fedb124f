/* The transactions of a scheduling round, and the keys that are left out of it because the store has rejected them.
 * Called from the scheduler's thread with store_lock held, but for rejected_keys_add, which comes while sending. */
#ifndef FF_SCHEDULER_TRANSACTIONS_H
#define FF_SCHEDULER_TRANSACTIONS_H
#include <stdbool.h>

#include "round.h"

/* The transaction that the next so many writes and comparisons go into: the last one while it has room. It belongs to
 * the round, and does nothing unless the shard is still owned as it is now. */
struct store_txn *transactions_with_room(struct scheduling_round *round, int writes, int comparisons);

/* GDestroyNotify of a transaction in scheduling_round.transactions. */
void transactions_free_one(gpointer transaction);

/* For how long a key is left alone whose write the store has rejected as malformed. */
#define REJECTED_KEY_PAUSE_S 5.0

/* Without the lock: the keys are known to the scheduler's thread alone. */
void rejected_keys_add(const struct store_txn *transaction);
bool rejected_keys_contain(const char *key);
#endif
