/* Submissions and records of jobs, by tables of cases. */
#include "jobs/jobs.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "../../tests/standin/site.h"
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

static struct settings cfg;
static const char good[] =
    "{\"uid\":\"req-000412\",\"jobclass\":\"train\",\"owner\":\"red\",\"shape\":\"group\",\"rank\":\"high\",\"tasks\":"
    "2,"
    "\"vcpus\":8.0,\"gpus\":1.0,\"memory_gb\":64.0,\"image\":\"img-07\",\"pull_gb\":6.2,\"flavours\":[\"g8\"],\"site\":"
    "null,"
    "\"together\":true,\"spread\":false,\"reclaimable\":true,\"runtime_s\":240.0,\"checkpoint_s\":30.0,\"flush_s\":4.0,"
    "\"due_s\":900.0,\"extra\":1}";

/* A submission with one thing changed: the field that is found invalid, or whether the job could run. */
static void invalid_field_or_infeasible_job_is_named(void **state) {
    (void)state;
    static const struct {
        const char *from, *to, *invalid_field;
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
        {"\"gpus\":1.0", "\"gpus\":4.5", NULL, JOB_ABOVE_TEAM_LIMIT}, /* 2 x 4.5 over the team's 8 */
        {"\"memory_gb\":64.0", "\"memory_gb\":4000", NULL, JOB_FITS_NO_MACHINE_TYPE},
    };
    const struct machine_type type = {
        .type_name = "g8", .vcpus = 96, .gpus = 8, .memory_gb = 768, .zones = {(char *)"za"}, .n_zones = 1};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char *text = site_with(good, rows[i].from, rows[i].to);
        cJSON *submission = cJSON_Parse(text);
        assert_non_null(submission);
        struct job_spec spec;
        const char *invalid_field = job_spec_read(submission, &cfg, &spec);
        if (g_strcmp0(invalid_field, rows[i].invalid_field) != 0) fail_msg("%s: %s", rows[i].to, invalid_field);
        if (invalid_field) {
            assert_null(spec.job_class); /* nothing is left to be freed */
        } else {
            assert_int_equal(job_check_feasible(&spec, &cfg, &type, 1), rows[i].feasibility);
            job_spec_clear(&spec);
        }
        cJSON_Delete(submission);
        g_free(text);
    }
}

/* What is no JSON object is invalid as a whole. */
static void submission_without_object_is_invalid(void **state) {
    (void)state;
    static const char *const texts[] = {"[]", "{", "", "7", "null"};
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        struct job_spec spec;
        cJSON *submission = cJSON_Parse(texts[i]);
        assert_string_equal(job_spec_read(submission, &cfg, &spec), "body");
        assert_null(job_spec_read_id(submission));
        cJSON_Delete(submission);
    }
}

/* Chunks of bits are written as text and read again, a chunk at a time. */
static void done_bits_are_read_as_they_were_written(void **state) {
    (void)state;
    enum { CHUNK = 4096, REST = 704, BYTES = 600 };
    uint8_t bits[BYTES] = {0}, read[BYTES] = {0};
    static const int done[] = {0, 7, 8, 4095, 4096, 4700};
    for (size_t i = 0; i < G_N_ELEMENTS(done); i++) bits[done[i] / 8] |= (uint8_t)(1 << (done[i] % 8));
    char *first = task_bits_text(bits, 0, CHUNK), *second = task_bits_text(bits, CHUNK, REST);
    assert_int_equal(strlen(first), CHUNK / 4);
    task_bits_read(first, read, 0, CHUNK);
    task_bits_read(second, read, CHUNK, REST);
    assert_memory_equal(bits, read, sizeof bits);
    g_free(first);
    g_free(second);
}

static void each_prerequisite_counts_once(void **state) {
    (void)state;
    char *text = site_with(good, "\"extra\":1", "\"prereqs\":[\"req-000398\",\"req-000405\",\"req-000398\"]");
    struct job_spec spec;
    cJSON *submission = cJSON_Parse(text);
    assert_null(job_spec_read(submission, &cfg, &spec));
    assert_int_equal(g_strv_length(spec.prerequisites), 2);
    assert_string_equal(spec.prerequisites[1], "req-000405");
    job_spec_clear(&spec);
    cJSON_Delete(submission);
    g_free(text);
}

/* The first version finds no submission in the record of a job with prerequisites, and leaves it alone. */
static void record_with_prerequisites_is_none_for_the_first_version(void **state) {
    (void)state;
    char *text = site_with(good, "\"extra\":1", "\"prereqs\":[\"req-000398\",\"req-000405\",\"req-000398\"]");
    cJSON *value = jobs_accepted_value(text, JOB_QUEUED, 5, -1);
    assert_null(cJSON_GetObjectItem(value, "spec"));
    assert_non_null(cJSON_GetObjectItem(value, "chained_spec"));
    cJSON_Delete(value);
    value = jobs_accepted_value(good, JOB_QUEUED, 5, -1);
    assert_non_null(cJSON_GetObjectItem(value, "spec"));
    cJSON_Delete(value);
    g_free(text);
}

