/* Typed access to the members of JSON objects. If object is NULL or not a JSON object, the member counts as absent. */
#ifndef FF_JSON_H
#define FF_JSON_H
#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stdint.h>

/* Returns the member's string, which belongs to the object, or NULL if the member is absent or not a string. */
const char *json_get_string(const cJSON *object, const char *name);
/* Reads an integer from 0 to 2^53 - 1, the range in which cJSON's doubles are exact. For any other value, returns false
 * and leaves *out unchanged. */
bool json_get_int64(const cJSON *object, const char *name, int64_t *out);
/* Returns the member's number, or default_value if the member is absent or not a number. */
double json_get_double(const cJSON *object, const char *name, double default_value);
/* Returns whether the member is the JSON value true. */
bool json_get_bool(const cJSON *object, const char *name);
#endif
