/* Tests how submissions are checked, and how records of jobs are written and read. */
#include "jobs/jobs.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "../../tests/standin/test_settings.h"
#include "allocations/allocations.h"
#include "dependencies/dependencies.h"
#include "jobs/feasibility.h"
#include "json/json.h"
#include "membership/membership.h"
#include "placement/placement.h"
#include "priority/priority.h"
#include "scheduler/scheduler.h"
#include "schema_version/schema_version.h"
#include "workers/workers.h"

static struct settings settings;
static const char valid_submission[] =
    "{\"uid\":\"req-000412\",\"jobclass\":\"train\",\"owner\":\"red\",\"shape\":\"group\",\"rank\":\"high\","
    "\"tasks\":2,\"vcpus\":8.0,\"gpus\":1.0,\"memory_gb\":64.0,\"image\":\"img-07\",\"pull_gb\":6.2,"
    "\"flavours\":[\"g8\"],\"site\":null,\"together\":true,\"spread\":false,\"reclaimable\":true,"
    "\"runtime_s\":240.0,\"checkpoint_s\":30.0,\"flush_s\":4.0,\"due_s\":900.0,\"extra\":1}";

/* Each case changes one field of a valid submission, and expects the name of the invalid field (NULL: all are valid)
 * and whether the job could run. */
static void submissions_are_validated(void **state) {
    (void)state;
    static const struct {
        const char *old_text, *new_text, *invalid_field;
        enum job_feasibility feasibility;
    } rows[] = {
        {"\"extra\":1", "\"extra\":2", NULL, JOB_FEASIBLE},
        {"req-000412", "job-000412", "uid", JOB_FEASIBLE},
        {"req-000412", "req-00x412", "uid", JOB_FEASIBLE},
        {"\"tasks\":2", "\"tasks\":0", "tasks", JOB_FEASIBLE},
        {"\"tasks\":2", "\"tasks\":2.5", "tasks", JOB_FEASIBLE},
        {"\"tasks\":2", "\"tasks\":100001", "tasks", JOB_FEASIBLE},
        {"\"vcpus\":8.0", "\"vcpus\":-1", "vcpus", JOB_FEASIBLE},
        {"\"vcpus\":8.0", "\"vcpus\":1e999", "vcpus", JOB_FEASIBLE},
        {"\"gpus\":1.0", "\"gpus\":\"1\"", "gpus", JOB_FEASIBLE},
        {"\"rank\":\"high\"", "\"rank\":\"urgent\"", "rank", JOB_FEASIBLE},
        {"\"shape\":\"group\",", "", "shape", JOB_FEASIBLE},
        {"\"together\":true", "\"together\":1", "together", JOB_FEASIBLE},
        {"[\"g8\"]", "\"g8\"", "flavours", JOB_FEASIBLE},
        {"[\"g8\"]", "null", NULL, JOB_FEASIBLE},
        {"\"due_s\":900.0", "\"due_s\":null", NULL, JOB_FEASIBLE},
        {"\"extra\":1", "\"prereqs\":null", NULL, JOB_FEASIBLE},
        {"\"extra\":1", "\"prereqs\":[]", NULL, JOB_FEASIBLE},
        {"\"extra\":1", "\"prereqs\":[\"req-000398\",\"req-000398\"]", NULL, JOB_FEASIBLE},
        {"\"extra\":1", "\"prereqs\":\"req-000398\"", "prereqs", JOB_FEASIBLE},
        {"\"extra\":1", "\"prereqs\":{}", "prereqs", JOB_FEASIBLE},
        {"\"extra\":1", "\"prereqs\":[7]", "prereqs", JOB_FEASIBLE},
        {"\"extra\":1", "\"prereqs\":[\"req-000398\",\"job-1\"]", "prereqs", JOB_FEASIBLE},
        {"\"owner\":\"red\"", "\"owner\":\"nobody\"", NULL, JOB_TEAM_UNKNOWN},
        {"[\"g8\"]", "[\"g9\"]", NULL, JOB_FITS_NO_MACHINE_TYPE},
        {"\"site\":null", "\"site\":\"zz\"", NULL, JOB_FITS_NO_MACHINE_TYPE},
        {"\"site\":null", "\"site\":\"za\"", NULL, JOB_FEASIBLE},
        {"\"gpus\":1.0", "\"gpus\":4.5", NULL, JOB_ABOVE_TEAM_LIMIT}, /* 2 tasks x 4.5 GPUs, team limit 8 */
        {"\"memory_gb\":64.0", "\"memory_gb\":4000", NULL, JOB_FITS_NO_MACHINE_TYPE},
    };
    const struct machine_type type = {
        .type_name = "g8", .vcpus = 96, .gpus = 8, .memory_gb = 768, .zones = {(char *)"za"}, .n_zones = 1};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char *text = test_replace_first(valid_submission, rows[i].old_text, rows[i].new_text);
        cJSON *submission = cJSON_Parse(text);
        assert_non_null(submission);
        struct job_spec spec;
        const char *invalid_field = job_spec_read(submission, &settings, &spec);
        if (g_strcmp0(invalid_field, rows[i].invalid_field) != 0)
            fail_msg("%s: invalid field %s", rows[i].new_text, invalid_field);
        if (invalid_field) {
            assert_null(spec.job_class); /* the contents were freed */
        } else {
            assert_int_equal(job_check_feasible(&spec, &settings, &type, 1), rows[i].feasibility);
            job_spec_clear(&spec);
        }
        cJSON_Delete(submission);
        g_free(text);
    }
}

