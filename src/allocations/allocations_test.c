/* Tests how allocation records are read, written and split into chunks, and when a gang's attempt is open. */
#include "allocations/allocations.h"

#include <glib.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "../../tests/standin/test_settings.h"
#include "allocations/attempt.h"
#include "allocations/codec.h"
#include "allocations/records.h"
#include "clock/clock.h"
#include "dependencies/dependencies.h"
#include "json/json.h"
#include "membership/membership.h"
#include "placement/placement.h"
#include "priority/priority.h"
#include "scheduler/scheduler.h"
#include "schema_version/schema_version.h"
#include "workers/workers.h"

static struct settings cfg;
static int64_t mod_revision = 10;

static void put(const char *key, const char *json) {
    cJSON *value = json ? cJSON_Parse(json) : NULL;
    assert_true(!json || value);
    store_lock();
    store_apply(key, value, ++mod_revision);
    store_unlock();
    cJSON_Delete(value);
}

static void entries_are_read_up_to_the_first_malformed_one(void **state) {
    (void)state;
    enum { BASE_ATTEMPT = 100 };
    static const struct {
        const char *text;
        int n_entries; /* entries before the end or the first malformed entry */
        struct allocation_entry last;
    } rows[] = {
        {"", 0, {0}},
        {"0@i-1+0", 1, {0, 100, "i-1"}},
        {"3@i-000231+0 17@i-2+1048576", 2, {17, 1048676, "i-2"}},
        {"3@i-1+2 x", 1, {3, 102, "i-1"}},
        {"3@+2", 0, {0}},
        {"3@i-1", 0, {0}},
        {"3@i-1+", 0, {0}},
        {"3@i-1+-4", 0, {0}},
        {"100000@i-1+0", 0, {0}},
        {"1@a-name-that-is-longer-than-any-name-that-a-machine-may-have-in-this-cloud+0", 0, {0}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const char *text = rows[i].text;
        struct allocation_entry entry = {0};
        int n = 0;
        while (allocation_entry_read(&text, BASE_ATTEMPT, &entry)) n++;
        if (n != rows[i].n_entries) fail_msg("'%s': %d entries", rows[i].text, n);
        if (n == 0) continue;
        assert_int_equal(entry.task, rows[i].last.task);
        assert_string_equal(entry.machine_id, rows[i].last.machine_id);
        assert_int_equal(entry.attempt, rows[i].last.attempt);
    }
}

/* A later attempt has a higher number, under the same fencing token and under a higher one. */
static void attempts_are_numbered_by_fencing_token_and_counter(void **state) {
    (void)state;
    static const struct {
        int64_t fencing_token, counter, number;
    } rows[] = {{0, 1, 1}, {1, 0, 1048576}, {1, 1, 1048577}, {1, 1048575, 2097151}, {2, 1, 2097153}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        assert_int_equal(attempt_number(rows[i].fencing_token, rows[i].counter), rows[i].number);
        assert_true(i == 0 || rows[i].number > rows[i - 1].number);
    }
}

#define JOB_RECORD(job_id, n, state)                                                                             \
    "{\"spec\":{\"uid\":\"" job_id                                                                               \
    "\",\"jobclass\":\"c\",\"owner\":\"red\",\"shape\":\"batch\",\"rank\":\"high\",\"tasks\":" n                 \
    ",\"vcpus\":1,\"gpus\":1,\"memory_gb\":1,\"image\":\"i\",\"pull_gb\":1,\"together\":false,\"spread\":false," \
    "\"reclaimable\":false,\"runtime_s\":1,\"checkpoint_s\":0,\"flush_s\":0},\"state\":\"" state "\",\"at\":1}"
#define MACHINE_PAGE                                                                                                   \
    "{\"sku\":[\"g\"],\"site\":[\"za\"],\"img\":[],\"m\":[[\"i-1\",\"\",0,0,0,0,1,\"\"],[\"i-2\",\"\",0,0,0,0,1,\"\"]" \
    "]}"

/* A record is written without the tasks that have ended and with the planned tasks. Reading it back gives the same
 * allocations. */
static void record_is_read_back_as_written(void **state) {
    (void)state;
    put("fleet/0/0", MACHINE_PAGE);
    put("job/req-20001", JOB_RECORD("req-20001", "9", "queued"));
    put("run/req-20001/0", "{\"d\":\"0100\",\"f\":50,\"b\":\"1@i-1+0 2@i-2+3\"}");
    struct job *job = jobs_find("req-20001");
    assert_int_equal(job->n_done, 1);
    assert_int_equal(job->allocations->len, 2);
    assert_int_equal(allocations_missing_tasks(job), 6);
    assert_int_equal(job->n_recorded_chunks, 1);
    assert_int_equal(job->n_dirty_chunks, 0);
    struct allocation *allocation = job->allocations->pdata[0];
    assert_true(allocation->inherited);
    allocation->released = true;
    jobs_mark_done(job, 1);
    assert_int_equal(job->n_dirty_chunks, 1);
    assert_int_equal(allocations_missing_tasks(job), 6);
    GArray *plans = g_array_new(FALSE, FALSE, sizeof(struct planned_task));
    struct planned_task plan = {machines_find("i-1"), job, 4, 60};
    g_array_append_val(plans, plan);
    cJSON *value = allocations_value(job, 0, chunks_size(job), plans, ALLOCATIONS_OF_OPEN_JOB);
    assert_string_equal(json_get_string(value, "d"), "0300");
    assert_string_equal(json_get_string(value, "b"), "2@i-2+0 4@i-1+7");
    store_lock();
    store_apply("run/req-20001/0", value, ++mod_revision);
    store_unlock();
    cJSON_Delete(value);
    assert_int_equal(job->allocations->len, 2);
    assert_int_equal(job->n_done, 2);
    assert_int_equal(job->n_dirty_chunks, 0);
    assert_int_equal(machines_find("i-1")->allocations->len, 1);
    /* A task that ends while its record is being written still has to be written afterwards. */
    ((struct allocation *)job->allocations->pdata[0])->released = true;
    put("run/req-20001/0", "{\"d\":\"0300\",\"f\":53,\"b\":\"2@i-2+0 4@i-1+7\"}");
    assert_int_equal(job->n_dirty_chunks, 1);
    /* A machine that is no longer on its page has been returned: its allocations are released, including inherited
     * allocations. */
    put("fleet/0/0", NULL);
    assert_int_equal(allocations_count(job), 0);
    assert_null(machines_find("i-1"));
    assert_int_equal(jobs_active_in_shard(0)->len, 1);
    put("job/req-20001", JOB_RECORD("req-20001", "9", "cancelled"));
    assert_int_equal(jobs_active_in_shard(0)->len, 0);
    assert_int_equal(jobs_ended_in_shard(0)->len, 1); /* until the allocation record is deleted, too */
    assert_true(allocations_chunk_dirty(job, 0));
    assert_null(allocations_value(job, 0, chunks_size(job), NULL, ALLOCATIONS_OF_OPEN_JOB));
    put("run/req-20001/0", NULL);
    assert_int_equal(jobs_ended_in_shard(0)->len, 0);
    assert_int_equal(job->allocations->len, 0);
    g_array_free(plans, TRUE);
}

/* The records of the largest possible job stay within the size limit of a value. Allocations are also created for a
 * machine that is on no page, because a new owner may read such records. */
static void largest_job_fits_its_records(void **state) {
    (void)state;
    put("job/req-20002", JOB_RECORD("req-20002", "100000", "queued"));
    struct job *job = jobs_find("req-20002");
    int chunk_size = chunks_size(job), chunks = chunks_count(job);
    assert_true(chunks > 1 && chunks * chunk_size >= 100000 && chunk_size % 8 == 0);
    GArray *plans = g_array_new(FALSE, FALSE, sizeof(struct planned_task));
    struct machine *machine = machines_find_or_stub("i-000231");
    for (int task = 0; task < chunk_size; task++) {
        struct planned_task plan = {machine, job, chunk_size + task, attempt_number(8388608, task)};
        g_array_append_val(plans, plan);
        job->reported_done_bits[(chunk_size + task) / 8] |= (uint8_t)(task % 2 << (task % 8));
    }
    cJSON *value = allocations_value(job, 1, chunk_size, plans, ALLOCATIONS_OF_OPEN_JOB);
    char *text = cJSON_PrintUnformatted(value);
    assert_true(strlen(text) <= cfg.value_max_kb * 1024);
    put("run/req-20002/1", text);
    assert_int_equal(job->allocations->len, chunk_size);
    assert_string_equal(store_key_allocations(job->spec.job_id, 1).text, "run/req-20002/1");
    free(text);
    cJSON_Delete(value);
    g_array_free(plans, TRUE);
}

/* A record that stores its chunk size is read as the same tasks, whichever records were read before it. A change of a
 * job's chunk size keeps the job's allocations. */
static void records_store_their_chunk_size(void **state) {
    (void)state;
    put("job/req-20020", JOB_RECORD("req-20020", "40", "queued"));
    put("run/req-20020/0", "{\"d\":\"0100000000\",\"f\":50,\"b\":\"1@i-1+0 9@i-2+3 30@i-1+4 39@i-2+5\"}");
    struct job *job = jobs_find("req-20020");
    assert_int_equal(chunks_size(job), chunks_first_layout_size());
    assert_int_equal(allocations_count(job), 4);
    const struct allocation *kept = job->allocations->pdata[2];
    static const char *const small_records[] = {"{\"n\":16,\"d\":\"0100\",\"f\":50,\"b\":\"1@i-1+0 9@i-2+3\"}",
                                                "{\"n\":16,\"f\":54,\"b\":\"30@i-1+0\"}",
                                                "{\"n\":16,\"f\":55,\"b\":\"39@i-2+0\"}"};
    static const int sequences[][3] = {{0, 1, 2}, {2, 1, 0}, {1, 0, 2}};
    char key[64];
    for (size_t sequence = 0; sequence < G_N_ELEMENTS(sequences); sequence++) {
        put("run/req-20020/0", "{\"d\":\"0100000000\",\"f\":50,\"b\":\"1@i-1+0 9@i-2+3 30@i-1+4 39@i-2+5\"}");
        for (int i = 0; i < 3; i++) {
            g_snprintf(key, sizeof key, "run/req-20020/%d", sequences[sequence][i]);
            put(key, small_records[sequences[sequence][i]]);
            assert_int_equal(allocations_count(job), 4);
        }
        assert_int_equal(chunks_size(job), 16);
        assert_int_equal(chunks_count(job), 3);
        assert_int_equal(job->n_recorded_chunks, 3);
        assert_ptr_equal(job->allocations->pdata[2], kept);
    }
    cJSON *value = allocations_value(job, 2, 16, NULL, ALLOCATIONS_OF_OPEN_JOB);
    char *text = cJSON_PrintUnformatted(value);
    assert_string_equal(text, small_records[2]);
    free(text);
    cJSON_Delete(value);
    /* Deleting a record only removes the allocations of its own tasks. */
    put("run/req-20020/1", NULL);
    assert_int_equal(allocations_count(job), 3);
    /* A record with an invalid chunk size releases nothing. */
    put("run/req-20020/0", "{\"n\":7,\"f\":50,\"b\":\"\"}");
    assert_int_equal(allocations_count(job), 3);
    put("job/req-20020", JOB_RECORD("req-20020", "40", "cancelled"));
}

/* A malformed record releases no allocation, because its unreadable part may contain that allocation. */
static void malformed_record_releases_nothing(void **state) {
    (void)state;
    static const struct {
        const char *record;
        int remaining; /* allocations that remain of two */
    } rows[] = {
        {"{\"f\":50,\"b\":\"0@i-1+0 1@i-2+1\"}", 2},
        {"{\"f\":50,\"b\":\"0@i-1+0 1@@\"}", 2},
        {"{\"f\":50,\"b\":\"x\"}", 2},
        {"\"b\"", 2},
        {"{\"f\":50,\"b\":\"0@i-1+0\"}", 1},
    };
    put("job/req-20009", JOB_RECORD("req-20009", "2", "queued"));
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        put("run/req-20009/0", "{\"f\":50,\"b\":\"0@i-1+0 1@i-2+1\"}");
        put("run/req-20009/0", rows[i].record);
        int remaining = allocations_count(jobs_find("req-20009"));
        if (remaining != rows[i].remaining) fail_msg("%s: %d", rows[i].record, remaining);
    }
    put("run/req-20009/0", NULL);
    /* A job record with another id or a missing field is ignored, and other jobs are not affected. */
    put("job/req-20010", JOB_RECORD("req-20011", "2", "queued"));
    put("job/req-20012", "{\"spec\":{\"uid\":\"req-20012\"},\"state\":\"queued\"}");
    assert_false(jobs_find("req-20010")->recorded);
    assert_false(jobs_find("req-20012")->recorded);
    assert_null(jobs_find("req-20011"));
}

