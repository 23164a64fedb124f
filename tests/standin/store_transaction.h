/* Transactions (compare-and-swap) of the stand-in of the state service, and their limits. Called by the stand-in only,
 * with its lock held. */
#ifndef FF_STANDIN_STORE_TRANSACTION_H
#define FF_STANDIN_STORE_TRANSACTION_H
#include <stdbool.h>

#include "http/status.h"
#include "json/json.h"

/* Carries out a transaction if all that it compares holds, writes the answer, and returns its status. */
enum http_status standin_transaction_execute(const cJSON *transaction, cJSON *answer);
/* Whether it would change rows. */
bool standin_transaction_writes(const cJSON *transaction);

/* More operations, or a larger value, get 400, and more changes within a second 429. */
void standin_transaction_set_limits(double value_kb, int operations, int changes_per_s);
/* Transactions that got 400 for their size. */
int standin_transaction_oversized(void);
/* Changes of allocations or machine pages that don't compare the mod revision of what they replace. */
int standin_transaction_unguarded(void);
#endif
