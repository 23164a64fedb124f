#include "transaction.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>

#include "../json/json.h"

void store_txn_init(struct store_txn *txn) {
    txn->comparisons = cJSON_CreateArray();
    txn->operations = cJSON_CreateArray();
    txn->n_operations = 0;
}

void store_txn_free(struct store_txn *txn) {
    cJSON_Delete(txn->comparisons);
    cJSON_Delete(txn->operations);
    txn->comparisons = txn->operations = NULL;
}

void store_txn_compare(struct store_txn *txn, const char *key, int64_t mod_revision) {
    const cJSON *existing;
    cJSON_ArrayForEach(existing, txn->comparisons) {
        if (strcmp(json_get_string(existing, "path"), key) == 0) return;
    }
    cJSON *comparison = cJSON_CreateObject();
    cJSON_AddStringToObject(comparison, "path", key);
    cJSON_AddNumberToObject(comparison, "stamp", (double)mod_revision);
    cJSON_AddItemToArray(txn->comparisons, comparison);
}

static void add_operation(struct store_txn *txn, cJSON *operation) {
    cJSON_AddItemToArray(txn->operations, operation);
    txn->n_operations++;
}

void store_txn_put(struct store_txn *txn, const char *key, cJSON *data, int64_t lease) {
    cJSON *operation = cJSON_CreateObject();
    cJSON_AddStringToObject(operation, "set", key);
    cJSON_AddItemToObject(operation, "data", data);
    if (lease) cJSON_AddNumberToObject(operation, "lease", (double)lease);
    add_operation(txn, operation);
}

void store_txn_delete(struct store_txn *txn, const char *key) {
    cJSON *operation = cJSON_CreateObject();
    cJSON_AddStringToObject(operation, "remove", key);
    add_operation(txn, operation);
}

void store_response_clear(struct store_response *response) {
    if (response->conflicts) g_ptr_array_free(response->conflicts, TRUE);
    response->conflicts = NULL;
}

struct store_change store_change_read(const cJSON *operation) {
    const char *put_key = json_get_string(operation, "set");
    if (put_key) return (struct store_change){put_key, cJSON_GetObjectItemCaseSensitive(operation, "data")};
    return (struct store_change){json_get_string(operation, "remove"), NULL};
}
