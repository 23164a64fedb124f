/* Tests which delays of a tick count as a pause of the process. */
#include "liveness/process_pause.h"

#include <glib.h>

#include "../../tests/standin/test_settings.h"

static void only_a_long_wait_is_a_pause(void **state) {
    (void)state;
    static const struct {
        const char *description;
        double waited_s, tick_s, min_s, max_s;
    } rows[] = {
        {"on time", 0.25, 0.25, 0, 0},
        {"delayed by less than a second on a busy machine", 0.9, 0.25, 0, 0},
        {"a few seconds", 6, 0.25, 5.5, 6},
        {"more than a minute", 80, 0.25, 79, 80},
        {"the clock went backwards", -3, 0.25, 0, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        double paused_s = process_pause_length(rows[i].waited_s, rows[i].tick_s);
        if (paused_s < rows[i].min_s || paused_s > rows[i].max_s) fail_msg("%s: %.2f s", rows[i].description, paused_s);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(only_a_long_wait_is_a_pause)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