/* A submission that isn't a JSON object is reported as an invalid body. */
static void non_object_submission_is_invalid(void **state) {
    (void)state;
    static const char *const texts[] = {"[]", "{", "", "7", "null"};
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        struct job_spec spec;
        cJSON *submission = cJSON_Parse(texts[i]);
        assert_string_equal(job_spec_read(submission, &settings, &spec), "body");
        assert_null(job_spec_read_id(submission));
        cJSON_Delete(submission);
    }
}

/* The bits are written to text and read back, one chunk at a time. */
static void done_bits_round_trip(void **state) {
    (void)state;
    enum { CHUNK_TASKS = 4096, REMAINING_TASKS = 704, TOTAL_BYTES = 600 };
    uint8_t bits[TOTAL_BYTES] = {0}, bits_read[TOTAL_BYTES] = {0};
    static const int done_tasks[] = {0, 7, 8, 4095, 4096, 4700};
    for (size_t i = 0; i < G_N_ELEMENTS(done_tasks); i++)
        bits[done_tasks[i] / 8] |= (uint8_t)(1 << (done_tasks[i] % 8));
    char *first = task_bits_text(bits, 0, CHUNK_TASKS), *second = task_bits_text(bits, CHUNK_TASKS, REMAINING_TASKS);
    assert_int_equal(strlen(first), CHUNK_TASKS / 4);
    task_bits_read(first, bits_read, 0, CHUNK_TASKS);
    task_bits_read(second, bits_read, CHUNK_TASKS, REMAINING_TASKS);
    assert_memory_equal(bits, bits_read, sizeof bits);
    g_free(first);
    g_free(second);
}

static void duplicate_prerequisites_are_dropped(void **state) {
    (void)state;
    char *text = test_replace_first(valid_submission, "\"extra\":1",
                                    "\"prereqs\":[\"req-000398\",\"req-000405\",\"req-000398\"]");
    struct job_spec spec;
    cJSON *submission = cJSON_Parse(text);
    assert_null(job_spec_read(submission, &settings, &spec));
    assert_int_equal(g_strv_length(spec.prerequisites), 2);
    assert_string_equal(spec.prerequisites[1], "req-000405");
    job_spec_clear(&spec);
    cJSON_Delete(submission);
    g_free(text);
}

/* The first version of the program, which would start a job with prerequisites too early, ignores a record without the
 * field "spec". */
static void submission_with_prerequisites_has_its_own_field(void **state) {
    (void)state;
    char *text = test_replace_first(valid_submission, "\"extra\":1",
                                    "\"prereqs\":[\"req-000398\",\"req-000405\",\"req-000398\"]");
    cJSON *value = jobs_accepted_value(text, JOB_QUEUED, 5, -1);
    assert_null(cJSON_GetObjectItem(value, "spec"));
    assert_non_null(cJSON_GetObjectItem(value, "chained_spec"));
    cJSON_Delete(value);
    value = jobs_accepted_value(valid_submission, JOB_QUEUED, 5, -1);
    assert_non_null(cJSON_GetObjectItem(value, "spec"));
    cJSON_Delete(value);
    g_free(text);
}

