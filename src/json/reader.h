/* Reads JSON texts (RFC 8259) that other programs have written, so that nothing unknown in them can do harm.
 *
 * The reader is iterative: the nesting of a text uses no stack. It is strict about the grammar, apart from bytes in
 * strings that are not UTF-8: records of earlier versions may contain them. Of a name that is repeated in an object,
 * the last member counts. The result is a cJSON tree in which
 * - a member is left out if a zero byte or a lone surrogate is in its name, since C strings cannot hold such a name;
 * - a string with a zero byte or a lone surrogate is an item of the type cJSON_Invalid, which is no JSON value;
 * - an array or object that is nested deeper than JSON_DEPTH_MAX is empty.
 * Thread-safe. */
#ifndef FF_JSON_READER_H
#define FF_JSON_READER_H
#include <cjson/cJSON.h>
#include <stddef.h>

/* Levels of arrays and objects whose contents are kept. No message or record that the program knows has as many. */
#define JSON_DEPTH_MAX 16

/* Returns the value of the text, which the caller frees with cJSON_Delete; NULL: the text is not JSON. */
cJSON *json_read(const char *text, size_t length);
/* Like json_read. If the value is an object, only its members with one of these names are kept; the list ends with
 * NULL. */
cJSON *json_read_members(const char *text, size_t length, const char *const *names);
#endif
