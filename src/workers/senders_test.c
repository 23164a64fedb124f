/* Tests which commands are still sent after a delay. */
#include "workers/senders.h"

#include <glib.h>
#include <stdbool.h>

#include "../../tests/standin/test_settings.h"

/* A start is sent only soon after it was decided, by the owner, and while starts are allowed. After a pause, a
 * controller must not send the starts that it decided before. */
static void old_start_is_not_sent(void **state) {
    (void)state;
    static const struct {
        bool has_start;
        double age_s;
        bool owned, may_start, valid;
    } rows[] = {
        {true, 0.1, true, true, true},   {true, 40, true, true, false},   {true, 0.1, false, true, false},
        {true, 0.1, true, false, false}, {false, 40, false, false, true}, /* late stops and probes are harmless */
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
        assert_int_equal(
            senders_command_still_valid(rows[i].has_start, rows[i].age_s, rows[i].owned, rows[i].may_start),
            rows[i].valid);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(old_start_is_not_sent)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
