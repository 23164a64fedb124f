#include "json.h"

#include <stdbool.h>
#include <stdint.h>

/* 2^53: a double represents every smaller integer exactly. */
#define EXACT_INTEGER_LIMIT 9007199254740992.0

const char *json_get_string(const cJSON *object, const char *name) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, name);
    return cJSON_IsString(value) ? value->valuestring : NULL;
}

bool json_get_int64(const cJSON *object, const char *name, int64_t *out) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, name);
    if (!cJSON_IsNumber(value) || value->valuedouble < 0 || value->valuedouble >= EXACT_INTEGER_LIMIT) return false;
    int64_t integer = (int64_t)value->valuedouble;
    if ((double)integer != value->valuedouble) return false;
    *out = integer;
    return true;
}

double json_get_double(const cJSON *object, const char *name, double default_value) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, name);
    return cJSON_IsNumber(value) ? value->valuedouble : default_value;
}

bool json_get_bool(const cJSON *object, const char *name) {
    return cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(object, name));
}