/* A job that was accepted under the store's present limit can be ended under the next. */
static void job_with_an_oversized_record_can_be_ended(void **state) {
    (void)state;
    char *filler = g_strnfill((gsize)(cfg.value_kb * 1024), 'x'), *extra = g_strdup_printf("\"extra\":\"%s\"", filler);
    char *text = site_with(good, "\"extra\":1", extra);
    assert_true(jobs_record_bytes(text) > jobs_record_bytes_max());
    struct job job = {.spec_text = text, .submitted = 5};
    cJSON *value = jobs_final_value(&job, JOB_DONE);
    char *written = cJSON_PrintUnformatted(value);
    assert_true(strlen(written) <= cfg.next_value_kb * 1024);
    struct job_spec spec;
    assert_null(job_spec_read(cJSON_GetObjectItem(value, "spec"), &cfg, &spec));
    job_spec_clear(&spec);
    free(written);
    cJSON_Delete(value);
    g_free(text);
    g_free(extra);
    g_free(filler);
}

static void apply_record(const char *state, const char *done, int64_t mod_revision) {
    char *text = g_strdup_printf("{\"spec\":%s,\"state\":\"%s\",\"done\":\"%s\",\"at\":5}", good, state, done);
    cJSON *data = cJSON_Parse(text);
    store_lock();
    store_apply("job/req-000412", data, mod_revision);
    store_unlock();
    cJSON_Delete(data);
    g_free(text);
}

/* A record that was written here is applied by the same path: its submission must be an object by then. */
static void job_is_active_until_its_record_says_done(void **state) {
    (void)state;
    apply_record("queued", "00", 3);
    struct job *job = jobs_find("req-000412");
    assert_non_null(job);
    assert_true(job->known);
    assert_int_equal(jobs_active()->len, 1);
    assert_false(jobs_complete(job));
    /* One task of a gang done: all are. */
    jobs_mark_done(job, 0);
    assert_int_equal(job->n_reported_done, 2);
    assert_true(jobs_complete(job));
    assert_int_equal(job->n_dirty_chunks, 1);
    cJSON *value = jobs_final_value(job, JOB_DONE);
    assert_string_equal(json_get_string(value, "state"), "done");
    assert_true(cJSON_IsObject(cJSON_GetObjectItem(value, "spec")));
    cJSON_Delete(value);
    apply_record("done", "03", 4);
    assert_int_equal(job->state, JOB_DONE);
    assert_int_equal(jobs_active()->len, 0);
    /* A final state never goes back, not even for a record that says so. */
    apply_record("queued", "00", 5);
    assert_int_equal(job->state, JOB_DONE);
}

/* Only a job in another shard than its team's home names it; a record that names another moves it. */
static void record_names_the_shard_of_a_job_outside_its_home(void **state) {
    (void)state;
    static const struct {
        const char *field; /* of the record */
        int shard;
        bool foreign;
    } rows[] = {{"", 0, false},
                {",\"share\":1", 1, true},
                {",\"share\":2", 0, false}, /* there are two */
                {",\"share\":-1", 0, false},
                {",\"share\":\"1\"", 0, false},
                {",\"share\":1", 1, true},
                {"", 0, false}};
    char *spec = site_with(good, "req-000412", "req-000777");
    store_lock();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char *text = g_strdup_printf("{\"spec\":%s,\"state\":\"queued\",\"at\":5%s}", spec, rows[i].field);
        cJSON *data = cJSON_Parse(text);
        store_apply("job/req-000777", data, 100 + (int64_t)i);
        struct job *job = jobs_find("req-000777");
        if (jobs_shard(job) != rows[i].shard || jobs_any_foreign() != rows[i].foreign) fail_msg("%s", text);
        assert_int_equal(jobs_active_of(rows[i].shard)->len, 1);
        assert_int_equal(jobs_active_of(1 - rows[i].shard)->len, 0);
        cJSON *value = jobs_final_value(job, JOB_CANCELLED);
        assert_int_equal(cJSON_GetObjectItem(value, "share") != NULL, rows[i].foreign);
        cJSON_Delete(value);
        value = jobs_moved_value(job, 0);
        assert_null(cJSON_GetObjectItem(value, "share")); /* at home, as all versions write it */
        cJSON_Delete(value);
        cJSON_Delete(data);
        g_free(text);
    }
    store_unlock();
    g_free(spec);
}

int main(void) {
    if (!settings_parse(SITE_JSON, "f.json", &cfg, NULL)) return 1;
    store_init(&cfg);
    membership_init(&cfg);
    jobs_init(&cfg);
    dependencies_init(&cfg);
    schema_version_init(&cfg);
    allocations_init(&cfg);
    machines_init(&cfg);
    priority_init(&cfg);
    placement_init(&cfg);
    scheduler_init(&cfg);
    workers_init(&cfg);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(invalid_field_or_infeasible_job_is_named),
        cmocka_unit_test(submission_without_object_is_invalid),
        cmocka_unit_test(done_bits_are_read_as_they_were_written),
        cmocka_unit_test(each_prerequisite_counts_once),
        cmocka_unit_test(record_with_prerequisites_is_none_for_the_first_version),
        cmocka_unit_test(job_with_an_oversized_record_can_be_ended),
        cmocka_unit_test(job_is_active_until_its_record_says_done),
        cmocka_unit_test(record_names_the_shard_of_a_job_outside_its_home),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
