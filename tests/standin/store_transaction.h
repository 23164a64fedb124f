/* Transactions (compare-and-swap) of the stand-in of the state service, and their limits. Used by the stand-in only,
 * with its lock held. */
#ifndef FF_STANDIN_STORE_TRANSACTION_H
#define FF_STANDIN_STORE_TRANSACTION_H
#include <stdbool.h>

#include "http/status.h"
#include "json/json.h"

/* Executes a transaction if all its comparisons hold. Fills in the answer and returns the HTTP status. */
enum http_status standin_transaction_execute(const cJSON *transaction, cJSON *answer);
/* Whether the transaction has operations, so that it would change rows. */
bool standin_transaction_writes(const cJSON *transaction);

/* A transaction with more operations or a larger value gets 400, and more changes within a second get 429. */
void standin_transaction_set_limits(double value_kb, int operations, int changes_per_s);
/* Number of transactions that got 400 because of their size. */
int standin_transaction_oversized(void);
/* Number of changes of allocations or machine pages whose transaction does not compare the mod revision of the row. */
int standin_transaction_unguarded(void);
#endif
