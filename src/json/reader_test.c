/* What the reader makes of JSON texts, of unknown members and of texts that are not JSON. */
#include "json/reader.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../../tests/standin/test_settings.h"
#include "json/json.h"

#define NESTED_LEVELS 200000

/* Each text is read and printed again; NULL: it is not JSON. */
static void texts_are_read_by_the_grammar(void **state) {
    (void)state;
    static const struct {
        const char *text, *printed;
    } rows[] = {
        {"{}", "{}"},
        {" \t\r\n{ \"a\" : [ 1 , 2.5e1 , true , false , null , \"x\" ] }\n", "{\"a\":[1,25,true,false,null,\"x\"]}"},
        {"7", "7"},
        {"\"\\u0041\\n\\/\"", "\"A\\n/\""},
        {"\"\\ud83d\\ude00\"", "\"\xf0\x9f\x98\x80\""},
        {"{\"a\":1,\"b\":2,\"a\":3}", "{\"b\":2,\"a\":3}"},
        {"{\"\\u0061\":1,\"a\":2}", "{\"a\":2}"},
        {"{\"a\":{\"b\":1},\"a\":null}", "{\"a\":null}"},
        {"{\"n\":-0.5E-2}", "{\"n\":-0.005}"},
        {"", NULL},
        {" ", NULL},
        {"{", NULL},
        {"{}x", NULL},
        {"{}{}", NULL},
        {"{}\"", NULL},
        {"{} \"}", NULL},
        {"[]\"]", NULL},
        {"7\"", NULL},
        {"7 \"", NULL},
        {"true\"", NULL},
        {"\"a\" \"", NULL},
        {"7 ", "7"},
        {"true", "true"},
        {"null\n", "null"},
        {"{\"a\":1,}", NULL},
        {"{a:1}", NULL},
        {"{'a':1}", NULL},
        {"{\"a\" 1}", NULL},
        {"[1,]", NULL},
        {"[1 2]", NULL},
        {"{\"a\":01}", NULL},
        {"{\"a\":+1}", NULL},
        {"{\"a\":.5}", NULL},
        {"{\"a\":1.}", NULL},
        {"{\"a\":1e}", NULL},
        {"{\"a\":-}", NULL},
        {"{\"a\":NaN}", NULL},
        {"{\"a\":Infinity}", NULL},
        {"{\"a\":tru}", NULL},
        {"{\"a\":True}", NULL},
        {"{\"a\":\"\\x\"}", NULL},
        {"{\"a\":\"\\u12g4\"}", NULL},
        {"{\"a\":\"\t\"}", NULL},
        {"{\"a\":\"unfinished}", NULL},
        {"{} // comment", NULL},
        {"/* comment */ {}", NULL},
        {"\xef\xbb\xbf{}", NULL},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        cJSON *value = json_read(rows[i].text, strlen(rows[i].text));
        char *printed = value ? cJSON_PrintUnformatted(value) : NULL;
        if (g_strcmp0(printed, rows[i].printed) != 0)
            fail_msg("%s: %s", rows[i].text, printed ? printed : "(not JSON)");
        free(printed);
        cJSON_Delete(value);
    }
}

static void zero_byte_outside_an_escape_is_not_json(void **state) {
    (void)state;
    static const char text[] = "{\"a\":1}\0";
    assert_null(json_read(text, sizeof text));
    static const char in_string[] = "{\"a\":\"\0\"}";
    assert_null(json_read(in_string, sizeof in_string - 1));
}

/* Guards against jobs, machines and keys that are taken for others. */
static void name_that_equals_a_known_one_up_to_a_zero_is_unknown(void **state) {
    (void)state;
    static const char text[] = "{\"uid\\u0000x\":\"req-2\",\"uid\":\"req-1\",\"uid\\u0000\":\"req-3\"}";
    cJSON *value = json_read(text, strlen(text));
    assert_string_equal(json_get_string(value, "uid"), "req-1");
    assert_int_equal(cJSON_GetArraySize(value), 1);
    cJSON_Delete(value);
}

