#include "store_transaction.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "clock/clock.h"
#include "http/status.h"
#include "json/json.h"
#include "store/keys.h"
#include "store_rows.h"

#define BYTES_PER_KB 1024
#define NO_LIMIT_KB 1e9
#define NO_LIMIT 1000000

static struct {
    double value_kb;
    int operations, changes_per_s;
    struct timespec second_began;
    int changes_in_second;
    int oversized, unguarded;
} transactions = {.value_kb = NO_LIMIT_KB, .operations = NO_LIMIT, .changes_per_s = NO_LIMIT};

void standin_transaction_set_limits(double value_kb, int operations, int changes_per_s) {
    transactions.value_kb = value_kb;
    transactions.operations = operations;
    transactions.changes_per_s = changes_per_s;
}

int standin_transaction_oversized(void) { return transactions.oversized; }

int standin_transaction_unguarded(void) { return transactions.unguarded; }

static const cJSON *operations_of(const cJSON *transaction) { return cJSON_GetObjectItem(transaction, "then"); }

static const cJSON *comparisons_of(const cJSON *transaction) { return cJSON_GetObjectItem(transaction, "if"); }

bool standin_transaction_writes(const cJSON *transaction) { return cJSON_GetArraySize(operations_of(transaction)) > 0; }

static bool is_oversized(const cJSON *operations) {
    bool oversized = cJSON_GetArraySize(operations) > transactions.operations;
    const cJSON *operation;
    cJSON_ArrayForEach(operation, operations) {
        char *text = cJSON_PrintUnformatted(cJSON_GetObjectItem(operation, "data"));
        oversized |= text && (double)strlen(text) > transactions.value_kb * BYTES_PER_KB;
        free(text);
    }
    return oversized;
}

/* Counts the changes of every transaction, also of one whose comparisons will fail. */
static bool is_over_rate(const cJSON *operations) {
    if (clock_seconds_since(transactions.second_began) > 1) {
        transactions.second_began = clock_now();
        transactions.changes_in_second = 0;
    }
    transactions.changes_in_second += cJSON_GetArraySize(operations);
    return transactions.changes_in_second > transactions.changes_per_s;
}

/* The keys whose mod revision isn't the expected one. The caller frees the list. */
static cJSON *failed_comparisons(const cJSON *comparisons) {
    cJSON *failed = cJSON_CreateArray();
    const cJSON *comparison;
    cJSON_ArrayForEach(comparison, comparisons) {
        int64_t expected = -1;
        const char *key = json_get_string(comparison, "path");
        json_get_int64(comparison, "stamp", &expected);
        if (standin_rows_mod_revision(key) != expected) cJSON_AddItemToArray(failed, cJSON_CreateString(key));
    }
    return failed;
}

static bool compares(const cJSON *comparisons, const char *key) {
    const cJSON *comparison;
    cJSON_ArrayForEach(comparison, comparisons) {
        if (strcmp(json_get_string(comparison, "path"), key) == 0) return true;
    }
    return false;
}

static void count_unguarded(const cJSON *comparisons, const cJSON *operation) {
    const char *set = json_get_string(operation, "set"), *key = set ? set : json_get_string(operation, "remove");
    bool must_compare =
        g_str_has_prefix(key, STORE_PREFIX_ALLOCATIONS) || g_str_has_prefix(key, STORE_PREFIX_MACHINE_PAGE);
    transactions.unguarded += must_compare && !compares(comparisons, key);
}

/* Counts unguarded changes. Returns whether all leases that the operations name exist. */
static bool check_operations(const cJSON *comparisons, const cJSON *operations) {
    const cJSON *operation;
    cJSON_ArrayForEach(operation, operations) {
        int64_t lease = 0;
        count_unguarded(comparisons, operation);
        if (json_get_int64(operation, "lease", &lease) && !standin_leases_exist(lease)) return false;
    }
    return true;
}

static void apply(const cJSON *operations) {
    const cJSON *operation;
    if (cJSON_GetArraySize(operations)) standin_rows_next_revision();
    cJSON_ArrayForEach(operation, operations) {
        int64_t lease = 0;
        json_get_int64(operation, "lease", &lease);
        if (!json_get_string(operation, "set")) {
            standin_rows_remove(json_get_string(operation, "remove"));
            continue;
        }
        char *text = cJSON_PrintUnformatted(cJSON_GetObjectItem(operation, "data"));
        standin_rows_put(json_get_string(operation, "set"), text, lease);
        free(text);
    }
}

enum http_status standin_transaction_execute(const cJSON *transaction, cJSON *answer) {
    const cJSON *operations = operations_of(transaction), *comparisons = comparisons_of(transaction);
    if (is_oversized(operations)) {
        transactions.oversized++;
        return HTTP_BAD_REQUEST;
    }
    if (is_over_rate(operations)) return HTTP_TOO_MANY_REQUESTS;
    if (!check_operations(comparisons, operations)) return HTTP_BAD_REQUEST;
    enum http_status status = HTTP_OK;
    cJSON *failed = failed_comparisons(comparisons);
    if (cJSON_GetArraySize(failed)) {
        cJSON_AddItemToObject(answer, "failed", failed);
        status = HTTP_CONFLICT;
    } else {
        cJSON_Delete(failed);
        apply(operations);
    }
    cJSON_AddNumberToObject(answer, "epoch", (double)standin_rows_revision());
    return status;
}
