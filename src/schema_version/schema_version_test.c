#include "schema_version/schema_version.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "../../tests/standin/site.h"
#include "json/json.h"
#include "logging/logging.h"

static struct settings cfg;
static int64_t mod_revision = 10;

static void put(const char *key, const char *json) {
    cJSON *x = json ? cJSON_Parse(json) : NULL;
    store_lock();
    store_apply(key, x, ++mod_revision);
    store_unlock();
    cJSON_Delete(x);
}

/* The layout is active once every controller of the settings has recorded its version, for good: a node that is merely
 * not heard of, or a record that can't be read, is no proof, and no later record takes it back. */
static void activation(void **state) {
    (void)state;
    static const struct {
        const char *what, *key, *record;
        bool active;
    } rows[] = {
        {"ours alone", "format/n0", "{\"version\":2}", false},
        {"one that the settings don't name", "format/n7", "{\"version\":2}", false},
        {"the other is gone", "node/n1", NULL, false},
        {"the other, unreadable", "format/n1", "{\"version\":\"2\"}", false},
        {"the other, older", "format/n1", "{\"version\":1}", false},
        {"the other", "format/n1", "{\"version\":3}", true},
        {"a record that is gone", "format/n1", NULL, true},
        {"a damaged one", "format/n0", "{\"version\":1}", true},
    };
    struct store_txn t;
    store_txn_init(&t);
    assert_false(schema_version_active());
    assert_true(schema_version_announce(&t));
    const cJSON *op = cJSON_GetArrayItem(t.operations, 0);
    assert_int_equal(t.writes, 1);
    assert_string_equal(json_get_string(op, "set"), "format/n0");
    assert_null(cJSON_GetObjectItem(op, "lease")); /* it outlives the process */
    store_txn_free(&t);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        put(rows[i].key, rows[i].record);
        if (schema_version_active() != rows[i].active) fail_msg("%s: %d", rows[i].what, schema_version_active());
    }
    store_txn_init(&t);
    assert_false(schema_version_announce(&t));
    store_txn_free(&t);
}

/* Divided teams are in force while every controller's latest record says that it asks for them; a controller whose
 * settings no longer do takes its record back, so that an earlier version may come. */
static void division(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int shards; /* of a team, by our own settings */
        const char *key, *record;
        bool in_force;
        int announces; /* version that our own record is to name; 0: it names it already */
    } rows[] = {
        {"ours does not divide", 1, "format/n0", "{\"version\":2}", false, 0},
        {"now it does", 2, "format/n1", "{\"version\":2}", false, 3},
        {"recorded", 2, "format/n0", "{\"version\":3}", false, 0},
        {"the other, too", 2, "format/n1", "{\"version\":3}", true, 0},
        {"the other took it back", 2, "format/n1", "{\"version\":2}", false, 0},
        {"and not", 2, "format/n1", "{\"version\":3}", true, 0},
        {"ours no longer divides", 1, "format/n1", "{\"version\":3}", true, 2},
        {"taken back", 1, "format/n0", "{\"version\":2}", false, 0},
        {"a record that is gone", 2, "format/n1", NULL, false, 3},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct store_txn t;
        cfg.teams[0].shards = rows[i].shards;
        put(rows[i].key, rows[i].record);
        store_txn_init(&t);
        int64_t version = 0;
        if (schema_version_announce(&t))
            json_get_int64(cJSON_GetObjectItem(cJSON_GetArrayItem(t.operations, 0), "data"), "version", &version);
        if (schema_version_divided_quota() != rows[i].in_force || version != rows[i].announces)
            fail_msg("%s: %d, announces %lld", rows[i].what, schema_version_divided_quota(), (long long)version);
        assert_true(schema_version_active()); /* the second layout stays */
        store_txn_free(&t);
    }
}

int main(void) {
    if (!settings_parse(SITE_JSON, "f.json", &cfg, NULL)) return 1;
    logging_init("fatal");
    store_init(&cfg);
    schema_version_init(&cfg);
    const struct CMUnitTest tests[] = {cmocka_unit_test(activation), cmocka_unit_test(division)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
