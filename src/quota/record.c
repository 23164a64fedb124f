#include "record.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../json/json.h"

static cJSON *amount_value(struct quota_amount a) {
    cJSON *list = cJSON_CreateArray();
    for (int d = 0; d < QUOTA_DIMENSIONS; d++) cJSON_AddItemToArray(list, cJSON_CreateNumber((double)a.of[d]));
    return list;
}

/* Reads the numbers of a list from one position on. */
static bool read_amount(const cJSON *list, int from, struct quota_amount *out) {
    for (int d = 0; d < QUOTA_DIMENSIONS; d++) {
        const cJSON *x = cJSON_GetArrayItem(list, from + d);
        if (!cJSON_IsNumber(x)) return false;
        out->of[d] = (int64_t)x->valuedouble;
    }
    return true;
}

static bool read_field(const cJSON *o, const char *name, struct quota_amount *out) {
    return read_amount(cJSON_GetObjectItemCaseSensitive(o, name), 0, out);
}

static cJSON *part_value(const struct quota_allotment *p) {
    cJSON *list = cJSON_CreateArray();
    cJSON_AddItemToArray(list, cJSON_CreateNumber(p->shard));
    for (int d = 0; d < QUOTA_DIMENSIONS; d++) cJSON_AddItemToArray(list, cJSON_CreateNumber((double)p->limit.of[d]));
    for (int d = 0; d < QUOTA_DIMENSIONS; d++)
        cJSON_AddItemToArray(list, cJSON_CreateNumber((double)p->guarantee.of[d]));
    return list;
}

cJSON *quota_record_value(const struct quota_record *r) {
    cJSON *o = cJSON_CreateObject();
    cJSON_AddNumberToObject(o, "epoch", (double)r->epoch);
    cJSON_AddNumberToObject(o, "shares", r->shards);
    cJSON_AddItemToObject(o, "limit", amount_value(r->limit));
    cJSON_AddItemToObject(o, "guarantee", amount_value(r->guarantee));
    cJSON_AddItemToObject(o, "unassigned", amount_value(r->unassigned));
    cJSON_AddItemToObject(o, "guarantee_unassigned", amount_value(r->guarantee_unassigned));
    cJSON *allotments = cJSON_AddArrayToObject(o, "parts");
    for (int i = 0; i < r->n_allotments; i++) cJSON_AddItemToArray(allotments, part_value(&r->allotments[i]));
    return o;
}

static bool read_part(const cJSON *list, int size, struct quota_allotment *out) {
    const cJSON *shard = cJSON_GetArrayItem(list, 0);
    if (!cJSON_IsNumber(shard) || shard->valueint < 0 || shard->valueint >= size) return false;
    out->shard = shard->valueint;
    return read_amount(list, 1, &out->limit) && read_amount(list, 1 + QUOTA_DIMENSIONS, &out->guarantee);
}

bool quota_record_read(const cJSON *value, int size, struct quota_record *out, const char **fault) {
    int64_t shards = 0;
    const cJSON *allotments = cJSON_GetObjectItemCaseSensitive(value, "parts"), *x;
    *out = (struct quota_record){0};
    *fault = "its form";
    if (!json_get_int64(value, "epoch", &out->epoch) || !json_get_int64(value, "shares", &shards) ||
        !read_field(value, "limit", &out->limit) || !read_field(value, "guarantee", &out->guarantee) ||
        !read_field(value, "unassigned", &out->unassigned) ||
        !read_field(value, "guarantee_unassigned", &out->guarantee_unassigned))
        return false;
    out->shards = (int)CLAMP(shards, 0, INT32_MAX);
    cJSON_ArrayForEach(x, allotments) {
        if (out->n_allotments == QUOTA_SHARES_MAX || !read_part(x, size, &out->allotments[out->n_allotments]))
            return false;
        out->n_allotments++;
    }
    *fault = quota_record_fault(out);
    return *fault == NULL;
}

void quota_view_add(cJSON *views, const char *team, const struct quota_view *view) {
    cJSON *list = cJSON_CreateArray();
    cJSON_AddItemToArray(list, cJSON_CreateNumber(view->shards));
    for (int d = 0; d < QUOTA_DIMENSIONS; d++)
        cJSON_AddItemToArray(list, cJSON_CreateNumber((double)view->limit.of[d]));
    for (int d = 0; d < QUOTA_DIMENSIONS; d++)
        cJSON_AddItemToArray(list, cJSON_CreateNumber((double)view->guarantee.of[d]));
    cJSON_AddItemToObject(views, team, list);
}

bool quota_view_read(const cJSON *views, const char *team, struct quota_view *out) {
    const cJSON *list = cJSON_GetObjectItemCaseSensitive(views, team), *shards = cJSON_GetArrayItem(list, 0);
    *out = (struct quota_view){0};
    if (!cJSON_IsNumber(shards) || shards->valueint < 1 || shards->valueint > QUOTA_SHARES_MAX) return false;
    if (!read_amount(list, 1, &out->limit) || !read_amount(list, 1 + QUOTA_DIMENSIONS, &out->guarantee)) return false;
    out->shards = shards->valueint;
    return true;
}
