#include "reader.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <yajl/yajl_parse.h>

/* Members of an object up to which a repeated name is searched for in the list of members. */
#define INDEXED_FROM_MEMBERS 16
/* A number's text is copied to the stack if it is shorter. */
#define SHORT_NUMBER_BYTES 64
/* Length of an escape such as \ud800, and the surrogates as its first hexadecimal digits. */
#define ESCAPE_LENGTH 6
#define ESCAPE_PREFIX_LENGTH 2
#define HEX_BASE 16
#define FIRST_HIGH_SURROGATE 0xD800
#define FIRST_LOW_SURROGATE 0xDC00
#define LAST_LOW_SURROGATE 0xDFFF

/* An open array or object whose contents are kept. */
struct container {
    cJSON *value;
    int n_members;
    GHashTable *members; /* name -> item, if there are many members; NULL: not needed yet */
};

struct reader {
    yajl_handle parser;
    const char *text;
    size_t length;                 /* of the text, in bytes */
    const char *const *kept_names; /* of the outermost object; NULL: all names */
    size_t token_start;            /* the latest string token begins at or after this offset */
    size_t value_end;              /* offset behind the outermost value; 0: it has not ended yet */
    bool completing;               /* the parser has got the whole text */
    cJSON *root;
    struct container open[JSON_DEPTH_MAX];
    int depth;
    char *name;          /* of the member whose value is read next, allocated by cJSON; NULL: in an array */
    bool skip_value;     /* the next value belongs to a member that is left out */
    size_t skipped_open; /* number of open arrays and objects whose contents are left out */
};

/* ---- strings ---- */

static long escaped_unit(const char *escape) {
    char digits[ESCAPE_LENGTH - ESCAPE_PREFIX_LENGTH + 1] = "";
    memcpy(digits, escape + ESCAPE_PREFIX_LENGTH, sizeof digits - 1);
    return strtol(digits, NULL, HEX_BASE);
}

static bool is_unicode_escape(const char *position, const char *end) {
    return end - position >= ESCAPE_LENGTH && position[0] == '\\' && position[1] == 'u';
}

/* Returns whether a valid string token contains an escaped surrogate without its counterpart. The token may be preceded
 * by other tokens without strings. */
static bool has_lone_surrogate(const char *token, const char *end) {
    for (const char *escape = memchr(token, '\\', (size_t)(end - token)); escape && escape + 1 < end;) {
        size_t length = is_unicode_escape(escape, end) ? ESCAPE_LENGTH : 2;
        long unit = length == ESCAPE_LENGTH ? escaped_unit(escape) : 0;
        if (unit >= FIRST_LOW_SURROGATE && unit <= LAST_LOW_SURROGATE) return true;
        if (unit >= FIRST_HIGH_SURROGATE && unit < FIRST_LOW_SURROGATE) {
            if (!is_unicode_escape(escape + length, end)) return true;
            long next_unit = escaped_unit(escape + length);
            if (next_unit < FIRST_LOW_SURROGATE || next_unit > LAST_LOW_SURROGATE) return true;
            length += ESCAPE_LENGTH;
        }
        escape = memchr(escape + length, '\\', (size_t)(end - escape) - length);
    }
    return false;
}

/* Returns whether a C string can hold the string token that was just read. */
static bool is_representable(const struct reader *reader, const unsigned char *string, size_t length) {
    const char *token = reader->text + reader->token_start,
               *end = reader->text + yajl_get_bytes_consumed(reader->parser);
    return !memchr(string, 0, length) && !has_lone_surrogate(token, end);
}

/* Returns a copy that cJSON can free. */
static char *copy_string(const unsigned char *string, size_t length) {
    char *copy = cJSON_malloc(length + 1);
    memcpy(copy, string, length);
    copy[length] = 0;
    return copy;
}

/* ---- members ---- */

static cJSON *find_member(const struct container *object, const char *name) {
    return object->members ? g_hash_table_lookup(object->members, name)
                           : cJSON_GetObjectItemCaseSensitive(object->value, name);
}

static void index_members(struct container *object) {
    cJSON *member;
    object->members = g_hash_table_new(g_str_hash, g_str_equal);
    cJSON_ArrayForEach(member, object->value) g_hash_table_insert(object->members, member->string, member);
}

/* Adds a member. Takes ownership of the item, whose name is set. */
static void add_member(struct container *object, cJSON *item) {
    cJSON *previous = find_member(object, item->string);
    if (previous) {
        if (object->members) g_hash_table_remove(object->members, item->string);
        cJSON_Delete(cJSON_DetachItemViaPointer(object->value, previous));
        object->n_members--;
    }
    cJSON_AddItemToArray(object->value, item); /* cJSON_AddItemToObject would copy the name */
    if (++object->n_members == INDEXED_FROM_MEMBERS && !object->members) index_members(object);
    if (object->members) g_hash_table_insert(object->members, item->string, item);
}

/* Adds a value where it belongs. */
static void add_value(struct reader *reader, cJSON *item) {
    struct container *parent = reader->depth ? &reader->open[reader->depth - 1] : NULL;
    if (!parent) {
        reader->root = item;
    } else if (cJSON_IsObject(parent->value)) {
        item->string = g_steal_pointer(&reader->name);
        add_member(parent, item);
    } else {
        cJSON_AddItemToArray(parent->value, item);
    }
}

/* Returns whether the value that was just read, or has begun, is left out. */
static bool is_skipped(const struct reader *reader) { return reader->skip_value || reader->skipped_open > 0; }

