/* Transactions of the store: compare-and-swap over several keys.
 *
 * The store carries out all operations of a transaction if every compared key has the expected mod revision, and none
 * otherwise. One thread builds the transaction, mostly with store_lock held, because the mod revisions come from the
 * mirror. It is then sent without the lock (client.h). The functions themselves need no lock. */
#ifndef FF_STORE_TRANSACTION_H
#define FF_STORE_TRANSACTION_H
#include <glib.h>
#include <stdint.h>

#include "../json/json.h"

/* Initialized by store_txn_init, freed by store_txn_free. The arrays have the JSON format of the store's protocol. */
struct store_txn {
    cJSON *comparisons, *operations;
    int n_operations;
};
/* Initializes an empty transaction. */
void store_txn_init(struct store_txn *txn);
/* Frees the contents of a transaction, whether it was sent or not. */
void store_txn_free(struct store_txn *txn);

/* Makes the transaction conditional on the key's mod revision; 0: the key must not exist. Further comparisons of the
 * same key are ignored. */
void store_txn_compare(struct store_txn *txn, const char *key, int64_t mod_revision);
/* Sets the key; the transaction takes ownership of the data. If lease is not 0, the key is removed when that lease
 * expires. */
void store_txn_put(struct store_txn *txn, const char *key, cJSON *data, int64_t lease);
/* Removes the key. */
void store_txn_delete(struct store_txn *txn, const char *key);

/* The result of a transaction or of another request.
 *
 * STORE_OK: it was carried out.
 * STORE_CONFLICT: it was not carried out, because a compared key has changed.
 * STORE_REJECTED: it was definitely not carried out, and may be retried. It was not sent, or the store rejected it.
 * STORE_INVALID: it was definitely not carried out, and an unchanged retry would fail, too. A value or the number of
 * operations exceeds the store's limits.
 * STORE_UNKNOWN: it may have been carried out, or may still be. */
enum store_result { STORE_OK, STORE_CONFLICT, STORE_REJECTED, STORE_INVALID, STORE_UNKNOWN };

/* The store's answer to a transaction; its contents are freed by store_response_clear. */
struct store_response {
    int64_t revision;     /* STORE_OK: of the transaction; STORE_CONFLICT: of the store at that time; else 0 */
    GPtrArray *conflicts; /* STORE_CONFLICT: the compared keys that have changed; else NULL */
};
void store_response_clear(struct store_response *response);

/* One operation of a transaction, or one event of a watch. The pointers refer to the JSON that it was read from. */
struct store_change {
    const char *key;
    const cJSON *data; /* NULL: the key is removed */
};
/* Reads a change from JSON. The key is NULL if the JSON does not describe a change. */
struct store_change store_change_read(const cJSON *operation);
#endif
