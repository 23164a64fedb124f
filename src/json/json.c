#include "json.h"

#include <stdbool.h>
#include <stdint.h>

/* From here on not every integer is a double. */
#define INTEGER_LIMIT 9007199254740992.0

const char *json_get_string(const cJSON *object, const char *name) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, name);
    return cJSON_IsString(value) ? value->valuestring : NULL;
}

bool json_get_int64(const cJSON *object, const char *name, int64_t *out) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, name);
    if (!cJSON_IsNumber(value) || value->valuedouble < 0 || value->valuedouble >= INTEGER_LIMIT) return false;
    int64_t whole = (int64_t)value->valuedouble;
    if ((double)whole != value->valuedouble) return false;
    *out = whole;
    return true;
}

double json_get_double(const cJSON *object, const char *name, double otherwise) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, name);
    return cJSON_IsNumber(value) ? value->valuedouble : otherwise;
}

bool json_get_bool(const cJSON *object, const char *name) {
    return cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(object, name));
}