/* A record may have been accepted that exceeds the store's next value limit. The job's final record does not. */
static void job_with_an_oversized_record_can_be_ended(void **state) {
    (void)state;
    char *filler = g_strnfill((gsize)(settings.value_max_kb * 1024), 'x'),
         *extra = g_strdup_printf("\"extra\":\"%s\"", filler);
    char *text = test_replace_first(valid_submission, "\"extra\":1", extra);
    assert_true(jobs_record_bytes(text) > jobs_record_bytes_max());
    struct job job = {.spec_text = text, .submitted_at = 5};
    cJSON *value = jobs_final_value(&job, JOB_DONE);
    char *written = cJSON_PrintUnformatted(value);
    assert_true(strlen(written) <= settings.next_value_max_kb * 1024);
    struct job_spec spec;
    assert_null(job_spec_read(cJSON_GetObjectItem(value, "spec"), &settings, &spec));
    job_spec_clear(&spec);
    free(written);
    cJSON_Delete(value);
    g_free(text);
    g_free(extra);
    g_free(filler);
}

/* Returns the size of the record of a job whose names are as long as they may be, of this character; extra: further
 * members, with a comma before each. */
static size_t largest_record_bytes(const char *character, const char *extra) {
    char *separators = g_strnfill(199, '@'), *zone = g_strnfill(99, 'z');
    char **parts = g_strsplit(separators, "@", -1);
    char *name = g_strjoinv(character, parts), *job_id = g_strnfill(36, '9');
    char *text = g_strdup_printf(
        "{\"x\":\"unknown\",\"uid\":\"req-%s\",\"jobclass\":\"%s\",\"owner\":\"red\",\"shape\":\"standing\",\"rank\":"
        "\"production\",\"tasks\":100000,\"vcpus\":123456789.12345679,\"gpus\":123456789.12345679,\"memory_gb\":"
        "123456789.12345679,\"image\":\"%s\",\"pull_gb\":1.2345678901234567e-300,\"site\":\"%s\",\"together\":false,"
        "\"spread\":false,\"reclaimable\":false,\"runtime_s\":1.2345678901234567e-300,\"checkpoint_s\":"
        "1.2345678901234567e-300,\"flush_s\":1.2345678901234567e-300,\"due_s\":1.2345678901234567e-300%s}",
        job_id, name, name, zone, extra);
    struct job_spec spec;
    cJSON *submission = cJSON_Parse(text);
    assert_null(job_spec_read(submission, &settings, &spec));
    char *canonical = job_spec_canonical_text(submission);
    size_t bytes = jobs_record_bytes(canonical);
    cJSON_Delete(submission);
    job_spec_clear(&spec);
    free(canonical);
    g_free(text);
    g_free(job_id);
    g_free(name);
    g_strfreev(parts);
    g_free(zone);
    g_free(separators);
    return bytes;
}

/* Guards against a sound job that is refused for its size, as far as docs/submissions.md says that it fits. */
static void largest_records_fit(void **state) {
    (void)state;
    GString *types = g_string_new(",\"flavours\":[\"t\"");
    for (int i = 10; i < 74; i++)
        g_string_append_printf(types, ",\"type-of-20-chars--%d\",\"type-of-20-chars--%d\"", i, i);
    g_string_append(types, "]");
    assert_true(largest_record_bytes("n", "") <= 1100);
    assert_true(largest_record_bytes("\\\"", "") <= 1500);
    assert_true(largest_record_bytes("\\u0001", "") <= 3100);
    assert_true(largest_record_bytes("n", types->str) <= 2600);
    g_string_free(types, TRUE);
}

static void apply_record(const char *state, const char *done, int64_t mod_revision) {
    char *text =
        g_strdup_printf("{\"spec\":%s,\"state\":\"%s\",\"done\":\"%s\",\"at\":5}", valid_submission, state, done);
    cJSON *data = cJSON_Parse(text);
    store_lock();
    store_apply("job/req-000412", data, mod_revision);
    store_unlock();
    cJSON_Delete(data);
    g_free(text);
}

