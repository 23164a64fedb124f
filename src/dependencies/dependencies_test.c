/* Tests dependencies between jobs whose records are read in any order: which jobs wait, their priorities and deadlines,
 * and which jobs have to be cancelled. */
#include "dependencies/dependencies.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "../../tests/standin/test_settings.h"
#include "allocations/allocations.h"
#include "dependencies/cascade.h"
#include "json/json.h"
#include "logging/logging.h"
#include "membership/membership.h"
#include "placement/placement.h"
#include "priority/priority.h"
#include "scheduler/scheduler.h"
#include "schema_version/schema_version.h"
#include "workers/workers.h"

static struct settings cfg;
static int64_t mod_revision = 10;

#define RUNTIME_S 50.0
#define SUBMITTED_S 1000 /* time of day of the submission, in all records */

/* Applies the record of a job to the mirror. due_s: the job's deadline, in seconds after the submission; prerequisites:
 * a JSON list; end_s: time of day when a done job ended, or 0 for a record without an end time; the first version wrote
 * such records. */
static void put(const char *job_id, const char *team, const char *priority, double due_s, const char *prerequisites,
                const char *state, double end_s) {
    char *ended = end_s > 0 ? g_strdup_printf(",\"end\":%f", end_s) : g_strdup("");
    char *text = g_strdup_printf(
        "{\"%s\":{\"uid\":\"%s\",\"jobclass\":\"c\",\"owner\":\"%s\",\"shape\":\"batch\",\"rank\":\"%s\",\"tasks\":2,"
        "\"vcpus\":1,\"gpus\":1,\"memory_gb\":1,\"image\":\"i\",\"pull_gb\":1,\"together\":false,\"spread\":false,"
        "\"reclaimable\":false,\"runtime_s\":%f,\"checkpoint_s\":0,\"flush_s\":0,\"due_s\":%f,\"prereqs\":%s},"
        "\"state\":\"%s\",\"at\":1000%s}",
        strlen(prerequisites) > 2 ? "chained_spec" : "spec", job_id, team, priority, RUNTIME_S, due_s, prerequisites,
        state, ended);
    cJSON *data = cJSON_Parse(text);
    assert_non_null(data);
    char key[64];
    g_snprintf(key, sizeof key, "job/%s", job_id);
    store_lock();
    store_apply(key, data, ++mod_revision);
    store_unlock();
    cJSON_Delete(data);
    g_free(text);
    g_free(ended);
}

static void put_queued(const char *job_id, const char *prerequisites) {
    put(job_id, "red", "idle", 0, prerequisites, "queued", 0);
}
static void put_ended(const char *job_id, const char *prerequisites, const char *state, double end_s) {
    put(job_id, "red", "idle", 0, prerequisites, state, end_s);
}

static int occurrences_in_order(const char *job_id) {
    int n = 0;
    GArray *order = priority_order_shard(0);
    for (guint i = 0; i < order->len; i++)
        n += strcmp(g_array_index(order, struct priority_entry, i).job->spec.job_id, job_id) == 0;
    g_array_free(order, TRUE);
    return n;
}

/* A job is not scheduled until all prerequisites are recorded as done, in whatever order records are read. Its waiting
 * time counts from the end of the prerequisite that ended last. A prerequisite whose tasks are all reported done is not
 * done yet: it may still be cancelled. */
static void job_waits_until_all_prerequisites_are_recorded_done(void **state) {
    (void)state;
    put_queued("req-10003", "[\"req-10001\",\"req-10002\"]"); /* its prerequisites are read later */
    const struct job *job = jobs_find("req-10003");
    assert_true(dependencies_unmet(job));
    assert_int_equal(occurrences_in_order("req-10003"), 0);
    put_queued("req-10001", "[]");
    put_queued("req-10002", "[]");
    assert_int_equal(occurrences_in_order("req-10001"), 1);
    put_ended("req-10001", "[]", "done", 1200);
    assert_true(dependencies_unmet(job));
    jobs_mark_done(jobs_find("req-10002"), 0);
    jobs_mark_done(jobs_find("req-10002"), 1);
    assert_true(jobs_complete(jobs_find("req-10002")));
    assert_true(dependencies_unmet(job));
    assert_int_equal(occurrences_in_order("req-10003"), 0);
    put_ended("req-10002", "[]", "done", 1100);
    assert_false(dependencies_unmet(job));
    assert_int_equal(occurrences_in_order("req-10003"), 1);
    assert_float_equal(job->ready_at, 1200, 1e-6);
    /* A record of the first version has no end time: the waiting time counts from the submission. */
    put_ended("req-10004", "[]", "done", 0);
    put_queued("req-10005", "[\"req-10004\"]");
    assert_float_equal(jobs_find("req-10005")->ready_at, SUBMITTED_S, 1e-6);
    assert_int_equal(occurrences_in_order("req-10005"), 1);
}

