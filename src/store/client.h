/* Requests to the store: transactions, reads of one key, leases.
 *
 * Each request takes what it needs from the rate budget and then blocks for at most 2 s. Requests are sent without
 * store_lock, and each thread uses its own HTTP client. */
#ifndef FF_STORE_CLIENT_H
#define FF_STORE_CLIENT_H
#include <stdint.h>
#include <time.h>

#include "../http/client.h"
#include "../json/json.h"
#include "rate_budget.h"
#include "transaction.h"

/* Sends a transaction. A transaction without operations only checks its comparisons. The caller clears the response,
 * whatever the result. */
enum store_result store_commit(struct http_client *client, enum store_priority priority, struct store_txn *txn,
                               struct store_response *response);

/* Reads one key. If the key exists, returns STORE_OK and sets *data, which the caller frees, and *mod_revision. If it
 * does not exist, returns STORE_OK and sets *data to NULL and *revision to the store's revision. Otherwise returns
 * STORE_REJECTED. */
enum store_result store_get(struct http_client *client, const char *key, cJSON **data, int64_t *mod_revision,
                            int64_t *revision);

/* Requests a lease that expires after ttl without a renewal. *lease is set on STORE_OK only. */
enum store_result store_lease_grant(struct http_client *client, struct timespec ttl, int64_t *lease);
/* Renews a lease. Returns STORE_CONFLICT if the lease has expired. */
enum store_result store_lease_renew(struct http_client *client, int64_t lease);

/* Numbers of changes that this controller has written since its start, by kind of record. */
struct store_write_counts {
    unsigned jobs, allocations;
    unsigned removed_allocations; /* removals of allocation records */
    unsigned machine_records;     /* pages of machines, and records of single machines */
    unsigned other_records;
};
struct store_write_counts store_get_write_counts(void);
#endif
