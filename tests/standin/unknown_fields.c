#include "unknown_fields.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define STORE_VALUE_NAME "\"data\":"

static const char *members_of[STANDIN_SENDERS]; /* accessed atomically */

void standin_unknown_fields_set(enum standin_sender sender, const char *members) {
    g_atomic_pointer_set(&members_of[sender], members);
}

/* Returns the end of the string that begins at the quote. */
static const char *string_end(const char *quote) {
    const char *next = quote + 1;
    while (*next != '"') next += *next == '\\' ? 2 : 1;
    return next + 1;
}

/* Returns the end of the object that begins at the brace. */
static const char *object_end(const char *brace) {
    int depth = 0;
    for (const char *next = brace;;) {
        if (*next == '"') {
            next = string_end(next);
            continue;
        }
        depth += (*next == '{') - (*next == '}');
        next++;
        if (depth == 0) return next;
    }
}

/* Returns a copy of a JSON text in which each object begins with the members. */
static char *insert_members(const char *json, const char *members) {
    GString *text = g_string_new(NULL);
    for (const char *next = json; *next;) {
        const char *end = *next == '"' ? string_end(next) : next + 1;
        bool is_value = *next == '{' && g_str_has_suffix(text->str, STORE_VALUE_NAME);
        if (is_value) end = object_end(next);
        g_string_append_len(text, next, end - next);
        if (*next == '{' && !is_value) g_string_append_printf(text, "%s%s", members, *end == '}' ? "" : ",");
        next = end;
    }
    return g_string_free(text, FALSE);
}

char *standin_unknown_fields_print(enum standin_sender sender, const cJSON *message) {
    const char *members = g_atomic_pointer_get(&members_of[sender]);
    char *json = cJSON_PrintUnformatted(message);
    char *text = members ? insert_members(json, members) : g_strdup(json);
    free(json);
    return text;
}

void standin_unknown_fields_reply(enum standin_sender sender, struct http_request *request, unsigned status,
                                  cJSON *message) {
    char *text = standin_unknown_fields_print(sender, message);
    http_reply(request, status, text, 0);
    g_free(text);
    cJSON_Delete(message);
}