/* The missing tasks of a gang are allocated under the gang's present attempt only while that attempt is open. */
static void gang_attempt_is_open_until_a_task_runs_or_is_not_listed(void **state) {
    (void)state;
    enum { ATTEMPT = 7 };
    static const struct {
        enum task_state first_state, second_state;
        bool was_listed, stop_requested, released; /* of the second task */
        bool other_attempt, stale_heartbeat;       /* of the second task; of the machine */
        int64_t expected_attempt;
    } rows[] = {
        /* the gang waits for its missing tasks */
        {TASK_FETCHING, TASK_WAITING_FOR_GANG, true, false, false, false, false, 7},
        /* the second task runs: the gang has started */
        {TASK_WAITING_FOR_GANG, TASK_RUNNING, true, false, false, false, false, 0},
        /* the second task was never listed */
        {TASK_WAITING_FOR_GANG, TASK_WAITING_FOR_GANG, false, false, false, false, false, 0},
        /* the stop of the second task is requested */
        {TASK_WAITING_FOR_GANG, TASK_WAITING_FOR_GANG, true, true, false, false, false, 0},
        /* the second task has ended */
        {TASK_WAITING_FOR_GANG, TASK_WAITING_FOR_GANG, true, false, true, false, false, 0},
        /* the second task belongs to another attempt */
        {TASK_WAITING_FOR_GANG, TASK_WAITING_FOR_GANG, true, false, false, true, false, 0},
        /* the last heartbeat is too old */
        {TASK_WAITING_FOR_GANG, TASK_WAITING_FOR_GANG, true, false, false, false, true, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct machine machine;
        struct job job;
        memset(&machine, 0, sizeof machine);
        memset(&job, 0, sizeof job);
        if (!rows[i].stale_heartbeat) machine.liveness.last_heartbeat = clock_now();
        struct allocation first = {
            .job = &job, .machine = &machine, .attempt = ATTEMPT, .was_listed = true, .state = rows[i].first_state};
        struct allocation second = first;
        second.state = rows[i].second_state;
        second.was_listed = rows[i].was_listed;
        second.stop_requested = rows[i].stop_requested;
        second.released = rows[i].released;
        if (rows[i].other_attempt) second.attempt = ATTEMPT + 1;
        job.allocations = g_ptr_array_new();
        g_ptr_array_add(job.allocations, &first);
        g_ptr_array_add(job.allocations, &second);
        assert_int_equal(allocations_open_gang_attempt(&job), rows[i].expected_attempt);
        g_ptr_array_free(job.allocations, TRUE);
    }
}

int main(void) {
    if (!settings_parse(TEST_SETTINGS_JSON, "f.json", &cfg, NULL)) return 1;
    store_init(&cfg);
    membership_init(&cfg);
    jobs_init(&cfg);
    dependencies_init(&cfg);
    schema_version_init(&cfg);
    machines_init(&cfg);
    allocations_init(&cfg);
    priority_init(&cfg);
    placement_init(&cfg);
    scheduler_init(&cfg);
    workers_init(&cfg);
    const struct CMUnitTest tests[] = {cmocka_unit_test(entries_are_read_up_to_the_first_malformed_one),
                                       cmocka_unit_test(attempts_are_numbered_by_fencing_token_and_counter),
                                       cmocka_unit_test(record_is_read_back_as_written),
                                       cmocka_unit_test(largest_job_fits_its_records),
                                       cmocka_unit_test(records_store_their_chunk_size),
                                       cmocka_unit_test(malformed_record_releases_nothing),
                                       cmocka_unit_test(gang_attempt_is_open_until_a_task_runs_or_is_not_listed)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
