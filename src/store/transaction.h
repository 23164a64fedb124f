/* Transactions of the store: compare-and-swap over several keys.
 *
 * A transaction is carried out as a whole, or not at all: only if every key that it compares has the mod revision that
 * it names. It is filled by one thread, mostly with store_lock held, since the mod revisions come from the mirror; then
 * it is sent without the lock (client.h). The functions need no lock themselves. */
#ifndef FF_STORE_TRANSACTION_H
#define FF_STORE_TRANSACTION_H
#include <glib.h>
#include <stdint.h>

#include "../json/json.h"

/* Begun by store_txn_init, ended by store_txn_free. The arrays are in the form in which the store takes them. */
struct store_txn {
    cJSON *comparisons, *operations;
    int writes; /* number of operations */
};
/* Begins an empty transaction; ends one that was carried out or given up. */
void store_txn_init(struct store_txn *txn);
void store_txn_free(struct store_txn *txn);

/* Makes the transaction conditional on the key's mod revision; 0: the key must not exist. The first comparison of a key
 * counts, further ones are dropped. */
void store_txn_compare(struct store_txn *txn, const char *key, int64_t mod_revision);
/* Takes over the data. lease: the key is removed when that lease expires; 0: none. */
void store_txn_put(struct store_txn *txn, const char *key, cJSON *data, int64_t lease);
void store_txn_delete(struct store_txn *txn, const char *key);

/* What a transaction came to.
 *
 * STORE_OK: carried out.
 * STORE_CONFLICT: not carried out, since a key has changed.
 * STORE_REJECTED: surely not carried out; it was not sent, or the store refused it for now. May be repeated.
 * STORE_INVALID: surely not carried out, nor would it be if repeated as it is: a value or the number of operations is
 * above the store's limits.
 * STORE_UNKNOWN: it may have been carried out, or may be yet. */
enum store_result { STORE_OK, STORE_CONFLICT, STORE_REJECTED, STORE_INVALID, STORE_UNKNOWN };

/* What the store answered to a transaction; freed with store_response_clear. */
struct store_response {
    int64_t revision;     /* that of the transaction on STORE_OK, the store's at the time on STORE_CONFLICT, else 0 */
    GPtrArray *conflicts; /* on STORE_CONFLICT the keys that have changed, else NULL */
};
/* Frees what it holds. */
void store_response_clear(struct store_response *response);

/* One operation of a transaction or one event of a watch. The pointers belong to the JSON that it was read from. */
struct store_change {
    const char *key;
    const cJSON *data; /* NULL: the key is removed */
};
/* A key of NULL: the JSON is no change. */
struct store_change store_change_read(const cJSON *operation);
#endif
