/* After how long a machine that boots is overdue, and how many of these are replaced. */
#include "provisioning/provisioning.h"

#include <glib.h>

#include "../../tests/standin/site.h"

static void expected_time_is_learned_within_bounds(void **state) {
    (void)state;
    static const struct {
        const char *what;
        double boot_s[12];
        int n;
        double startup_s, least, most;
    } rows[] = {
        {"nothing seen: the promise, with a margin", {0}, 0, 25, 30, 50},
        {"too few seen", {1, 1, 1}, 3, 25, 30, 50},
        {"all as promised", {20, 22, 24, 25, 26, 28, 30, 32, 33, 35}, 10, 25, 35, 45},
        {"slower than promised", {50, 52, 55, 55, 56, 58, 58, 60, 60, 61}, 10, 25, 61, 75},
        {"up at once: not below half of the promise", {1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, 10, 25, 12.5, 12.5},
        {"for ever: not above three times the promise", {400, 400, 400, 400, 400, 400, 400, 400}, 8, 25, 75, 75},
        {"one straggler in ten is no rule", {20, 20, 21, 22, 23, 24, 24, 25, 25, 300}, 10, 25, 25, 40},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        double expected_s = provisioning_expected_of(rows[i].boot_s, rows[i].n, rows[i].startup_s);
        if (expected_s < rows[i].least || expected_s > rows[i].most) fail_msg("%s: %.1f s", rows[i].what, expected_s);
    }
}

static void replacements_are_bounded(void **state) {
    (void)state;
    static const struct { int up, least, most; } rows[] = {{0, 1, 4}, {8, 1, 4}, {400, 20, 60}, {4000, 200, 600}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
        assert_in_range(provisioning_replacements_max(rows[i].up), rows[i].least, rows[i].most);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(expected_time_is_learned_within_bounds),
                                       cmocka_unit_test(replacements_are_bounded)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
