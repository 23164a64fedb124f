/* HTTP statuses and texts of refusals. */
#include "api/responses.h"

#include <glib.h>
#include <string.h>

#include "../../tests/standin/test_settings.h"
#include "jobs/jobs.h"
#include "store/store.h"

static struct settings settings;

static void assert_refusal(struct refusal refusal, enum http_status status, const char *expected) {
    char text[REFUSAL_TEXT_SIZE];
    refusal_text(&refusal, text, sizeof text);
    assert_string_equal(text, expected);
    assert_int_equal(refusal_status(refusal.reason), status);
}

/* The status is 422 if a prerequisite is invalid, and 503 if it cannot be read at the moment. */
static void refused_prerequisite_is_named(void **state) {
    (void)state;
    static const struct {
        enum prerequisites_result result;
        enum http_status status;
        const char *text;
    } rows[] = {
        {PREREQUISITE_ITSELF, HTTP_UNPROCESSABLE, "prereqs: req-10001 names itself"},
        {PREREQUISITE_SERVICE, HTTP_UNPROCESSABLE, "prereqs: req-10001 is a service"},
        {PREREQUISITE_UNKNOWN, HTTP_UNPROCESSABLE, "prereqs: req-10001 was never accepted"},
        {PREREQUISITE_UNREADABLE, HTTP_SERVICE_UNAVAILABLE, "prereqs: the record of req-10001 can't be read"},
        {PREREQUISITE_STORE_UNAVAILABLE, HTTP_SERVICE_UNAVAILABLE, "the state service did not answer"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
        assert_refusal(refusal_from_prerequisites((struct prerequisites_check){rows[i].result, "req-10001"}),
                       rows[i].status, rows[i].text);
    struct refusal no_refusal = refusal_from_prerequisites((struct prerequisites_check){PREREQUISITES_VALID, NULL});
    assert_int_equal(no_refusal.reason, REFUSAL_NONE);
}

static void infeasible_job_is_unprocessable(void **state) {
    (void)state;
    assert_int_equal(refusal_from_feasibility(JOB_FEASIBLE).reason, REFUSAL_NONE);
    assert_refusal(refusal_from_feasibility(JOB_TEAM_UNKNOWN), HTTP_UNPROCESSABLE, "owner: unknown team");
    assert_refusal(refusal_from_feasibility(JOB_FITS_NO_MACHINE_TYPE), HTTP_UNPROCESSABLE,
                   "a task fits no allowed machine type");
    assert_refusal(refusal_from_feasibility(JOB_ABOVE_TEAM_LIMIT), HTTP_UNPROCESSABLE,
                   "needs more than the team's limit");
}

static void invalid_field_is_a_bad_request(void **state) {
    (void)state;
    assert_refusal(refusal_with_subject(REFUSAL_FIELD_INVALID, "uid"), HTTP_BAD_REQUEST, "uid: missing or invalid");
}

/* The text has only the first 40 bytes of a name, so that it fits its buffer whatever the name. */
static void long_field_name_is_truncated(void **state) {
    (void)state;
    char *name = g_strnfill(100, 'n'), *shown_name = g_strnfill(40, 'n');
    char *expected =
        g_strdup_printf("%s: too long, a job's record may take %zu bytes", shown_name, jobs_record_bytes_max());
    assert_refusal(refusal_with_subject(REFUSAL_RECORD_TOO_LARGE, name), HTTP_BAD_REQUEST, expected);
    g_free(expected);
    g_free(shown_name);
    g_free(name);
}

int main(void) {
    if (!settings_parse(TEST_SETTINGS_JSON, "f.json", &settings, NULL)) return 1;
    store_init(&settings);
    jobs_init(&settings);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(refused_prerequisite_is_named),
        cmocka_unit_test(infeasible_job_is_unprocessable),
        cmocka_unit_test(invalid_field_is_a_bad_request),
        cmocka_unit_test(long_field_name_is_truncated),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
