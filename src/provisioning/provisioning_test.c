/* Tests the expected startup time of machines and the limit on replacements of overdue machines. */
#include "provisioning/provisioning.h"

#include <glib.h>

#include "../../tests/standin/test_settings.h"

static void learned_startup_time_is_bounded(void **state) {
    (void)state;
    static const struct {
        const char *description;
        double boot_s[12];
        int n;
        double startup_s, min, max;
    } rows[] = {
        {"no boots recorded: promised time with a margin", {0}, 0, 25, 30, 50},
        {"too few boots recorded", {1, 1, 1}, 3, 25, 30, 50},
        {"boots take about the promised time", {20, 22, 24, 25, 26, 28, 30, 32, 33, 35}, 10, 25, 35, 45},
        {"boots take longer than promised", {50, 52, 55, 55, 56, 58, 58, 60, 60, 61}, 10, 25, 61, 75},
        {"very fast boots: half of the promised time", {1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, 10, 25, 12.5, 12.5},
        {"very slow boots: three times the promised time", {400, 400, 400, 400, 400, 400, 400, 400}, 8, 25, 75, 75},
        {"one slow boot in ten is ignored", {20, 20, 21, 22, 23, 24, 24, 25, 25, 300}, 10, 25, 25, 40},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        double expected_s = provisioning_estimate_startup_s(rows[i].boot_s, rows[i].n, rows[i].startup_s);
        if (expected_s < rows[i].min || expected_s > rows[i].max)
            fail_msg("%s: %.1f s", rows[i].description, expected_s);
    }
}

static void replacements_are_limited(void **state) {
    (void)state;
    static const struct { int up, min, max; } rows[] = {{0, 1, 4}, {8, 1, 4}, {400, 20, 60}, {4000, 200, 600}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
        assert_in_range(provisioning_replacements_max(rows[i].up), rows[i].min, rows[i].max);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(learned_startup_time_is_bounded),
                                       cmocka_unit_test(replacements_are_limited)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