/* The jobs of a row in the next test are numbered from 1 to ROW_JOBS. The id of a job is its number plus a base, which
 * differs per row and per order in which the row's records are read. */
enum { ROW_JOBS = 4, ID_SIZE = 16 };

struct row_job {
    const char *number, *team, *priority;
    double due_s;
    const char *prerequisites, *state;
};

static void row_job_id(char job_id[ID_SIZE], int base, const char *number) {
    g_snprintf(job_id, ID_SIZE, "req-%d", base + atoi(number));
}

/* Applies the record of a job to the mirror; for an ended job, first a record with the state queued. */
static void put_row_job(const struct row_job *job, int base) {
    if (!job->number) return;
    char job_id[ID_SIZE];
    GString *prerequisites = g_string_new(job->prerequisites);
    for (char digit = '0' + ROW_JOBS; digit > '0'; digit--) {
        char number[] = {'"', digit, '"', 0}, quoted[ID_SIZE + 2];
        g_snprintf(quoted, sizeof quoted, "\"req-%d\"", base + digit - '0');
        g_string_replace(prerequisites, number, quoted, 0);
    }
    row_job_id(job_id, base, job->number);
    put(job_id, job->team, job->priority, job->due_s, prerequisites->str, "queued", 0);
    if (strcmp(job->state, "queued") != 0)
        put(job_id, job->team, job->priority, job->due_s, prerequisites->str, job->state, 0);
    g_string_free(prerequisites, TRUE);
}

/* A job inherits priority and deadline from all unfinished jobs that depend on it, including jobs of other teams. The
 * records of each row are read in both orders. */
static void priority_and_deadline_come_from_unfinished_dependents(void **state) {
    (void)state;
    static const struct {
        const char *description;
        struct row_job jobs[ROW_JOBS];
        const char *number; /* number of the job that is checked */
        enum job_priority priority;
        double deadline; /* seconds after the submission; 0: none */
    } rows[] = {
        {"no dependents", {{"1", "red", "normal", 300, "[]", "queued"}}, "1", PRIORITY_NORMAL, 300},
        {"inherited from the last of three jobs",
         {{"1", "red", "idle", 0, "[]", "queued"},
          {"2", "red", "idle", 0, "[\"1\"]", "queued"},
          {"3", "red", "high", 400, "[\"2\"]", "queued"}},
         "1",
         PRIORITY_HIGH,
         400 - 2 * RUNTIME_S},
        {"highest priority and earliest deadline of several dependents",
         {{"1", "red", "idle", 0, "[]", "queued"},
          {"2", "red", "normal", 200, "[\"1\"]", "queued"},
          {"3", "red", "idle", 0, "[\"1\"]", "queued"},
          {"4", "red", "high", 900, "[\"2\",\"3\"]", "queued"}},
         "1",
         PRIORITY_HIGH,
         200 - RUNTIME_S},
        {"inherited from another team's job",
         {{"1", "red", "idle", 0, "[]", "queued"}, {"2", "blue", "production", 500, "[\"1\"]", "queued"}},
         "1",
         PRIORITY_PRODUCTION,
         500 - RUNTIME_S},
        {"its own deadline is earlier",
         {{"1", "red", "high", 100, "[]", "queued"}, {"2", "red", "idle", 500, "[\"1\"]", "queued"}},
         "1",
         PRIORITY_HIGH,
         100},
        {"a cancelled dependent does not count",
         {{"1", "red", "idle", 0, "[]", "queued"},
          {"2", "red", "normal", 0, "[\"1\"]", "queued"},
          {"3", "red", "high", 400, "[\"1\"]", "cancelled"}},
         "1",
         PRIORITY_NORMAL,
         0},
        {"dependents of a cancelled dependent do not count",
         {{"1", "red", "idle", 0, "[]", "queued"},
          {"2", "red", "idle", 0, "[\"1\"]", "cancelled"},
          {"3", "red", "high", 400, "[\"2\"]", "queued"}},
         "1",
         PRIORITY_IDLE,
         0},
    };
    enum { ORDERS = 2 };
    int base = 20000;
    for (size_t i = 0; i < ORDERS * G_N_ELEMENTS(rows); i++, base += 10) {
        size_t row = i / ORDERS;
        bool reversed = i % ORDERS != 0;
        for (int k = 0; k < ROW_JOBS; k++) put_row_job(&rows[row].jobs[reversed ? ROW_JOBS - 1 - k : k], base);
        char job_id[ID_SIZE];
        row_job_id(job_id, base, rows[row].number);
        const struct job *job = jobs_find(job_id);
        double deadline = rows[row].deadline > 0 ? SUBMITTED_S + rows[row].deadline : INFINITY;
        if (job->effective_priority != rows[row].priority)
            fail_msg("%s: priority %d", rows[row].description, (int)job->effective_priority);
        if (job->effective_deadline != deadline && fabs(job->effective_deadline - deadline) > 1e-6)
            fail_msg("%s: deadline %f", rows[row].description, job->effective_deadline);
    }
}

