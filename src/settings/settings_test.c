/* The three settings files, good and wrong. */
#include "settings/settings.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../../tests/standin/site.h"

static void settings_are_read_with_their_derived_values(void **state) {
    (void)state;
    struct settings s;
    g_autoptr(GError) error = NULL;
    assert_true(settings_parse(SITE_JSON, "f.json", &s, &error));
    assert_int_equal(s.n_teams, 3);
    assert_int_equal(s.n_seeds, 1);
    assert_int_equal(s.cancel.tv_sec, 40);
    assert_int_equal(settings_team(&s, "blue"), 1);
    assert_int_equal(settings_team(&s, "none"), -1);
    settings_clear(&s);
}

static void wrong_setting_is_named(void **state) {
    (void)state;
    static const struct {
        const char *from, *to, *field;
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
        struct settings s;
        g_autoptr(GError) error = NULL;
        char *text = site_with(SITE_JSON, rows[i].from, rows[i].to);
        assert_false(settings_parse(text, "f.json", &s, &error));
        assert_non_null(strstr(error->message, "f.json: "));
        assert_non_null(strstr(error->message, rows[i].field));
        settings_clear(&s);
        g_free(text);
    }
    struct settings s;
    g_autoptr(GError) error = NULL;
    assert_false(settings_parse("[1]", "f.json", &s, &error));
}

/* Limits that the state service will have some day: each may be left out, and none is above the present one. */
static void next_limits_are_optional_and_never_above_the_present(void **state) {
    (void)state;
    static const struct {
        const char *next;
        double write_rps, value_kb, next_value_kb;
        int txn_ops;
        const char *wrong;
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
        struct settings s;
        g_autoptr(GError) error = NULL;
        char *to = g_strdup_printf("\"txn_ops\":8,\"next\":%s", rows[i].next);
        char *text = site_with(SITE_JSON, "\"txn_ops\":8", to);
        bool ok = settings_parse(text, "f.json", &s, &error);
        assert_int_equal(ok, rows[i].wrong == NULL);
        if (rows[i].wrong) assert_non_null(strstr(error->message, rows[i].wrong));
        if (ok) {
            assert_float_equal(s.state_write_rps, rows[i].write_rps, 1e-9);
            assert_float_equal(s.value_kb, rows[i].value_kb, 1e-9);
            assert_float_equal(s.next_value_kb, rows[i].next_value_kb, 1e-9);
            assert_int_equal(s.txn_ops, rows[i].txn_ops);
        }
        settings_clear(&s);
        g_free(text);
        g_free(to);
    }
}

static void tuning_file_overrides_defaults_or_is_refused(void **state) {
    (void)state;
    static const struct {
        const char *text, *wrong; /* wrong: what the error must name, NULL: good */
    } rows[] = {
        {"reception = 0.4\nmargin = 2\n", NULL}, {"# a comment\ndrain_reopen = 90\n", NULL},
        {"recepton = 0.4\n", "recepton"},        {"reception = 1.5\n", "reception"},
        {"reception = \"half\"\n", "reception"}, {"reception = = 3\n", "line 1"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct settings_tuning t;
        g_autoptr(GError) error = NULL;
        assert_int_equal(settings_parse_tuning(rows[i].text, "t.hcl", &t, &error), rows[i].wrong == NULL);
        if (rows[i].wrong) assert_non_null(strstr(error->message, rows[i].wrong));
    }
    struct settings_tuning t;
    g_autoptr(GError) error = NULL;
    assert_true(settings_parse_tuning("reception = 0.25\ndrain_reopen = 90\n", "t.hcl", &t, &error));
    assert_float_equal(t.reception, 0.25, 1e-9);
    assert_float_equal(t.admission, 0.8, 1e-9);
    assert_int_equal(t.drain_reopen.tv_sec, 90);
}

/* Which teams are divided: the first entry that names a team holds for it. */
static void first_entry_that_names_a_team_holds(void **state) {
    (void)state;
    static const struct {
        const char *text;
        int shards[3];     /* red, blue, green */
        const char *wrong; /* what the error must name, NULL: good */
    } rows[] = {
        {"", {1, 1, 1}, NULL},
        {"gather_s = 5\ndivide = ( { team = \"red\", shares = 2 } )\n", {2, 1, 1}, NULL},
        {"divide = ( { team = \"red\", shares = 1 }, { team = \"*\", shares = 2 } )\n", {1, 2, 2}, NULL},
        {"divide = ( { team = \"*\", shares = 2 }, { team = \"red\", shares = 1 } )\n", {2, 2, 2}, NULL},
        {"divide = ( { team = \"red\", shares = 3 } )\n", {0}, "divide.shares"}, /* there are two */
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
        struct settings s;
        g_autoptr(GError) error = NULL;
        assert_true(settings_parse(SITE_JSON, "f.json", &s, &error));
        bool ok = settings_parse_quota(rows[i].text, "quota.hcl", &s, &error);
        if (ok != (rows[i].wrong == NULL)) fail_msg("%s", rows[i].text);
        if (rows[i].wrong) {
            assert_non_null(strstr(error->message, "quota.hcl"));
            assert_non_null(strstr(error->message, rows[i].wrong));
        }
        for (int t = 0; ok && t < 3; t++) assert_int_equal(s.teams[t].shards, rows[i].shards[t]);
        settings_clear(&s);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(settings_are_read_with_their_derived_values),
                                       cmocka_unit_test(wrong_setting_is_named),
                                       cmocka_unit_test(next_limits_are_optional_and_never_above_the_present),
                                       cmocka_unit_test(tuning_file_overrides_defaults_or_is_refused),
                                       cmocka_unit_test(first_entry_that_names_a_team_holds)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
