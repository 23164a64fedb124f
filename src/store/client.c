#include "client.h"

#include <glib.h>
#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "keys.h"
#include "request.h"

/* Users' clients time out after 2 s for a poll and 5 s for a submission. The timeouts here are shorter, so that a user
 * still gets an error response if the store does not answer. */
enum { CHECK_TIMEOUT_MS = 1200, COMMIT_TIMEOUT_MS = 2000 };
enum { READ_TIMEOUT_MS = 1500, GRANT_TIMEOUT_MS = 1500, RENEWAL_TIMEOUT_MS = 1200 };
enum { GRANT_BODY_BYTES = 64, MS_PER_SECOND = 1000 };

/* Returns the result of a request that changes the store. The callers handle the answers that mean different things for
 * different kinds of requests. */
static enum store_result result_from_answer(enum store_answer answer) {
    switch (answer) {
        case STORE_ANSWER_OK:
            return STORE_OK;
        case STORE_ANSWER_NOT_SENT:
        case STORE_ANSWER_OVER_RATE:
        case STORE_ANSWER_UNAVAILABLE:
            return STORE_REJECTED;
        case STORE_ANSWER_MALFORMED:
            return STORE_INVALID;
        default:
            return STORE_UNKNOWN;
    }
}

/* ---- transactions ---- */

/* Logs a transaction that the store rejected as malformed. The store gives no reason; the cause may be the size of a
 * value or the number of operations, so both are logged. */
static void log_invalid(const struct store_txn *txn) {
    const cJSON *operation;
    GString *keys_with_sizes = g_string_new("");
    cJSON_ArrayForEach(operation, txn->operations) {
        struct store_change change = store_change_read(operation);
        char *value = cJSON_PrintUnformatted(change.data);
        g_string_append_printf(keys_with_sizes, " %s (%zu bytes)", change.key, value ? strlen(value) : 0);
        free(value);
    }
    log_error("store rejected a transaction as malformed: %d operations, %d comparisons:%s", txn->n_operations,
              cJSON_GetArraySize(txn->comparisons), keys_with_sizes->str);
    g_string_free(keys_with_sizes, TRUE);
}

static struct {
    pthread_mutex_t lock;
    struct store_write_counts counts;
} write_counter = {.lock = PTHREAD_MUTEX_INITIALIZER};

static unsigned *counter_for(struct store_change change) {
    if (g_str_has_prefix(change.key, STORE_PREFIX_JOB)) return &write_counter.counts.jobs;
    if (g_str_has_prefix(change.key, STORE_PREFIX_ALLOCATIONS))
        return change.data ? &write_counter.counts.allocations : &write_counter.counts.removed_allocations;
    if (g_str_has_prefix(change.key, STORE_PREFIX_MACHINE_PAGE)) return &write_counter.counts.machine_records;
    if (g_str_has_prefix(change.key, STORE_PREFIX_MACHINE)) return &write_counter.counts.machine_records;
    return &write_counter.counts.other_records;
}

static void count_writes(const struct store_txn *txn) {
    const cJSON *operation;
    pthread_mutex_lock(&write_counter.lock);
    cJSON_ArrayForEach(operation, txn->operations)++ *counter_for(store_change_read(operation));
    pthread_mutex_unlock(&write_counter.lock);
}

struct store_write_counts store_get_write_counts(void) {
    pthread_mutex_lock(&write_counter.lock);
    struct store_write_counts counts = write_counter.counts;
    pthread_mutex_unlock(&write_counter.lock);
    return counts;
}

static char *format_transaction(const struct store_txn *txn) {
    cJSON *object = cJSON_CreateObject();
    cJSON_AddItemReferenceToObject(object, "if", txn->comparisons);
    if (txn->n_operations) cJSON_AddItemReferenceToObject(object, "then", txn->operations);
    char *body = cJSON_PrintUnformatted(object);
    cJSON_Delete(object);
    return body;
}

static enum store_result read_conflict(const cJSON *answer_body, struct store_response *response) {
    const cJSON *key;
    json_get_int64(answer_body, "epoch", &response->revision);
    response->conflicts = g_ptr_array_new_with_free_func(g_free);
    cJSON_ArrayForEach(key, cJSON_GetObjectItemCaseSensitive(answer_body, "failed")) {
        if (cJSON_IsString(key)) g_ptr_array_add(response->conflicts, g_strdup(key->valuestring));
    }
    return STORE_CONFLICT;
}

