/* Tests when the layout of a schema version becomes active, and when teams may be divided. */
#include "schema_version/schema_version.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "../../tests/standin/test_settings.h"
#include "json/json.h"
#include "logging/logging.h"

static struct settings cfg;
static int64_t mod_revision = 10;

/* Applies a record to the mirror, or its removal if json is NULL. */
static void apply_record(const char *key, const char *json) {
    cJSON *data = json ? cJSON_Parse(json) : NULL;
    store_lock();
    store_apply(key, data, ++mod_revision);
    store_unlock();
    cJSON_Delete(data);
}

/* The layout becomes active when every controller in the settings has recorded its version. A controller without a node
 * record, or with an unreadable version record, may still run the old version and must not count as upgraded. No later
 * record makes the layout inactive again. */
static void layout_becomes_active_when_every_controller_recorded_its_version(void **state) {
    (void)state;
    static const struct {
        const char *description, *key, *record;
        bool active;
    } cases[] = {
        {"only this controller's record", "format/n0", "{\"version\":2}", false},
        {"a controller that the settings do not name", "format/n7", "{\"version\":2}", false},
        {"the peer's node record removed", "node/n1", NULL, false},
        {"the peer's record is unreadable", "format/n1", "{\"version\":\"2\"}", false},
        {"the peer recorded an older version", "format/n1", "{\"version\":1}", false},
        {"the peer recorded a newer version", "format/n1", "{\"version\":3}", true},
        {"the peer's record removed afterwards", "format/n1", NULL, true},
        {"this controller's record downgraded afterwards", "format/n0", "{\"version\":1}", true},
    };
    struct store_txn txn;
    store_txn_init(&txn);
    assert_false(schema_version_active());
    assert_true(schema_version_announce(&txn));
    const cJSON *operation = cJSON_GetArrayItem(txn.operations, 0);
    assert_int_equal(txn.n_operations, 1);
    assert_string_equal(json_get_string(operation, "set"), "format/n0");
    assert_null(cJSON_GetObjectItem(operation, "lease")); /* the record must outlive the process */
    store_txn_free(&txn);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        apply_record(cases[i].key, cases[i].record);
        if (schema_version_active() != cases[i].active)
            fail_msg("%s: active is %d", cases[i].description, schema_version_active());
    }
    store_txn_init(&txn);
    assert_false(schema_version_announce(&txn));
    store_txn_free(&txn);
}

/* Teams may be divided while the latest record of every controller contains version 3. A controller whose settings no
 * longer divide a team records version 2 again, so that an earlier version can be deployed. */
static void teams_may_be_divided_while_every_latest_record_has_version_3(void **state) {
    (void)state;
    static const struct {
        const char *description;
        int n_shards; /* over which the settings divide a team; 1: not divided */
        const char *key, *record;
        bool active;
        int announced; /* version written to this controller's record; 0: the record is not written */
    } cases[] = {
        {"the settings divide no team", 1, "format/n0", "{\"version\":2}", false, 0},
        {"the settings divide a team now", 2, "format/n1", "{\"version\":2}", false, 3},
        {"only this controller's record has version 3", 2, "format/n0", "{\"version\":3}", false, 0},
        {"the peer's record has version 3, too", 2, "format/n1", "{\"version\":3}", true, 0},
        {"the peer recorded version 2 again", 2, "format/n1", "{\"version\":2}", false, 0},
        {"the peer recorded version 3 again", 2, "format/n1", "{\"version\":3}", true, 0},
        {"the settings no longer divide a team", 1, "format/n1", "{\"version\":3}", true, 2},
        {"this controller's record has version 2 again", 1, "format/n0", "{\"version\":2}", false, 0},
        {"the peer's record removed", 2, "format/n1", NULL, false, 3},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct store_txn txn;
        cfg.teams[0].n_shards = cases[i].n_shards;
        apply_record(cases[i].key, cases[i].record);
        store_txn_init(&txn);
        int64_t version = 0;
        if (schema_version_announce(&txn))
            json_get_int64(cJSON_GetObjectItem(cJSON_GetArrayItem(txn.operations, 0), "data"), "version", &version);
        if (schema_version_divided_quota_active() != cases[i].active || version != cases[i].announced)
            fail_msg("%s: active is %d, announced %lld", cases[i].description, schema_version_divided_quota_active(),
                     (long long)version);
        assert_true(schema_version_active()); /* the layout of version 2 stays active */
        store_txn_free(&txn);
    }
}

int main(void) {
    if (!settings_parse(TEST_SETTINGS_JSON, "f.json", &cfg, NULL)) return 1;
    logging_init("fatal");
    store_init(&cfg);
    schema_version_init(&cfg);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(layout_becomes_active_when_every_controller_recorded_its_version),
        cmocka_unit_test(teams_may_be_divided_while_every_latest_record_has_version_3)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
