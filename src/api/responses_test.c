/* What users are told when a request is refused, by its reason. */
#include "api/responses.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../../tests/standin/site.h"
#include "jobs/jobs.h"
#include "store/store.h"

static struct settings cfg;

static void check_text(struct refusal refusal, const char *expected) {
    char text[REFUSAL_TEXT_SIZE];
    refusal_text(&refusal, text, sizeof text);
    assert_string_equal(text, expected);
}

static void refused_prerequisite_is_named(void **state) {
    (void)state;
    static const struct {
        enum prerequisites_result result;
        const char *text;
        bool unavailable;
    } rows[] = {
        {PREREQUISITE_ITSELF, "prereqs: req-10001 names itself", false},
        {PREREQUISITE_SERVICE, "prereqs: req-10001 is a service", false},
        {PREREQUISITE_UNKNOWN, "prereqs: req-10001 was never accepted", false},
        {PREREQUISITE_UNREADABLE, "prereqs: the record of req-10001 can't be read", true},
        {PREREQUISITE_STORE_SILENT, "the state service did not answer", true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct refusal refusal = refusal_of_prerequisites((struct prerequisites_check){rows[i].result, "req-10001"});
        check_text(refusal, rows[i].text);
        assert_int_equal(refusal_is_unavailability(refusal.reason), rows[i].unavailable);
    }
    struct refusal none = refusal_of_prerequisites((struct prerequisites_check){PREREQUISITES_VALID, NULL});
    assert_int_equal(none.reason, REFUSAL_NONE);
}

static void infeasible_job_is_told_why(void **state) {
    (void)state;
    assert_int_equal(refusal_of_feasibility(JOB_FEASIBLE).reason, REFUSAL_NONE);
    check_text(refusal_of_feasibility(JOB_TEAM_UNKNOWN), "owner: unknown team");
    check_text(refusal_of_feasibility(JOB_FITS_NO_MACHINE_TYPE), "a task fits no allowed machine type");
    check_text(refusal_of_feasibility(JOB_ABOVE_TEAM_LIMIT), "needs more than the team's limit");
}

/* The name of a field may be the user's own: only its first 40 bytes are shown. */
static void field_of_too_large_a_record_is_cut(void **state) {
    (void)state;
    char *name = g_strnfill(100, 'n'), *shown = g_strnfill(40, 'n');
    char *expected = g_strdup_printf("%s: too long, a job's record may take %zu bytes", shown, jobs_record_bytes_max());
    check_text(refusal_about(REFUSAL_RECORD_TOO_LARGE, name), expected);
    check_text(refusal_about(REFUSAL_FIELD_INVALID, "uid"), "uid: missing or invalid");
    g_free(expected);
    g_free(shown);
    g_free(name);
}

int main(void) {
    if (!settings_parse(SITE_JSON, "f.json", &cfg, NULL)) return 1;
    store_init(&cfg);
    jobs_init(&cfg);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(refused_prerequisite_is_named),
        cmocka_unit_test(infeasible_job_is_told_why),
        cmocka_unit_test(field_of_too_large_a_record_is_cut),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