enum store_result store_commit(struct http_client *client, enum store_priority priority, struct store_txn *txn,
                               struct store_response *response) {
    *response = (struct store_response){0};
    if (!store_budget_take(priority, txn->n_operations)) return STORE_REJECTED;
    char *request_body = format_transaction(txn);
    struct store_request request = {.method = "POST", .path = "/multi", .body = request_body};
    request.timeout_ms = txn->n_operations ? COMMIT_TIMEOUT_MS : CHECK_TIMEOUT_MS;
    request.rate = txn->n_operations ? STORE_RATE_CHANGES : STORE_RATE_REQUESTS;
    cJSON *answer_body;
    enum store_answer answer = store_request_send(client, &request, &answer_body);
    enum store_result result =
        answer == STORE_ANSWER_CONFLICT ? read_conflict(answer_body, response) : result_from_answer(answer);
    if (result == STORE_OK && !json_get_int64(answer_body, "epoch", &response->revision)) result = STORE_UNKNOWN;
    if (result == STORE_INVALID) log_invalid(txn);
    if (result == STORE_OK) count_writes(txn);
    free(request_body);
    cJSON_Delete(answer_body);
    return result;
}

/* ---- reads ---- */

enum store_result store_get(struct http_client *client, const char *key, cJSON **data, int64_t *mod_revision,
                            int64_t *revision) {
    char path[STORE_PATH_BYTES];
    *data = NULL;
    *mod_revision = 0;
    *revision = 0;
    if (!store_budget_take(STORE_PRIORITY_CANCEL, 0)) return STORE_REJECTED;
    snprintf(path, sizeof path, "/kv/%s", key);
    const struct store_request request = {.method = "GET", .path = path, .timeout_ms = READ_TIMEOUT_MS};
    cJSON *answer_body;
    enum store_answer answer = store_request_send(client, &request, &answer_body);
    enum store_result result = STORE_REJECTED; /* a failed read has changed nothing */
    if (answer == STORE_ANSWER_OK && json_get_int64(answer_body, "stamp", mod_revision)) {
        *data = cJSON_DetachItemFromObjectCaseSensitive(answer_body, "data");
        result = STORE_OK;
    } else if (answer == STORE_ANSWER_NOT_FOUND && json_get_int64(answer_body, "epoch", revision)) {
        result = STORE_OK;
    }
    cJSON_Delete(answer_body);
    return result;
}

/* ---- leases ---- */

enum store_result store_lease_grant(struct http_client *client, struct timespec ttl, int64_t *lease) {
    char request_body[GRANT_BODY_BYTES];
    snprintf(request_body, sizeof request_body, "{\"ttl_ms\":%lld}",
             (long long)(clock_to_seconds(ttl) * MS_PER_SECOND));
    const struct store_request request = {
        .method = "POST", .path = "/grants", .body = request_body, .timeout_ms = GRANT_TIMEOUT_MS};
    cJSON *answer_body;
    store_budget_take(STORE_PRIORITY_LEASE, 0);
    enum store_result result = result_from_answer(store_request_send(client, &request, &answer_body));
    if (result == STORE_OK && !json_get_int64(answer_body, "lease", lease)) result = STORE_UNKNOWN;
    cJSON_Delete(answer_body);
    return result;
}

enum store_result store_lease_renew(struct http_client *client, int64_t lease) {
    char path[STORE_PATH_BYTES];
    snprintf(path, sizeof path, "/grants/%lld/renew", (long long)lease);
    const struct store_request request = {
        .method = "POST", .path = path, .body = "{}", .timeout_ms = RENEWAL_TIMEOUT_MS};
    cJSON *answer_body;
    store_budget_take(STORE_PRIORITY_LEASE, 0);
    enum store_answer answer = store_request_send(client, &request, &answer_body);
    cJSON_Delete(answer_body);
    return answer == STORE_ANSWER_NOT_FOUND ? STORE_CONFLICT : result_from_answer(answer);
}
