/* Access to the store, the service that holds the records shared by the controllers. It offers compare-and-swap
 * transactions, leases and watches.
 *
 * keys.h          keys of the records
 * transaction.h   transactions and their results
 * client.h        requests: transactions, reads of one key, leases
 * rate_budget.h   limits on the requests and changes that this controller sends
 * mirror.h        store_lock, and the state that this controller has read from the store */
#ifndef FF_STORE_H
#define FF_STORE_H
#include "../settings/settings.h"
#include "client.h"
#include "keys.h"
#include "mirror.h"
#include "rate_budget.h"
#include "transaction.h"

/* Called once, from the program's main thread, before any other function of the package. Keeps the pointer to the
 * settings. */
void store_init(const struct settings *settings);
#endif
