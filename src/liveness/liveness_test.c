/* Tests the limits after which a zone is unreachable, a machine has ignored a stop, or the controller is isolated. */
#include "liveness/liveness.h"

#include <glib.h>
#include <stdbool.h>

#include "../../tests/standin/test_settings.h"
#include "liveness/return_checks.h"
#include "liveness/zones.h"

/* The more machines a zone has, the sooner a silence of all its machines makes the zone count as unreachable. */
static void zone_silence_gets_shorter_with_more_machines(void **state) {
    (void)state;
    static const struct {
        int machines;
        double heartbeat_interval_s, min_s, max_s;
    } rows[] = {
        {0, 8, 1e8, 1e10}, {3, 8, 1e8, 1e10}, /* too few to tell an unreachable zone from failed machines */
        {4, 8, 10, 11.5},  {40, 8, 2, 3},     {400, 8, 1.5, 2}, {40, 3, 1.5, 2},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        double silence_s = zones_silence_limit_s(rows[i].machines, rows[i].heartbeat_interval_s);
        if (silence_s < rows[i].min_s || silence_s > rows[i].max_s) fail_msg("row %zu: %.2f", i, silence_s);
    }
}

/* A machine that still lists a cancelled task is returned before the cancellation deadline. */
static void machine_that_ignores_a_stop_is_returned(void **state) {
    (void)state;
    static const struct {
        double cancelled_s, heartbeat_s, lease_s, cancel_s;
        bool expected;
    } rows[] = {
        {1, 1, 26.5, 51.5, false},   {40, 1, 26.5, 51.5, false}, {46, 1, 26.5, 51.5, true},
        {46, 27, 26.5, 51.5, false}, /* the lease has expired, so the worker has ended the task */
        {46, 20, 26.5, 51.5, true},  {57, 1, 34, 64, true},      {50, 1, 34, 64, false},
        {5.5, 0.1, 4, 8, false},     {6.5, 0.1, 4, 8, true}, /* the lead is at most half of the margin */
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
        if (return_checks_stop_overdue(rows[i].cancelled_s, rows[i].heartbeat_s, rows[i].lease_s, rows[i].cancel_s) !=
            rows[i].expected)
            fail_msg("row %zu", i);
}

/* If many machines are all silent for long enough, the controller is isolated. Too few machines or too short a silence
 * prove nothing. */
static void silence_of_all_machines_isolates_the_controller(void **state) {
    (void)state;
    static const struct {
        int up;
        double shortest_silence_s, heartbeat_interval_s;
        bool expected;
    } rows[] = {
        {200, 1, 8, false}, {200, 3, 8, false},   {200, 5, 8, true},  {19, 60, 8, false},
        {20, 4, 8, false},  {20, 7, 8, true},     {4000, 4, 8, true}, {4000, 3, 8, false},
        {300, 4, 4, true},  {300, 2.5, 4, false}, {0, 1e9, 8, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
        if (liveness_controller_isolated(rows[i].up, rows[i].shortest_silence_s, rows[i].heartbeat_interval_s) !=
            rows[i].expected)
            fail_msg("row %zu", i);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(zone_silence_gets_shorter_with_more_machines),
                                       cmocka_unit_test(machine_that_ignores_a_stop_is_returned),
                                       cmocka_unit_test(silence_of_all_machines_isolates_the_controller)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
