/* The store: the service that holds the records which controllers share, with compare-and-swap transactions, leases and
 * watches.
 *
 * keys.h          keys of the records
 * transaction.h   transactions and their results
 * client.h        requests: transactions, reads of one key, leases
 * rate_budget.h   how many requests and changes may be sent now
 * mirror.h        store_lock, and what is known of the records */
#ifndef FF_STORE_H
#define FF_STORE_H
#include "../settings/settings.h"
#include "client.h"
#include "keys.h"
#include "mirror.h"
#include "rate_budget.h"
#include "transaction.h"

/* Before any other function of the package, once, from the program's main thread. The settings are kept. */
void store_init(const struct settings *settings);
#endif
