#include "liveness/liveness.h"

#include <glib.h>
#include <stdbool.h>

#include "../../tests/standin/site.h"

/* A zone counts as cut when nothing is heard from any of its machines; the more there are, the sooner that is told. */
static void zone_silence(void **state) {
    (void)state;
    static const struct {
        int machines;
        double report_s, least, most;
    } rows[] = {
        {0, 8, 1e8, 1e10}, {3, 8, 1e8, 1e10}, /* too few to tell a zone from its machines */
        {4, 8, 10, 11.5},  {40, 8, 2, 3},     {400, 8, 1.5, 2}, {40, 3, 1.5, 2},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        double s = liveness_zone_silence_s(rows[i].machines, rows[i].report_s);
        if (s < rows[i].least || s > rows[i].most) fail_msg("row %zu: %.2f", i, s);
    }
}

/* When a machine that still shows a cancelled task has to go. */
static void end_overdue(void **state) {
    (void)state;
    static const struct {
        double ended_s, reported_s, lease_s, cancel_s;
        bool want;
    } rows[] = {
        {1, 1, 26.5, 51.5, false},   {40, 1, 26.5, 51.5, false}, {46, 1, 26.5, 51.5, true},
        {46, 27, 26.5, 51.5, false}, /* its lease has ended it */
        {46, 20, 26.5, 51.5, true},  {57, 1, 34, 64, true},      {50, 1, 34, 64, false},
        {5.5, 0.1, 4, 8, false},     {6.5, 0.1, 4, 8, true}, /* short times leave half of the room at most */
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
        if (liveness_stop_overdue(rows[i].ended_s, rows[i].reported_s, rows[i].lease_s, rows[i].cancel_s) !=
            rows[i].want)
            fail_msg("row %zu", i);
}

/* All of many machines silent at once: the controller is cut from its workers. Few, or not for long enough: not yet. */
static void deaf(void **state) {
    (void)state;
    static const struct {
        int up;
        double newest_s, report_s;
        bool want;
    } rows[] = {
        {200, 1, 8, false}, {200, 3, 8, false},   {200, 5, 8, true},  {19, 60, 8, false},
        {20, 4, 8, false},  {20, 7, 8, true},     {4000, 4, 8, true}, {4000, 3, 8, false},
        {300, 4, 4, true},  {300, 2.5, 4, false}, {0, 1e9, 8, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
        if (liveness_controller_isolated(rows[i].up, rows[i].newest_s, rows[i].report_s) != rows[i].want)
            fail_msg("row %zu", i);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(zone_silence), cmocka_unit_test(end_overdue),
                                       cmocka_unit_test(deaf)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
