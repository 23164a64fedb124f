/* Tests of how many machines drain at a time. */
#include "autoscaler/scale_in.h"

#include <glib.h>

#include "../../tests/standin/test_settings.h"

/* Each drain reduces the headroom by 0.8 and starts only while the headroom is above the margin of 1.5 * 0.8. */
static void drains_start_only_above_the_margin(void **state) {
    (void)state;
    static const struct {
        int n_machines;
        double headroom;
        int n_draining, expected;
    } rows[] = {
        {4, 1.2, 0, 0},    {4, 1.21, 0, 1}, {4, 3, 0, 1},     {4, 3, 1, 0},      {15, 9, 0, 1},
        {32, 9, 0, 2},     {32, 1.3, 0, 1}, {32, 9, 1, 1},    {320, 150, 0, 20}, {320, 150, 20, 0},
        {320, 150, 25, 0}, {320, 4, 0, 4},  {320, -30, 0, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        int n_drains = scale_in_drains_to_start(rows[i].n_machines, rows[i].headroom, 1.5, 0.8, rows[i].n_draining);
        if (n_drains != rows[i].expected) fail_msg("row %zu: %d", i, n_drains);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(drains_start_only_above_the_margin)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
