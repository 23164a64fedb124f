/* Tests of the readers of the three settings files, with valid and invalid input. */
#include "settings/settings.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../../tests/standin/test_settings.h"

static void valid_settings_are_read(void **state) {
    (void)state;
    struct settings settings;
    g_autoptr(GError) error = NULL;
    assert_true(settings_parse(TEST_SETTINGS_JSON, "f.json", &settings, &error));
    assert_int_equal(settings.n_teams, 3);
    assert_int_equal(settings.n_peers, 1);
    assert_int_equal(settings.cancel_timeout.tv_sec, 40);
    assert_int_equal(settings_team(&settings, "blue"), 1);
    assert_int_equal(settings_team(&settings, "none"), -1);
    settings_clear(&settings);
}

static void error_names_the_invalid_field(void **state) {
    (void)state;
    static const struct {
        const char *from, *replacement, *field;
    } rows[] = {
        {"\"node\":\"n0\"", "\"node\":7", "node"},
        {"127.0.0.1:18080", "127.0.0.1", "bind"},
        {"127.0.0.1:18081", "127.0.0.1:99999", "cluster_listen"},
        {"\"size\":2", "\"size\":0", "settings.size"},
        {"\"gpus\":4", "\"gpus\":9", "settings.teams.gpus"},
        {"\"name\":\"blue\"", "\"name\":\"red\"", "settings.teams.name"},
        {"\"cancel_s\":40", "\"cancel_s\":20", "settings.workers.cancel_s"},
        {"\"rps\":100,", "", "settings.state.rps"},
        {"\"txn_ops\":8", "\"txn_ops\":1", "settings.state.txn_ops"},
        {"\"node\":\"n1\"", "\"node\":\"n0\"", "seeds.node"},
        {"\"sockets\":1000", "\"sockets\":3", "settings.machine_limits.sockets"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct settings settings;
        g_autoptr(GError) error = NULL;
        char *text = test_replace_first(TEST_SETTINGS_JSON, rows[i].from, rows[i].replacement);
        assert_false(settings_parse(text, "f.json", &settings, &error));
        assert_non_null(strstr(error->message, "f.json: "));
        assert_non_null(strstr(error->message, rows[i].field));
        settings_clear(&settings);
        g_free(text);
    }
    struct settings settings;
    g_autoptr(GError) error = NULL;
    assert_false(settings_parse("[1]", "f.json", &settings, &error));
}

/* Limits to which the store may change: each is optional, and one above the current limit has no effect. */
static void next_limits_are_optional_and_never_above_current(void **state) {
    (void)state;
    static const struct {
        const char *next;
        double changes_per_s, value_max_kb, next_value_max_kb;
        int txn_operations_max;
        const char *expected_error;
    } rows[] = {
        {"{\"write_rps\":15,\"value_kb\":2,\"txn_ops\":4}", 15, 4, 2, 4, NULL},
        {"{\"value_kb\":2}", 20, 4, 2, 8, NULL},
        {"{}", 20, 4, 4, 8, NULL},
        {"null", 20, 4, 4, 8, NULL},
        {"{\"write_rps\":90,\"value_kb\":64,\"txn_ops\":32}", 20, 4, 4, 8, NULL},
        {"{\"txn_ops\":1}", 0, 0, 0, 0, "settings.state.next.txn_ops"},
        {"{\"value_kb\":\"2\"}", 0, 0, 0, 0, "settings.state.next.value_kb"},
        {"7", 0, 0, 0, 0, "settings.state.next"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct settings settings;
        g_autoptr(GError) error = NULL;
        char *replacement = g_strdup_printf("\"txn_ops\":8,\"next\":%s", rows[i].next);
        char *text = test_replace_first(TEST_SETTINGS_JSON, "\"txn_ops\":8", replacement);
        bool valid = settings_parse(text, "f.json", &settings, &error);
        assert_int_equal(valid, rows[i].expected_error == NULL);
        if (rows[i].expected_error) assert_non_null(strstr(error->message, rows[i].expected_error));
        if (valid) {
            assert_float_equal(settings.store_changes_per_s, rows[i].changes_per_s, 1e-9);
            assert_float_equal(settings.value_max_kb, rows[i].value_max_kb, 1e-9);
            assert_float_equal(settings.next_value_max_kb, rows[i].next_value_max_kb, 1e-9);
            assert_int_equal(settings.txn_operations_max, rows[i].txn_operations_max);
        }
        settings_clear(&settings);
        g_free(text);
        g_free(replacement);
    }
}

static void tuning_file_overrides_defaults_or_is_rejected(void **state) {
    (void)state;
    static const struct {
        /* expected_error: text that the error must contain; NULL: the file is valid */
        const char *text, *expected_error;
    } rows[] = {
        {"reception = 0.4\nmargin = 2\n", NULL}, {"# a comment\ndrain_reopen = 90\n", NULL},
        {"recepton = 0.4\n", "recepton"},        {"reception = 1.5\n", "reception"},
        {"reception = \"half\"\n", "reception"}, {"reception = = 3\n", "line 1"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct settings_tuning tuning;
        g_autoptr(GError) error = NULL;
        assert_int_equal(settings_parse_tuning(rows[i].text, "t.hcl", &tuning, &error), rows[i].expected_error == NULL);
        if (rows[i].expected_error) assert_non_null(strstr(error->message, rows[i].expected_error));
    }
    struct settings_tuning tuning;
    g_autoptr(GError) error = NULL;
    assert_true(settings_parse_tuning("reception = 0.25\ndrain_reopen = 90\n", "t.hcl", &tuning, &error));
    assert_float_equal(tuning.reception_threshold, 0.25, 1e-9);
    assert_float_equal(tuning.admission_threshold, 0.8, 1e-9);
    assert_int_equal(tuning.drain_timeout.tv_sec, 90);
}

/* For each team, the first entry that names the team or "*" sets the number of shards. */
static void first_entry_that_names_a_team_applies(void **state) {
    (void)state;
    static const struct {
        const char *text;
        int n_shards[3];            /* of the teams red, blue and green */
        const char *expected_error; /* text that the error must contain; NULL: the file is valid */
    } rows[] = {
        {"", {1, 1, 1}, NULL},
        {"gather_s = 5\ndivide = ( { team = \"red\", shares = 2 } )\n", {2, 1, 1}, NULL},
        {"divide = ( { team = \"red\", shares = 1 }, { team = \"*\", shares = 2 } )\n", {1, 2, 2}, NULL},
        {"divide = ( { team = \"*\", shares = 2 }, { team = \"red\", shares = 1 } )\n", {2, 2, 2}, NULL},
        {"divide = ( { team = \"red\", shares = 3 } )\n", {0}, "divide.shares"}, /* the cluster has two shards */
        {"divide = ( { team = \"red\", shares = 0 } )\n", {0}, "divide.shares"},
        {"divide = ( { team = \"red\", shares = 1.5 } )\n", {0}, "divide.shares"},
        {"divide = ( { team = \"rot\", shares = 2 } )\n", {0}, "divide.team"},
        {"divide = ( { shares = 2 } )\n", {0}, "divide"},
        {"divide = ( { team = \"red\", shares = 2, more = 1 } )\n", {0}, "divide"},
        {"divide = { team = \"red\", shares = 2 }\n", {0}, "divide"},
        {"gather_s = 0\n", {0}, "gather_s"},
        {"gather_s = \"long\"\n", {0}, "gather_s"},
        {"gather = 5\n", {0}, "gather"},
        {"divide = ( \n", {0}, "line"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct settings settings;
        g_autoptr(GError) error = NULL;
        assert_true(settings_parse(TEST_SETTINGS_JSON, "f.json", &settings, &error));
        bool valid = settings_parse_quota(rows[i].text, "quota.hcl", &settings, &error);
        if (valid != (rows[i].expected_error == NULL)) fail_msg("%s", rows[i].text);
        if (rows[i].expected_error) {
            assert_non_null(strstr(error->message, "quota.hcl"));
            assert_non_null(strstr(error->message, rows[i].expected_error));
        }
        for (int t = 0; valid && t < 3; t++) assert_int_equal(settings.teams[t].n_shards, rows[i].n_shards[t]);
        settings_clear(&settings);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(valid_settings_are_read),
                                       cmocka_unit_test(error_names_the_invalid_field),
                                       cmocka_unit_test(next_limits_are_optional_and_never_above_current),
                                       cmocka_unit_test(tuning_file_overrides_defaults_or_is_rejected),
                                       cmocka_unit_test(first_entry_that_names_a_team_applies)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
