/* Counts and log lines of refused requests. */
#include "api/refusals.h"

#include <glib.h>
#include <string.h>

#include "../../tests/standin/test_settings.h"
#include "jobs/jobs.h"
#include "store/store.h"

static struct settings settings;

static void line_has_reason_sizes_and_limit(void **state) {
    (void)state;
    char line[REFUSAL_LOG_LINE_SIZE];
    struct refusal refusal = refusal_with_subject(REFUSAL_RECORD_TOO_LARGE, "x_text");
    refusal.record_bytes = 18500;
    refusals_describe(&refusal, 18474, line, sizeof line);
    assert_string_equal(line,
                        "request refused: 400 record-too-large, subject \"x_text\", 18474 bytes received, 18500 bytes "
                        "to be stored, limit 4096");
}

/* Guards against log lines that a user has forged. */
static void users_text_is_escaped(void **state) {
    (void)state;
    char line[REFUSAL_LOG_LINE_SIZE];
    struct refusal refusal = refusal_with_subject(REFUSAL_RECORD_TOO_LARGE, "a\ninfo \"forged\"");
    refusals_describe(&refusal, 7, line, sizeof line);
    assert_null(strchr(line, '\n'));
    assert_non_null(strstr(line, "subject \"a\\ninfo \\\"forged\\\"\""));
}

static void longest_subject_fits(void **state) {
    (void)state;
    char line[REFUSAL_LOG_LINE_SIZE], subject[REFUSAL_SUBJECT_SIZE + 1] = "";
    memset(subject, 1, REFUSAL_SUBJECT_SIZE);
    struct refusal refusal = refusal_with_subject(REFUSAL_RECORD_TOO_LARGE, subject);
    refusal.record_bytes = 1;
    refusals_describe(&refusal, 1, line, sizeof line);
    assert_true(g_str_has_suffix(line, "limit 4096"));
}

/* Whether a line is logged depends on the second, so the test refuses more requests than two seconds allow. */
static void lines_are_limited_and_all_are_counted(void **state) {
    (void)state;
    const unsigned n_refused = 10 * REFUSAL_LOG_LINES_PER_S;
    const struct refusal invalid = refusal_with_subject(REFUSAL_FIELD_INVALID, "uid");
    unsigned before = refusals_count(REFUSAL_FIELD_INVALID);
    for (unsigned i = 0; i < n_refused; i++) refusals_record(&invalid, 1);
    assert_int_equal(refusals_count(REFUSAL_FIELD_INVALID) - before, n_refused);
    assert_true(refusals_unlogged() >= n_refused - 2 * REFUSAL_LOG_LINES_PER_S);
    assert_true(refusals_unlogged() <= n_refused - REFUSAL_LOG_LINES_PER_S);
}

static void retried_requests_are_only_counted(void **state) {
    (void)state;
    unsigned unlogged_before = refusals_unlogged(), before = refusals_count(REFUSAL_QUEUE_FULL);
    for (int i = 0; i < 2 * REFUSAL_LOG_LINES_PER_S; i++)
        refusals_record(&(struct refusal){.reason = REFUSAL_QUEUE_FULL}, 1);
    assert_int_equal(refusals_count(REFUSAL_QUEUE_FULL) - before, 2 * REFUSAL_LOG_LINES_PER_S);
    assert_int_equal(refusals_unlogged(), unlogged_before);
}

int main(void) {
    if (!settings_parse(TEST_SETTINGS_JSON, "f.json", &settings, NULL)) return 1;
    store_init(&settings);
    jobs_init(&settings);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(line_has_reason_sizes_and_limit),
        cmocka_unit_test(users_text_is_escaped),
        cmocka_unit_test(longest_subject_fits),
        cmocka_unit_test(lines_are_limited_and_all_are_counted),
        cmocka_unit_test(retried_requests_are_only_counted),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