static void job_is_active_until_its_record_says_done(void **state) {
    (void)state;
    apply_record("queued", "00", 3);
    struct job *job = jobs_find("req-000412");
    assert_non_null(job);
    assert_true(job->recorded);
    assert_int_equal(jobs_active()->len, 1);
    assert_false(jobs_complete(job));
    /* If one task of a gang is done, all are. */
    jobs_mark_done(job, 0);
    assert_int_equal(job->n_reported_done, 2);
    assert_true(jobs_complete(job));
    assert_int_equal(job->n_dirty_chunks, 1);
    cJSON *value = jobs_final_value(job, JOB_DONE);
    assert_string_equal(json_get_string(value, "state"), "done");
    /* The controller also applies the value to its mirror, so the submission must be a JSON object. */
    assert_true(cJSON_IsObject(cJSON_GetObjectItem(value, "spec")));
    cJSON_Delete(value);
    apply_record("done", "03", 4);
    assert_int_equal(job->state, JOB_DONE);
    assert_int_equal(jobs_active()->len, 0);
    /* Later records do not change a final state. */
    apply_record("queued", "00", 5);
    assert_int_equal(job->state, JOB_DONE);
}

/* A record names the shard only if the job is outside its team's home shard. A record with another shard moves the job.
 */
static void record_has_shard_only_outside_home_shard(void **state) {
    (void)state;
    static const struct {
        const char *shard_field;
        int expected_shard;
        bool outside_home;
    } rows[] = {{"", 0, false},
                {",\"share\":1", 1, true},
                {",\"share\":2", 0, false}, /* there are only two shards */
                {",\"share\":-1", 0, false},
                {",\"share\":\"1\"", 0, false},
                {",\"share\":1", 1, true},
                {"", 0, false}};
    char *spec = test_replace_first(valid_submission, "req-000412", "req-000777");
    store_lock();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char *text = g_strdup_printf("{\"spec\":%s,\"state\":\"queued\",\"at\":5%s}", spec, rows[i].shard_field);
        cJSON *data = cJSON_Parse(text);
        store_apply("job/req-000777", data, 100 + (int64_t)i);
        struct job *job = jobs_find("req-000777");
        if (jobs_shard(job) != rows[i].expected_shard || jobs_any_outside_home_shard() != rows[i].outside_home)
            fail_msg("%s", text);
        assert_int_equal(jobs_active_in_shard(rows[i].expected_shard)->len, 1);
        assert_int_equal(jobs_active_in_shard(1 - rows[i].expected_shard)->len, 0);
        cJSON *value = jobs_final_value(job, JOB_CANCELLED);
        assert_int_equal(cJSON_GetObjectItem(value, "share") != NULL, rows[i].outside_home);
        cJSON_Delete(value);
        value = jobs_moved_value(job, 0);
        assert_null(cJSON_GetObjectItem(value, "share")); /* jobs in the home shard have no shard field */
        cJSON_Delete(value);
        cJSON_Delete(data);
        g_free(text);
    }
    store_unlock();
    g_free(spec);
}

int main(void) {
    if (!settings_parse(TEST_SETTINGS_JSON, "f.json", &settings, NULL)) return 1;
    store_init(&settings);
    membership_init(&settings);
    jobs_init(&settings);
    dependencies_init(&settings);
    schema_version_init(&settings);
    allocations_init(&settings);
    machines_init(&settings);
    priority_init(&settings);
    placement_init(&settings);
    scheduler_init(&settings);
    workers_init(&settings);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(submissions_are_validated),
        cmocka_unit_test(non_object_submission_is_invalid),
        cmocka_unit_test(done_bits_round_trip),
        cmocka_unit_test(duplicate_prerequisites_are_dropped),
        cmocka_unit_test(submission_with_prerequisites_has_its_own_field),
        cmocka_unit_test(job_with_an_oversized_record_can_be_ended),
        cmocka_unit_test(largest_records_fit),
        cmocka_unit_test(job_is_active_until_its_record_says_done),
        cmocka_unit_test(record_has_shard_only_outside_home_shard),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