/* Guards against strings that are shortened to a valid one. */
static void string_that_c_cannot_hold_is_no_valid_value(void **state) {
    (void)state;
    static const char *const strings[] = {"req-1\\u0000x", "\\ud800",        "\\udc00",     "a\\ud83dx",
                                          "\\ud83d\\n",    "\\ud83d\\ud83d", "\\\\\\ude00", "\\ud83d\\ude00\\ude00"};
    for (size_t i = 0; i < G_N_ELEMENTS(strings); i++) {
        char *text = g_strdup_printf("{\"before\":\"\\\\ud800\",\"a\":\"%s\",\"after\":\"x\"}", strings[i]);
        cJSON *value = json_read(text, strlen(text)), *item = cJSON_GetObjectItemCaseSensitive(value, "a");
        assert_string_equal(json_get_string(value, "before"), "\\ud800");
        assert_non_null(item);
        if (cJSON_IsString(item) || cJSON_IsNull(item)) fail_msg("%s", strings[i]);
        assert_string_equal(json_get_string(value, "after"), "x");
        cJSON_Delete(value);
        g_free(text);
    }
}

/* A text that opens, and closes, an array or object at each of many levels, as the value of a member. */
static char *nested_text(const char *opening, const char *innermost, const char *closing) {
    GString *text = g_string_new("{\"x\":");
    for (int i = 0; i < NESTED_LEVELS; i++) g_string_append(text, opening);
    g_string_append(text, innermost);
    for (int i = 0; i < NESTED_LEVELS; i++) g_string_append(text, closing);
    g_string_append(text, ",\"uid\":\"req-1\"}");
    return g_string_free(text, FALSE);
}

/* Guards against nested values that no reader of the store can read, or that exhaust the stack. */
static void nesting_does_no_harm(void **state) {
    (void)state;
    static const char *const parts[][3] = {{"[", "", "]"}, {"{\"x\":", "1", "}"}, {"[[],{\"a\":[", "\"y\"", "]}]"}};
    static const char *const names[] = {"uid", NULL};
    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        char *text = nested_text(parts[i][0], parts[i][1], parts[i][2]);
        cJSON *all = json_read(text, strlen(text)), *known = json_read_members(text, strlen(text), names);
        assert_string_equal(json_get_string(all, "uid"), "req-1");
        assert_string_equal(json_get_string(known, "uid"), "req-1");
        assert_int_equal(cJSON_GetArraySize(known), 1);
        assert_null(json_read(text, strlen(text) - 1));
        cJSON_Delete(all);
        cJSON_Delete(known);
        g_free(text);
    }
}

static void contents_below_the_depth_limit_are_kept(void **state) {
    (void)state;
    cJSON *value = json_read("[[[[[[[[[[[[[[[[[7]]]]]]]]]]]]]]]]]", 2 * (JSON_DEPTH_MAX + 1) + 1), *item = value;
    for (int level = 1; level <= JSON_DEPTH_MAX; level++) item = cJSON_GetArrayItem(item, 0);
    assert_true(cJSON_IsArray(item));
    assert_int_equal(cJSON_GetArraySize(item), 0);
    cJSON_Delete(value);
}

/* The members are indexed from a certain number on; the last of a repeated name counts before and after. */
static void repeated_names_among_many_members(void **state) {
    (void)state;
    enum { MEMBERS = 3000 };
    GString *text = g_string_new("{");
    for (int round = 0; round < 2; round++)
        for (int i = 0; i < MEMBERS; i++) g_string_append_printf(text, "\"m%d\":%d,", i, i + round);
    g_string_append(text, "\"m7\":\"last\"}");
    cJSON *value = json_read(text->str, text->len);
    assert_int_equal(cJSON_GetArraySize(value), MEMBERS);
    assert_int_equal(json_get_double(value, "m6", 0), 7);
    assert_string_equal(json_get_string(value, "m7"), "last");
    cJSON_Delete(value);
    g_string_free(text, TRUE);
}

static void long_numbers_are_read(void **state) {
    (void)state;
    char *zeros = g_strnfill(30000, '0');
    char *text =
        g_strdup_printf("{\"x\":1%s,\"y\":0.%s1,\"z\":12.5%s,\"big\":18446744073709551615}", zeros, zeros, zeros);
    cJSON *value = json_read(text, strlen(text));
    assert_non_null(value);
    assert_true(json_get_double(value, "z", 0) == 12.5);
    int64_t integer;
    assert_false(json_get_int64(value, "big", &integer));
    cJSON_Delete(value);
    g_free(text);
    g_free(zeros);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(texts_are_read_by_the_grammar),
        cmocka_unit_test(zero_byte_outside_an_escape_is_not_json),
        cmocka_unit_test(name_that_equals_a_known_one_up_to_a_zero_is_unknown),
        cmocka_unit_test(string_that_c_cannot_hold_is_no_valid_value),
        cmocka_unit_test(nesting_does_no_harm),
        cmocka_unit_test(contents_below_the_depth_limit_are_kept),
        cmocka_unit_test(repeated_names_among_many_members),
        cmocka_unit_test(long_numbers_are_read),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
