#include "record.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../json/json.h"

static cJSON *amount_value(struct quota_amount amount) {
    cJSON *list = cJSON_CreateArray();
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
        cJSON_AddItemToArray(list, cJSON_CreateNumber((double)amount.thousandths[dimension]));
    return list;
}

/* Reads one amount from consecutive numbers of a list, beginning at index `start`. */
static bool read_amount(const cJSON *list, int start, struct quota_amount *out) {
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) {
        const cJSON *item = cJSON_GetArrayItem(list, start + dimension);
        if (!cJSON_IsNumber(item)) return false;
        out->thousandths[dimension] = (int64_t)item->valuedouble;
    }
    return true;
}

static bool read_field(const cJSON *object, const char *name, struct quota_amount *out) {
    return read_amount(cJSON_GetObjectItemCaseSensitive(object, name), 0, out);
}

static cJSON *allotment_value(const struct quota_allotment *allotment) {
    cJSON *list = cJSON_CreateArray();
    cJSON_AddItemToArray(list, cJSON_CreateNumber(allotment->shard));
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
        cJSON_AddItemToArray(list, cJSON_CreateNumber((double)allotment->limit.thousandths[dimension]));
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
        cJSON_AddItemToArray(list, cJSON_CreateNumber((double)allotment->guarantee.thousandths[dimension]));
    return list;
}

cJSON *quota_record_value(const struct quota_record *record) {
    cJSON *object = cJSON_CreateObject();
    cJSON_AddNumberToObject(object, "epoch", (double)record->epoch);
    cJSON_AddNumberToObject(object, "shares", record->n_shards);
    cJSON_AddItemToObject(object, "limit", amount_value(record->limit));
    cJSON_AddItemToObject(object, "guarantee", amount_value(record->guarantee));
    cJSON_AddItemToObject(object, "unassigned", amount_value(record->unassigned));
    cJSON_AddItemToObject(object, "guarantee_unassigned", amount_value(record->guarantee_unassigned));
    cJSON *allotments = cJSON_AddArrayToObject(object, "parts");
    for (int i = 0; i < record->n_allotments; i++)
        cJSON_AddItemToArray(allotments, allotment_value(&record->allotments[i]));
    return object;
}

static bool read_allotment(const cJSON *list, int cluster_shards, struct quota_allotment *out) {
    const cJSON *shard = cJSON_GetArrayItem(list, 0);
    if (!cJSON_IsNumber(shard) || shard->valueint < 0 || shard->valueint >= cluster_shards) return false;
    out->shard = shard->valueint;
    return read_amount(list, 1, &out->limit) && read_amount(list, 1 + QUOTA_DIMENSIONS, &out->guarantee);
}

bool quota_record_read(const cJSON *value, int cluster_shards, struct quota_record *out, const char **fault) {
    int64_t n_shards = 0;
    const cJSON *allotments = cJSON_GetObjectItemCaseSensitive(value, "parts"), *item;
    *out = (struct quota_record){0};
    *fault = "its form";
    if (!json_get_int64(value, "epoch", &out->epoch) || !json_get_int64(value, "shares", &n_shards) ||
        !read_field(value, "limit", &out->limit) || !read_field(value, "guarantee", &out->guarantee) ||
        !read_field(value, "unassigned", &out->unassigned) ||
        !read_field(value, "guarantee_unassigned", &out->guarantee_unassigned))
        return false;
    out->n_shards = (int)CLAMP(n_shards, 0, INT32_MAX);
    cJSON_ArrayForEach(item, allotments) {
        if (out->n_allotments == QUOTA_SHARDS_MAX ||
            !read_allotment(item, cluster_shards, &out->allotments[out->n_allotments]))
            return false;
        out->n_allotments++;
    }
    *fault = quota_record_violation(out);
    return *fault == NULL;
}

void quota_view_add(cJSON *views, const char *team, const struct quota_view *view) {
    cJSON *list = cJSON_CreateArray();
    cJSON_AddItemToArray(list, cJSON_CreateNumber(view->n_shards));
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
        cJSON_AddItemToArray(list, cJSON_CreateNumber((double)view->limit.thousandths[dimension]));
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
        cJSON_AddItemToArray(list, cJSON_CreateNumber((double)view->guarantee.thousandths[dimension]));
    cJSON_AddItemToObject(views, team, list);
}

bool quota_view_read(const cJSON *views, const char *team, struct quota_view *out) {
    const cJSON *list = cJSON_GetObjectItemCaseSensitive(views, team), *n_shards = cJSON_GetArrayItem(list, 0);
    *out = (struct quota_view){0};
    if (!cJSON_IsNumber(n_shards) || n_shards->valueint < 1 || n_shards->valueint > QUOTA_SHARDS_MAX) return false;
    if (!read_amount(list, 1, &out->limit) || !read_amount(list, 1 + QUOTA_DIMENSIONS, &out->guarantee)) return false;
    out->n_shards = n_shards->valueint;
    return true;
}
