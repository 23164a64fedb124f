/* The transactions of a scheduling round, and the keys that rounds skip because the store has rejected their writes.
 * Called from the scheduler's thread with store_lock held, except for rejected_keys_add, which is called without
 * store_lock while transactions are sent. */
#ifndef FF_SCHEDULER_TRANSACTIONS_H
#define FF_SCHEDULER_TRANSACTIONS_H
#include <stdbool.h>

#include "round.h"

/* Returns how many writes a transaction of records that need not be written together may hold. */
int transactions_writes_max(void);
/* Returns the round's last transaction, or a new one if the last has no room for so many more writes and comparisons.
 * Deducts the writes from the round's budget. A new transaction compares the mod revision of the shard's record, so it
 * fails if that record has changed. The round owns the transaction. */
struct store_txn *transactions_reserve(struct scheduling_round *round, int writes, int comparisons);

/* GDestroyNotify of scheduling_round.transactions. */
void transaction_free(gpointer transaction);

/* How long rounds skip a key after the store has rejected its write as invalid. */
#define REJECTED_KEY_PAUSE_S 5.0

/* Adds the keys that the transaction writes. Needs no lock: only the scheduler's thread uses the rejected keys. */
void rejected_keys_add(const struct store_txn *transaction);
/* Returns whether a write of the key was rejected less than REJECTED_KEY_PAUSE_S ago. */
bool rejected_keys_contain(const char *key);
#endif
