/* Requests to the store: transactions, reads of one key, leases.
 *
 * All of them block, for 2 s at most, so they are called without store_lock, each thread with an HTTP client of its
 * own. Each takes what it needs from the rate budget first. */
#ifndef FF_STORE_CLIENT_H
#define FF_STORE_CLIENT_H
#include <stdint.h>
#include <time.h>

#include "../http/client.h"
#include "../json/json.h"
#include "rate_budget.h"
#include "transaction.h"

/* Sends a transaction; one without operations only reads whether its comparisons hold. Fills the response, which is to
 * be cleared whatever the result. */
enum store_result store_commit(struct http_client *client, enum store_priority priority, struct store_txn *txn,
                               struct store_response *response);

/* Reads one key. STORE_OK with *data, which the caller frees, and its mod revision; STORE_OK with *data NULL, and the
 * store's revision in *revision, where the key does not exist; else STORE_REJECTED. */
enum store_result store_get(struct http_client *client, const char *key, cJSON **data, int64_t *mod_revision,
                            int64_t *revision);

/* *lease is set on STORE_OK only. */
enum store_result store_lease_grant(struct http_client *client, struct timespec ttl, int64_t *lease);
/* STORE_CONFLICT: the lease has expired. */
enum store_result store_lease_renew(struct http_client *client, int64_t lease);

/* Changes that were carried out since the start, by what they change. */
struct store_write_counts {
    unsigned jobs, allocations;
    unsigned releases; /* records of allocations that were removed */
    unsigned pages;    /* records of machines, in pages or alone */
    unsigned others;
};
struct store_write_counts store_writes_counted(void);
#endif
