/* Dependencies of jobs, on records as the store would hold them. */
/* Dependencies between jobs by their records alone, read in any order: which jobs wait, what priority and deadline
 * each has, and which are to be cancelled. */
#include "dependencies/dependencies.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "../../tests/standin/site.h"
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
#define SUBMITTED 1000 /* time of day, in all records */

/* A job's record; prerequisites are a JSON list. The end of a done job is `end`; 0: recorded by the first version. */
static void put(const char *job_id, const char *team, const char *priority, double due, const char *prerequisites,
                const char *state, double end) {
    char *ended = end > 0 ? g_strdup_printf(",\"end\":%f", end) : g_strdup("");
    char *text = g_strdup_printf(
        "{\"%s\":{\"uid\":\"%s\",\"jobclass\":\"c\",\"owner\":\"%s\",\"shape\":\"batch\",\"rank\":\"%s\",\"tasks\":2,"
        "\"vcpus\":1,\"gpus\":1,\"memory_gb\":1,\"image\":\"i\",\"pull_gb\":1,\"together\":false,\"spread\":false,"
        "\"reclaimable\":false,\"runtime_s\":%f,\"checkpoint_s\":0,\"flush_s\":0,\"due_s\":%f,\"prereqs\":%s},"
        "\"state\":\"%s\",\"at\":1000%s}",
        strlen(prerequisites) > 2 ? "chained_spec" : "spec", job_id, team, priority, RUNTIME_S, due, prerequisites,
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

static void queued(const char *job_id, const char *prerequisites) {
    put(job_id, "red", "idle", 0, prerequisites, "queued", 0);
}
static void ends(const char *job_id, const char *prerequisites, const char *state, double end) {
    put(job_id, "red", "idle", 0, prerequisites, state, end);
}

static int places_in_order(const char *job_id) {
    int n = 0;
    GArray *order = priority_order_shard(0);
    for (guint i = 0; i < order->len; i++)
        n += strcmp(g_array_index(order, struct priority_entry, i).job->spec.job_id, job_id) == 0;
    g_array_free(order, TRUE);
    return n;
}

/* A job takes part in nothing until the record of each prerequisite says done, in whatever order records come; its
 * times count from the last end. All tasks reported is not done: the job may still be cancelled. */
static void job_waits_until_all_prerequisites_are_recorded_done(void **state) {
    (void)state;
    queued("req-10003", "[\"req-10001\",\"req-10002\"]"); /* read before its prerequisites */
    const struct job *job = jobs_find("req-10003");
    assert_true(dependencies_unmet(job));
    assert_int_equal(places_in_order("req-10003"), 0);
    queued("req-10001", "[]");
    queued("req-10002", "[]");
    assert_int_equal(places_in_order("req-10001"), 1);
    ends("req-10001", "[]", "done", 1200);
    assert_true(dependencies_unmet(job));
    jobs_mark_done(jobs_find("req-10002"), 0);
    jobs_mark_done(jobs_find("req-10002"), 1);
    assert_true(jobs_complete(jobs_find("req-10002")));
    assert_true(dependencies_unmet(job));
    assert_int_equal(places_in_order("req-10003"), 0);
    ends("req-10002", "[]", "done", 1100);
    assert_false(dependencies_unmet(job));
    assert_int_equal(places_in_order("req-10003"), 1);
    assert_float_equal(job->ready, 1200, 1e-6);
    /* Ends that the first version recorded are older than any job with prerequisites. */
    ends("req-10004", "[]", "done", 0);
    queued("req-10005", "[\"req-10004\"]");
    assert_float_equal(jobs_find("req-10005")->ready, SUBMITTED, 1e-6);
    assert_int_equal(places_in_order("req-10005"), 1);
}

/* A job of a row below: jobs are numbered from 1 to ROW_JOBS in each, and their ids count from a base. */
enum { ROW_JOBS = 4, ID_SIZE = 16 };

struct row_job {
    const char *number, *team, *priority;
    double due;
    const char *prerequisites, *state;
};

static void number_id(char job_id[ID_SIZE], int base, const char *number) {
    g_snprintf(job_id, ID_SIZE, "req-%d", base + atoi(number));
}

/* A job that has ended by its last record was queued by an earlier one. */
static void put_row_job(const struct row_job *job, int base) {
    if (!job->number) return;
    char job_id[ID_SIZE];
    GString *prerequisites = g_string_new(job->prerequisites);
    for (char digit = '0' + ROW_JOBS; digit > '0'; digit--) {
        char number[] = {'"', digit, '"', 0}, quoted[ID_SIZE + 2];
        g_snprintf(quoted, sizeof quoted, "\"req-%d\"", base + digit - '0');
        g_string_replace(prerequisites, number, quoted, 0);
    }
    number_id(job_id, base, job->number);
    put(job_id, job->team, job->priority, job->due, prerequisites->str, "queued", 0);
    if (strcmp(job->state, "queued") != 0)
        put(job_id, job->team, job->priority, job->due, prerequisites->str, job->state, 0);
    g_string_free(prerequisites, TRUE);
}

/* Priorities and deadlines come from all unfinished jobs that depend on one, of whatever team; jobs are read in both
 * orders. */
static void priority_and_deadline_come_from_unfinished_dependents(void **state) {
    (void)state;
    static const struct {
        const char *what;
        struct row_job jobs[ROW_JOBS];
        const char *number; /* of the job that is checked */
        enum job_priority priority;
        double deadline; /* from the submission; 0: none */
    } rows[] = {
        {"on its own", {{"1", "red", "normal", 300, "[]", "queued"}}, "1", PRIORITY_NORMAL, 300},
        {"from the last of three",
         {{"1", "red", "idle", 0, "[]", "queued"},
          {"2", "red", "idle", 0, "[\"1\"]", "queued"},
          {"3", "red", "high", 400, "[\"2\"]", "queued"}},
         "1",
         PRIORITY_HIGH,
         400 - 2 * RUNTIME_S},
        {"a diamond: the more pressing side counts",
         {{"1", "red", "idle", 0, "[]", "queued"},
          {"2", "red", "normal", 200, "[\"1\"]", "queued"},
          {"3", "red", "idle", 0, "[\"1\"]", "queued"},
          {"4", "red", "high", 900, "[\"2\",\"3\"]", "queued"}},
         "1",
         PRIORITY_HIGH,
         200 - RUNTIME_S},
        {"another team's dependent",
         {{"1", "red", "idle", 0, "[]", "queued"}, {"2", "blue", "production", 500, "[\"1\"]", "queued"}},
         "1",
         PRIORITY_PRODUCTION,
         500 - RUNTIME_S},
        {"its own deadline is earlier",
         {{"1", "red", "high", 100, "[]", "queued"}, {"2", "red", "idle", 500, "[\"1\"]", "queued"}},
         "1",
         PRIORITY_HIGH,
         100},
        {"a cancelled dependent counts no more",
         {{"1", "red", "idle", 0, "[]", "queued"},
          {"2", "red", "normal", 0, "[\"1\"]", "queued"},
          {"3", "red", "high", 400, "[\"1\"]", "cancelled"}},
         "1",
         PRIORITY_NORMAL,
         0},
        {"nor do the dependents of a cancelled dependent",
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
        bool backwards = i % ORDERS != 0;
        for (int k = 0; k < ROW_JOBS; k++) put_row_job(&rows[row].jobs[backwards ? ROW_JOBS - 1 - k : k], base);
        char job_id[ID_SIZE];
        number_id(job_id, base, rows[row].number);
        const struct job *job = jobs_find(job_id);
        double deadline = rows[row].deadline > 0 ? SUBMITTED + rows[row].deadline : INFINITY;
        if (job->priority != rows[row].priority) fail_msg("%s: priority %d", rows[row].what, (int)job->priority);
        if (job->deadline != deadline && fabs(job->deadline - deadline) > 1e-6)
            fail_msg("%s: deadline %f", rows[row].what, job->deadline);
    }
}

/* All jobs that depend on a cancelled one are to be cancelled, and never had a task: nothing starts before its
 * prerequisite is done, and what is done is never cancelled. */
static void dependents_of_a_cancelled_job_are_to_be_cancelled(void **state) {
    (void)state;
    queued("req-30001", "[]");
    queued("req-30002", "[\"req-30001\"]");
    queued("req-30003", "[\"req-30002\"]");
    ends("req-30001", "[]", "done", 1100);
    assert_false(
        dependencies_must_cancel(jobs_find("req-30002"))); /* a cancellation that ended in done cascades nothing */
    ends("req-30002", "[\"req-30001\"]", "cancelled", 0);
    assert_true(dependencies_must_cancel(jobs_find("req-30003")));
    assert_true(dependencies_unmet(jobs_find("req-30003")));
    assert_int_equal(jobs_find("req-30003")->allocations->len, 0);
    char *names[] = {(char *)"req-30001", (char *)"req-30003", NULL};
    assert_true(dependencies_any_cancelled(names)); /* those of a job that names it later */
    assert_false(dependencies_any_cancelled(NULL));
    queued("req-30004", "[\"req-30003\"]");
    assert_true(dependencies_must_cancel(jobs_find("req-30004")));
    /* Its own record ends that. */
    ends("req-30003", "[\"req-30002\"]", "cancelled", 0);
    assert_false(dependencies_must_cancel(jobs_find("req-30003")));
    ends("req-30004", "[\"req-30003\"]", "cancelled", 0);
}

/* Deep and wide graphs, read from either end: every job is found, prerequisites before their dependents, so that the
 * controller that acknowledged the first cancellation writes them all. */
static void deep_and_wide_graphs_are_cancelled_in_order(void **state) {
    (void)state;
    enum { DEEP = 3000, WIDE = 300 };
    static struct job *next[DEEP + WIDE + 1];
    char job_id[32], prereqs[64];
    for (int i = DEEP; i > 0; i--) {
        g_snprintf(job_id, sizeof job_id, "req-4%05d", i);
        g_snprintf(prereqs, sizeof prereqs, "[\"req-4%05d\"]", i - 1);
        queued(job_id, prereqs);
    }
    for (int i = 0; i < WIDE; i++) {
        g_snprintf(job_id, sizeof job_id, "req-5%05d", i);
        queued(job_id, "[\"req-400000\"]");
    }
    queued("req-400000", "[]");
    assert_int_equal(cascade_next(next, DEEP + WIDE), 0);
    ends("req-400000", "[]", "cancelled", 0);
    store_lock();
    /* Neither was the cancellation acknowledged here, nor is the shard owned: other controllers go first. */
    assert_int_equal(cascade_next(next, DEEP + WIDE), 0);
    jobs_find("req-400000")->cancel_acknowledged = true;
    assert_int_equal(cascade_next(next, 16), 16);
    assert_int_equal(cascade_next(next, DEEP + WIDE + 1), DEEP + WIDE);
    for (int i = 1; i <= DEEP; i++) {
        g_snprintf(job_id, sizeof job_id, "req-4%05d", i);
        assert_true(dependencies_must_cancel(jobs_find(job_id)));
    }
    store_unlock();
}

int main(void) {
    char *text = site_with(SITE_JSON, "\"workers\":",
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
                                       cmocka_unit_test(dependents_of_a_cancelled_job_are_to_be_cancelled),
                                       cmocka_unit_test(deep_and_wide_graphs_are_cancelled_in_order)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
