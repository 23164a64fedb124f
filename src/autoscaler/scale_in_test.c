/* How many machines drain at once. */
#include "autoscaler/scale_in.h"

#include <glib.h>

#include "../../tests/standin/site.h"

/* Each drain takes 0.8 out of the headroom, and none starts that would leave it under the margin before it. */
static void drains_keep_the_margin(void **state) {
    (void)state;
    static const struct {
        int n;
        double headroom;
        int draining, expected;
    } rows[] = {
        {4, 1.2, 0, 0},    {4, 1.21, 0, 1}, {4, 3, 0, 1},     {4, 3, 1, 0},      {15, 9, 0, 1},
        {32, 9, 0, 2},     {32, 1.3, 0, 1}, {32, 9, 1, 1},    {320, 150, 0, 20}, {320, 150, 20, 0},
        {320, 150, 25, 0}, {320, 4, 0, 4},  {320, -30, 0, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        int n_drains = scale_in_drains(rows[i].n, rows[i].headroom, 1.5, 0.8, rows[i].draining);
        if (n_drains != rows[i].expected) fail_msg("row %zu: %d", i, n_drains);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(drains_keep_the_margin)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