/* Prepares for the token after a value, a name or the beginning of an array or object. */
static void finish_token(struct reader *reader) {
    reader->skip_value = false;
    reader->token_start = reader->completing ? reader->length : yajl_get_bytes_consumed(reader->parser);
    if (reader->depth == 0) reader->value_end = reader->token_start;
}

/* ---- callbacks of the parser; they return 1 to continue ---- */

static int on_null(void *context) {
    struct reader *reader = context;
    if (!is_skipped(reader)) add_value(reader, cJSON_CreateNull());
    finish_token(reader);
    return 1;
}

static int on_boolean(void *context, int value) {
    struct reader *reader = context;
    if (!is_skipped(reader)) add_value(reader, cJSON_CreateBool(value));
    finish_token(reader);
    return 1;
}

static double convert_number(const char *text, size_t length) {
    char digits[SHORT_NUMBER_BYTES];
    if (length < sizeof digits) {
        memcpy(digits, text, length);
        digits[length] = 0;
        return g_ascii_strtod(digits, NULL);
    }
    char *copy = g_strndup(text, length);
    double number = g_ascii_strtod(copy, NULL);
    g_free(copy);
    return number;
}

static int on_number(void *context, const char *text, size_t length) {
    struct reader *reader = context;
    if (!is_skipped(reader)) add_value(reader, cJSON_CreateNumber(convert_number(text, length)));
    finish_token(reader);
    return 1;
}

static cJSON *create_string(const struct reader *reader, const unsigned char *string, size_t length) {
    cJSON *item = cJSON_CreateNull();
    item->type = cJSON_Invalid;
    if (is_representable(reader, string, length)) {
        item->type = cJSON_String;
        item->valuestring = copy_string(string, length);
    }
    return item;
}

static int on_string(void *context, const unsigned char *string, size_t length) {
    struct reader *reader = context;
    if (!is_skipped(reader)) add_value(reader, create_string(reader, string, length));
    finish_token(reader);
    return 1;
}

static bool is_kept_name(const struct reader *reader, const char *name) {
    return !reader->kept_names || reader->depth > 1 || g_strv_contains(reader->kept_names, name);
}

static int on_name(void *context, const unsigned char *name, size_t length) {
    struct reader *reader = context;
    bool skipped = is_skipped(reader), representable = !skipped && is_representable(reader, name, length);
    finish_token(reader);
    if (skipped) return 1;
    reader->name = copy_string(name, length);
    reader->skip_value = !representable || !is_kept_name(reader, reader->name);
    if (reader->skip_value) {
        g_clear_pointer(&reader->name, cJSON_free);
    }
    return 1;
}

/* Begins an array or object. Takes ownership of the empty value. */
static void keep_container(struct reader *reader, cJSON *value) {
    add_value(reader, value);
    if (reader->depth == JSON_DEPTH_MAX) {
        reader->skipped_open = 1;
    } else {
        reader->open[reader->depth++] = (struct container){.value = value};
    }
}

static int on_start(struct reader *reader, cJSON *(*create)(void)) {
    if (is_skipped(reader)) {
        reader->skipped_open++;
    } else {
        keep_container(reader, create());
    }
    finish_token(reader);
    return 1;
}

static int on_start_object(void *context) { return on_start(context, cJSON_CreateObject); }

static int on_start_array(void *context) { return on_start(context, cJSON_CreateArray); }

static int on_end(void *context) {
    struct reader *reader = context;
    if (reader->skipped_open) {
        reader->skipped_open--;
    } else {
        g_clear_pointer(&reader->open[--reader->depth].members, g_hash_table_destroy);
    }
    finish_token(reader);
    return 1;
}

/* ---- reading ---- */

static const yajl_callbacks callbacks = {.yajl_null = on_null,
                                         .yajl_boolean = on_boolean,
                                         .yajl_number = on_number,
                                         .yajl_string = on_string,
                                         .yajl_start_map = on_start_object,
                                         .yajl_map_key = on_name,
                                         .yajl_end_map = on_end,
                                         .yajl_start_array = on_start_array,
                                         .yajl_end_array = on_end};

/* Frees what a text that is not JSON has left behind. */
static void discard(struct reader *reader) {
    while (reader->depth > 0) {
        g_clear_pointer(&reader->open[--reader->depth].members, g_hash_table_destroy);
    }
    g_clear_pointer(&reader->name, cJSON_free);
    g_clear_pointer(&reader->root, cJSON_Delete);
}

static const char white_space[] = {' ', '\t', '\r', '\n'};

/* The parser accepts the beginning of a string behind the outermost value. */
static bool is_blank_from(const struct reader *reader, size_t offset) {
    while (offset < reader->length && memchr(white_space, reader->text[offset], sizeof white_space)) offset++;
    return offset == reader->length;
}

static bool parse(struct reader *reader) {
    if (yajl_parse(reader->parser, (const unsigned char *)reader->text, reader->length) != yajl_status_ok) return false;
    reader->completing = true;
    if (yajl_complete_parse(reader->parser) != yajl_status_ok) return false;
    return is_blank_from(reader, reader->value_end);
}

cJSON *json_read_members(const char *text, size_t length, const char *const *names) {
    struct reader reader = {.text = text, .length = length, .kept_names = names};
    reader.parser = yajl_alloc(&callbacks, NULL, &reader);
    yajl_config(reader.parser, yajl_dont_validate_strings, 1);
    if (!parse(&reader)) discard(&reader);
    yajl_free(reader.parser);
    return reader.root;
}

cJSON *json_read(const char *text, size_t length) { return json_read_members(text, length, NULL); }