/* All jobs that depend on a cancelled job have to be cancelled. They have never had a task, because no job starts
 * before its prerequisites are done, and a done job is never cancelled. */
static void dependents_of_a_cancelled_job_must_be_cancelled(void **state) {
    (void)state;
    put_queued("req-30001", "[]");
    put_queued("req-30002", "[\"req-30001\"]");
    put_queued("req-30003", "[\"req-30002\"]");
    put_ended("req-30001", "[]", "done", 1100);
    assert_false(dependencies_must_cancel(jobs_find("req-30002"))); /* a prerequisite that is done cancels nothing */
    put_ended("req-30002", "[\"req-30001\"]", "cancelled", 0);
    assert_true(dependencies_must_cancel(jobs_find("req-30003")));
    assert_true(dependencies_unmet(jobs_find("req-30003")));
    assert_int_equal(jobs_find("req-30003")->allocations->len, 0);
    char *prerequisites[] = {(char *)"req-30001", (char *)"req-30003", NULL};
    assert_true(dependencies_any_cancelled(prerequisites)); /* prerequisites of a job that is submitted later */
    assert_false(dependencies_any_cancelled(NULL));
    put_queued("req-30004", "[\"req-30003\"]");
    assert_true(dependencies_must_cancel(jobs_find("req-30004")));
    /* Once a job is recorded as cancelled, it does not have to be cancelled any more. */
    put_ended("req-30003", "[\"req-30002\"]", "cancelled", 0);
    assert_false(dependencies_must_cancel(jobs_find("req-30003")));
    put_ended("req-30004", "[\"req-30003\"]", "cancelled", 0);
}

/* In deep and wide graphs that are read dependents first, the controller that acknowledged the first cancellation finds
 * every job that must be cancelled, prerequisites before their dependents. */
static void deep_and_wide_graphs_are_cancelled_in_order(void **state) {
    (void)state;
    enum { CHAIN_LENGTH = 3000, DIRECT_DEPENDENTS = 300 };
    static struct job *next_jobs[CHAIN_LENGTH + DIRECT_DEPENDENTS + 1];
    char job_id[32], prerequisites[64];
    for (int i = CHAIN_LENGTH; i > 0; i--) {
        g_snprintf(job_id, sizeof job_id, "req-4%05d", i);
        g_snprintf(prerequisites, sizeof prerequisites, "[\"req-4%05d\"]", i - 1);
        put_queued(job_id, prerequisites);
    }
    for (int i = 0; i < DIRECT_DEPENDENTS; i++) {
        g_snprintf(job_id, sizeof job_id, "req-5%05d", i);
        put_queued(job_id, "[\"req-400000\"]");
    }
    put_queued("req-400000", "[]");
    assert_int_equal(cascade_next_jobs(next_jobs, CHAIN_LENGTH + DIRECT_DEPENDENTS), 0);
    put_ended("req-400000", "[]", "cancelled", 0);
    store_lock();
    /* This controller did not acknowledge the cancellation and does not own the shard, so others write first. */
    assert_int_equal(cascade_next_jobs(next_jobs, CHAIN_LENGTH + DIRECT_DEPENDENTS), 0);
    jobs_find("req-400000")->cancel_acknowledged = true;
    assert_int_equal(cascade_next_jobs(next_jobs, 16), 16);
    assert_int_equal(cascade_next_jobs(next_jobs, CHAIN_LENGTH + DIRECT_DEPENDENTS + 1),
                     CHAIN_LENGTH + DIRECT_DEPENDENTS);
    for (int i = 1; i <= CHAIN_LENGTH; i++) {
        g_snprintf(job_id, sizeof job_id, "req-4%05d", i);
        assert_true(dependencies_must_cancel(jobs_find(job_id)));
    }
    store_unlock();
}

int main(void) {
    char *text =
        test_replace_first(TEST_SETTINGS_JSON, "\"workers\":",
                           "\"objectives\":[{\"kind\":\"deadline\",\"class\":\"c\",\"share\":0.9,\"times\":1}],"
                           "\"workers\":");
    bool ok = settings_parse(text, "f.json", &cfg, NULL);
    g_free(text);
    if (!ok) return 1;
    logging_init("fatal");
    store_init(&cfg);
    membership_init(&cfg);
    schema_version_init(&cfg);
    jobs_init(&cfg);
    dependencies_init(&cfg);
    allocations_init(&cfg);
    machines_init(&cfg);
    priority_init(&cfg);
    placement_init(&cfg);
    scheduler_init(&cfg);
    workers_init(&cfg);
    const struct CMUnitTest tests[] = {cmocka_unit_test(job_waits_until_all_prerequisites_are_recorded_done),
                                       cmocka_unit_test(priority_and_deadline_come_from_unfinished_dependents),
                                       cmocka_unit_test(dependents_of_a_cancelled_job_must_be_cancelled),
                                       cmocka_unit_test(deep_and_wide_graphs_are_cancelled_in_order)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
