/* Typed access to the members of JSON objects. `object` may be NULL or of any type: then no member is there. */
#ifndef FF_JSON_H
#define FF_JSON_H
#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stdint.h>

/* The member's text, which belongs to the object; NULL where it is absent or no string. */
const char *json_get_string(const cJSON *object, const char *name);
/* Reads a whole number from 0 to 2^53 - 1, the range in which cJSON's doubles are exact. False, and *out unchanged, for
 * anything else. */
bool json_get_int64(const cJSON *object, const char *name, int64_t *out);
double json_get_double(const cJSON *object, const char *name, double otherwise);
/* True only for a member that is true. */
bool json_get_bool(const cJSON *object, const char *name);
#endif
