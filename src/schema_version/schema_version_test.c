/* When a layout of records is active, and when teams are divided. */
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
    cJSON *data = json ? cJSON_Parse(json) : NULL;
    store_lock();
    store_apply(key, data, ++mod_revision);
    store_unlock();
    cJSON_Delete(data);
}

/* The layout is active once every controller of the settings has recorded its version, for good: a node that is merely
 * not heard of, or a record that can't be read, is no proof, and no later record takes it back. */
static void the_layout_is_active_once_every_controller_has_recorded_it(void **state) {
    (void)state;
    static const struct {
        const char *what, *key, *record;
        bool active;
    } cases[] = {
        {"ours alone", "format/n0", "{\"version\":2}", false},
        {"one that the settings don't name", "format/n7", "{\"version\":2}", false},
        {"the other is gone", "node/n1", NULL, false},
        {"the other, unreadable", "format/n1", "{\"version\":\"2\"}", false},
        {"the other, older", "format/n1", "{\"version\":1}", false},
        {"the other", "format/n1", "{\"version\":3}", true},
        {"a record that is gone", "format/n1", NULL, true},
        {"a damaged one", "format/n0", "{\"version\":1}", true},
    };
    struct store_txn txn;
    store_txn_init(&txn);
    assert_false(schema_version_active());
    assert_true(schema_version_announce(&txn));
    const cJSON *operation = cJSON_GetArrayItem(txn.operations, 0);
    assert_int_equal(txn.writes, 1);
    assert_string_equal(json_get_string(operation, "set"), "format/n0");
    assert_null(cJSON_GetObjectItem(operation, "lease")); /* it outlives the process */
    store_txn_free(&txn);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        put(cases[i].key, cases[i].record);
        if (schema_version_active() != cases[i].active) fail_msg("%s: %d", cases[i].what, schema_version_active());
    }
    store_txn_init(&txn);
    assert_false(schema_version_announce(&txn));
    store_txn_free(&txn);
}

/* Divided teams are in force while every controller's latest record says that it asks for them; a controller whose
 * settings no longer do takes its record back, so that an earlier version may come. */
static void teams_are_divided_while_every_latest_record_asks_for_it(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int shards; /* of a team, by our own settings */
        const char *key, *record;
        bool in_force;
        int announces; /* version that our own record is to name; 0: it names it already */
    } cases[] = {
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
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct store_txn txn;
        cfg.teams[0].shards = cases[i].shards;
        put(cases[i].key, cases[i].record);
        store_txn_init(&txn);
        int64_t version = 0;
        if (schema_version_announce(&txn))
            json_get_int64(cJSON_GetObjectItem(cJSON_GetArrayItem(txn.operations, 0), "data"), "version", &version);
        if (schema_version_divided_quota() != cases[i].in_force || version != cases[i].announces)
            fail_msg("%s: %d, announces %lld", cases[i].what, schema_version_divided_quota(), (long long)version);
        assert_true(schema_version_active()); /* the second layout stays */
        store_txn_free(&txn);
    }
}

int main(void) {
    if (!settings_parse(SITE_JSON, "f.json", &cfg, NULL)) return 1;
    logging_init("fatal");
    store_init(&cfg);
    schema_version_init(&cfg);
    const struct CMUnitTest tests[] = {cmocka_unit_test(the_layout_is_active_once_every_controller_has_recorded_it),
                                       cmocka_unit_test(teams_are_divided_while_every_latest_record_asks_for_it)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
