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
        if (!invalid_field) {
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

static void bits(void **state) {
    (void)state;
    uint8_t a[600] = {0}, b[600] = {0};
    static const int set[] = {0, 7, 8, 4095, 4096, 4700};
    for (size_t i = 0; i < G_N_ELEMENTS(set); i++) a[set[i] / 8] |= (uint8_t)(1 << (set[i] % 8));
    char *x = jobs_bits_text(a, 0, 4096), *y = jobs_bits_text(a, 4096, 704);
    assert_int_equal(strlen(x), 1024);
    jobs_bits_read(x, b, 0, 4096);
    jobs_bits_read(y, b, 4096, 704);
    assert_memory_equal(a, b, sizeof a);
    g_free(x);
    g_free(y);
}

/* Each name counts once. A record that holds them is one in which the first version finds no spec; one that was
 * accepted under the present limit can be ended under the next. */
static void prerequisites(void **state) {
    (void)state;
    char *text = site_with(good, "\"extra\":1", "\"prereqs\":[\"req-000398\",\"req-000405\",\"req-000398\"]");
    struct job_spec spec;
    cJSON *submission = cJSON_Parse(text);
    assert_null(job_spec_read(submission, &cfg, &spec));
    cJSON_Delete(submission);
    assert_int_equal(g_strv_length(spec.prerequisites), 2);
    assert_string_equal(spec.prerequisites[1], "req-000405");
    job_spec_clear(&spec);
    cJSON *v = jobs_value(text, JOB_QUEUED, 5, -1);
    assert_null(cJSON_GetObjectItem(v, "spec"));
    assert_non_null(cJSON_GetObjectItem(v, "chained_spec"));
    cJSON_Delete(v);
    v = jobs_value(good, JOB_QUEUED, 5, -1);
    assert_non_null(cJSON_GetObjectItem(v, "spec"));
    cJSON_Delete(v);
    g_free(text);
    char *filler = g_strnfill((gsize)(cfg.value_kb * 1024), 'x'), *extra = g_strdup_printf("\"extra\":\"%s\"", filler);
    text = site_with(good, "\"extra\":1", extra);
    assert_true(jobs_record_bytes(text) > jobs_record_bytes_max());
    struct job j = {.spec_text = text, .submitted = 5};
    v = jobs_final_value(&j, JOB_DONE);
    char *written = cJSON_PrintUnformatted(v);
    assert_true(strlen(written) <= cfg.next_value_kb * 1024);
    assert_null(job_spec_read(cJSON_GetObjectItem(v, "spec"), &cfg, &spec));
    job_spec_clear(&spec);
    free(written);
    cJSON_Delete(v);
    g_free(text);
    g_free(extra);
    g_free(filler);
}

static void put(const char *state, const char *done, int64_t mod_revision) {
    char *text = g_strdup_printf("{\"spec\":%s,\"state\":\"%s\",\"done\":\"%s\",\"at\":5}", good, state, done);
    cJSON *o = cJSON_Parse(text);
    store_lock();
    store_apply("job/req-000412", o, mod_revision);
    store_unlock();
    cJSON_Delete(o);
    g_free(text);
}

/* A record written by ourselves is applied by the same path: its specification must be an object by then. */
static void records(void **state) {
    (void)state;
    put("queued", "00", 3);
    struct job *j = jobs_find("req-000412");
    assert_non_null(j);
    assert_true(j->known);
    assert_int_equal(jobs_active()->len, 1);
    assert_false(jobs_complete(j));
    /* One task of a gang done: all are. */
    jobs_mark_done(j, 0);
    assert_int_equal(j->n_reported_done, 2);
    assert_true(jobs_complete(j));
    assert_int_equal(j->n_dirty_chunks, 1);
    cJSON *v = jobs_final_value(j, JOB_DONE);
    assert_string_equal(json_get_string(v, "state"), "done");
    assert_true(cJSON_IsObject(cJSON_GetObjectItem(v, "spec")));
    cJSON_Delete(v);
    put("done", "03", 4);
    assert_int_equal(j->state, JOB_DONE);
    assert_int_equal(jobs_active()->len, 0);
    /* A final state never goes back, not even for a record that says so. */
    put("queued", "00", 5);
    assert_int_equal(j->state, JOB_DONE);
}

/* Only a job in another shard than its team's home names it; a record that names another moves it. */
static void shards(void **state) {
    (void)state;
    static const struct {
        const char *shard; /* as in the record */
        int lies;
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
        char *text = g_strdup_printf("{\"spec\":%s,\"state\":\"queued\",\"at\":5%s}", spec, rows[i].shard);
        cJSON *o = cJSON_Parse(text);
        store_apply("job/req-000777", o, 100 + (int64_t)i);
        struct job *j = jobs_find("req-000777");
        if (jobs_shard(j) != rows[i].lies || jobs_any_foreign() != rows[i].foreign) fail_msg("%s", text);
        assert_int_equal(jobs_active_of(rows[i].lies)->len, 1);
        assert_int_equal(jobs_active_of(1 - rows[i].lies)->len, 0);
        cJSON *value = jobs_final_value(j, JOB_CANCELLED);
        assert_int_equal(cJSON_GetObjectItem(value, "share") != NULL, rows[i].foreign);
        cJSON_Delete(value);
        value = jobs_moved_value(j, 0);
        assert_null(cJSON_GetObjectItem(value, "share")); /* at home, as all versions write it */
        cJSON_Delete(value);
        cJSON_Delete(o);
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
    const struct CMUnitTest tests[] = {cmocka_unit_test(invalid_field_or_infeasible_job_is_named),
                                       cmocka_unit_test(submission_without_object_is_invalid),
                                       cmocka_unit_test(bits),
                                       cmocka_unit_test(prerequisites),
                                       cmocka_unit_test(records),
                                       cmocka_unit_test(shards)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
