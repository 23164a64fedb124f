/* A rolling upgrade with real processes: controllers of the version in production and of this version read each other's
 * records, then the state service applies its next, lower limits. No task runs twice, none is lost, every job can be
 * polled, quota limits hold, and no transaction exceeds the lower limits.
 *
 * Each process runs one row, because every row needs stand-ins that start empty. */
#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../standin/cloud.h"
#include "../standin/controller_pair.h"
#include "../standin/store.h"
#include "../standin/test_cases.h"
#include "../standin/test_settings.h"
#include "../standin/workers.h"
#include "clock/clock.h"

#define NEXT_LIMITS_JSON "{\"write_rps\":400,\"value_kb\":1,\"txn_ops\":4}"
#define NEXT_VALUE_KB 1
#define NEXT_TXN_OPS 4
#define NEXT_WRITE_RPS 400
#define WIDE_TASKS 80 /* tasks of the wide job array; more than one record holds under the next limits */

/* Faults and user actions between the upgrades of the two controllers. */
enum event {
    NO_EVENT,
    OLD_RESTARTS,         /* the old controller is killed and restarted in its version, twice in a row */
    UPGRADED_KILLED,      /* the upgraded controller is killed: its shards move to the old one, and back */
    BOTH_RESTART,         /* both controllers are killed and restarted, each in its version */
    CANCELLED_AT_NEW,     /* the upgraded controller confirms cancellations, and the old controller carries them out */
    CANCELLED_AT_OLD,     /* the old controller confirms cancellations, and the upgraded controller carries them out */
    STORE_OUTAGE,         /* the store is out for 2 s */
    DELAYED_TRANSACTIONS, /* some transactions are carried out late */
    ROLLED_BACK, /* the upgraded controller, which has raised tokens, restarts in the old version for a while */
};
static const struct {
    const char *name;
    int first; /* the controller that is upgraded first */
    enum event event;
    bool limits_lowered_at_once; /* right after the last upgrade, before any record is rewritten */
} rows[] = {
    {"undisturbed", 0, NO_EVENT, false},
    {"second_controller_first", 1, NO_EVENT, true},
    {"old_controller_restarts", 0, OLD_RESTARTS, false},
    {"upgraded_controller_ends", 0, UPGRADED_KILLED, true},
    {"both_end_midway", 1, BOTH_RESTART, true},
    {"cancelled_at_upgraded", 0, CANCELLED_AT_NEW, false},
    {"cancelled_at_old", 0, CANCELLED_AT_OLD, true},
    {"store_outage_midway", 1, STORE_OUTAGE, true},
    {"delayed_transactions", 0, DELAYED_TRANSACTIONS, false},
    {"rolled_back", 0, ROLLED_BACK, false},
};
static size_t row;
static const char *production_program, *current_program;

static void start_as(int controller, const char *program) {
    pair_set_program(controller, program);
    pair_start_controller(controller);
}

static int running_tasks(const char *job_id, int tasks) {
    char name[64];
    int count = 0;
    for (int i = 0; i < tasks; i++) {
        g_snprintf(name, sizeof name, "%s/%d", job_id, i);
        count += standin_workers_running(name) == 1;
    }
    return count;
}

static bool all_tasks_run(const char *job_id, int tasks, double within_s) {
    struct timespec start = clock_now();
    while (running_tasks(job_id, tasks) != tasks && clock_seconds_since(start) < within_s)
        clock_sleep(clock_from_seconds(0.1));
    return running_tasks(job_id, tasks) == tasks;
}

static void cancel_at(int controller, const char *job_id) {
    char job_state[32] = "";
    pair_cancel_job(controller, job_id, 10, job_state, sizeof job_state);
    assert_string_equal(job_state, "cancelled");
}

/* Called between the two upgrades. */
static void run_event(int upgraded, int old) {
    switch (rows[row].event) {
        case NO_EVENT:
            break;
        case OLD_RESTARTS:
            pair_kill_controller(old);
            start_as(old, production_program);
            clock_sleep(clock_from_seconds(0.3));
            pair_kill_controller(old);
            start_as(old, production_program);
            break;
        case UPGRADED_KILLED:
            pair_kill_controller(upgraded);
            /* The old controller takes over all shards and rewrites their records. */
            clock_sleep(clock_from_seconds(PAIR_WORKER_LEASE_S));
            assert_true(pair_submit("req-10003", "red", "batch", 12));
            assert_true(pair_submit("req-10004", "blue", "batch", 12));
            start_as(upgraded, current_program);
            break;
        case BOTH_RESTART:
            pair_kill_controller(0);
            pair_kill_controller(1);
            start_as(old, production_program);
            start_as(upgraded, current_program);
            break;
        case CANCELLED_AT_NEW:
            cancel_at(upgraded, "req-90007");
            cancel_at(upgraded, "req-90008");
            break;
        case CANCELLED_AT_OLD:
            cancel_at(old, "req-90007");
            cancel_at(old, "req-90008");
            break;
        case STORE_OUTAGE:
            standin_store_inject(STANDIN_OUTAGE);
            clock_sleep(clock_from_seconds(2));
            standin_store_inject(STANDIN_NO_FAULT);
            break;
        case DELAYED_TRANSACTIONS:
            standin_store_delay_transactions(0.5);
            assert_true(pair_submit("req-10003", "red", "batch", 12));
            clock_sleep(clock_from_seconds(2));
            standin_store_delay_transactions(0);
            break;
        case ROLLED_BACK:
            assert_true(pair_submit("req-10003", "red", "batch", 8) && pair_submit("req-10004", "blue", "batch", 8));
            clock_sleep(clock_from_seconds(PAIR_WORKER_LEASE_S)); /* tokens are raised to forget ended attempts */
            pair_kill_controller(upgraded);
            start_as(upgraded, production_program);
            clock_sleep(clock_from_seconds(PAIR_WORKER_LEASE_S));
            assert_true(pair_submit("req-10005", "red", "batch", 8) && pair_submit("req-10006", "blue", "batch", 8));
            assert_true(pair_wait_for_job_state("req-10005", "done", 20) &&
                        pair_wait_for_job_state("req-10006", "done", 20));
            pair_kill_controller(upgraded);
            start_as(upgraded, current_program);
            break;
    }
    clock_sleep(clock_from_seconds(1.5));
}

/* Checks dependencies, once all controllers are upgraded. */
static void check_dependencies(void) {
    char job_state[32] = "";
    assert_int_equal(pair_submit_with_prerequisites("req-10040", "red", "batch", 2, "[]"), 201);
    assert_int_equal(pair_submit_with_prerequisites("req-10041", "blue", "batch", 2, "[\"req-10040\"]"), 201);
    assert_int_equal(pair_submit_with_prerequisites("req-10042", "red", "batch", 1, "[\"req-10041\",\"req-10040\"]"),
                     201);
    struct timespec start = clock_now();
    while (!standin_workers_holding("req-10041/0") && clock_seconds_since(start) < 20)
        clock_sleep(clock_from_seconds(0.01));
    pair_request_either(0, "GET", "/work/req-10040", NULL, job_state, sizeof job_state);
    assert_string_equal(job_state, "done");
    assert_true(pair_wait_for_job_state("req-10042", "done", 20));
    assert_int_equal(pair_submit_with_prerequisites("req-10043", "red", "batch", 1, "[\"req-77777\"]"), 422);
    assert_int_equal(pair_submit_with_prerequisites("req-10043", "red", "batch", 1, "[\"req-90001\"]"), 422);
    assert_int_equal(pair_submit_with_prerequisites("req-10043", "red", "batch", 1, "[\"req-10043\"]"), 422);
    assert_int_equal(pair_submit_with_prerequisites("req-10043", "red", "batch", 1, "[7]"), 400);
    /* A job whose prerequisite is cancelled is cancelled, whichever controller is polled. */
    assert_int_equal(pair_submit_with_prerequisites("req-90050", "red", "batch", 1, "[]"), 201);
    assert_int_equal(pair_submit_with_prerequisites("req-10051", "blue", "batch", 1, "[\"req-90050\"]"), 201);
    assert_int_equal(pair_submit_with_prerequisites("req-10052", "red", "batch", 1, "[\"req-10051\"]"), 201);
    cancel_at(0, "req-90050");
    assert_true(pair_wait_for_job_state("req-10052", "cancelled", PAIR_CANCEL_DEADLINE_S));
    assert_true(pair_wait_for_job_state("req-10051", "cancelled", PAIR_CANCEL_DEADLINE_S));
    assert_int_equal(pair_submit_with_prerequisites("req-10053", "red", "batch", 1, "[\"req-10052\"]"), 201);
    assert_true(pair_wait_for_job_state("req-10053", "cancelled", PAIR_CANCEL_DEADLINE_S));
    assert_int_equal(standin_workers_holding("req-10051/0") + standin_workers_holding("req-10053/0"), 0);
}

/* Puts the record of a job with prerequisites into the store while only the old version runs. The old version finds no
 * spec that it can read in the record, so it must not start the job, and answers polls of it with 404. */
static void put_record_with_prerequisites(void) {
    assert_true(pair_wait_for_job_state("req-10001", "done", 30));
    standin_store_put(
        "job/req-10060",
        "{\"chained_spec\":{\"uid\":\"req-10060\",\"jobclass\":\"c\",\"owner\":\"red\",\"shape\":\"batch\","
        "\"rank\":\"high\",\"tasks\":1,\"vcpus\":1,\"gpus\":0,\"memory_gb\":1,\"image\":\"i\",\"pull_gb\":1,"
        "\"together\":false,\"spread\":false,\"reclaimable\":false,\"runtime_s\":1,\"checkpoint_s\":0,"
        "\"flush_s\":0,\"prereqs\":[\"req-10001\"]},\"state\":\"queued\",\"at\":1}");
    clock_sleep(clock_from_seconds(1.5));
    assert_int_equal(standin_workers_holding("req-10060/0"), 0);
    assert_int_equal(pair_request(1, "GET", "/work/req-10060", NULL, NULL, 0), 404);
}

static void submit_jobs(void) {
    assert_true(pair_submit("req-90001", "red", "standing", 2));
    assert_true(pair_submit("req-90002", "blue", "batch", WIDE_TASKS));
    assert_true(pair_submit("req-90003", "red", "group", 3));
    assert_true(pair_submit("req-90007", "red", "standing", 2));
    assert_true(pair_submit("req-90008", "blue", "standing", 2));
    assert_true(pair_submit("req-94001", "green", "batch", 8)); /* its team's limit is 4 tasks */
    assert_true(all_tasks_run("req-90001", 2, 20) && all_tasks_run("req-90002", WIDE_TASKS, 30) &&
                all_tasks_run("req-90003", 3, 20) && all_tasks_run("req-90007", 2, 20) &&
                all_tasks_run("req-90008", 2, 20));
    assert_true(standin_store_largest_value("run/") > NEXT_VALUE_KB * 1024);
    assert_true(pair_submit("req-10001", "blue", "batch", 8));
}

static void wait_for_schema_version(int controller) {
    char *record = NULL, key[32];
    struct timespec start = clock_now();
    g_snprintf(key, sizeof key, "format/n%d", controller);
    while (!(record = standin_store_value(key)) && clock_seconds_since(start) < 20)
        clock_sleep(clock_from_seconds(0.01));
    assert_non_null(record);
    g_free(record);
}

/* Checks that no running task was started again: every record was read with the tasks that it was written for. */
static void check_running_jobs(void) {
    bool cancelled = rows[row].event == CANCELLED_AT_NEW || rows[row].event == CANCELLED_AT_OLD;
    assert_int_equal(running_tasks("req-90007", 2) + running_tasks("req-90008", 2), cancelled ? 0 : 4);
    assert_true(all_tasks_run("req-90001", 2, 10) && all_tasks_run("req-90002", WIDE_TASKS, 20) &&
                all_tasks_run("req-90003", 3, 10));
    assert_int_equal(standin_workers_starts_by_prefix("req-90001/"), 2);
    assert_int_equal(standin_workers_starts_by_prefix("req-90002/"), WIDE_TASKS);
    assert_int_equal(standin_workers_starts_by_prefix("req-90003/"), 3);
}

/* Checks that, under the new limits, a wide job array whose record exceeds these limits is cancelled, and that another
 * array of the same width runs. */
static void check_wide_arrays(void) {
    cancel_at(1, "req-90002");
    struct timespec start = clock_now();
    while (running_tasks("req-90002", WIDE_TASKS) > 0 && clock_seconds_since(start) < PAIR_CANCEL_DEADLINE_S)
        clock_sleep(clock_from_seconds(0.05));
    assert_int_equal(running_tasks("req-90002", WIDE_TASKS), 0);
    assert_true(pair_submit("req-90009", "blue", "batch", WIDE_TASKS));
    assert_true(all_tasks_run("req-90009", WIDE_TASKS, 30));
    assert_true(standin_store_largest_value("run/req-90009") <= NEXT_VALUE_KB * 1024);
    assert_true(pair_wait_for_job_state("req-90002", "cancelled", 5));
}

static void jobs_survive_the_upgrade(void **state) {
    (void)state;
    int first = rows[row].first, second = 1 - first;
    standin_store_set_limits(4, 8, 500);
    start_as(0, production_program);
    start_as(1, production_program);
    standin_workers_measure_peak("req-94001/");
    submit_jobs();
    put_record_with_prerequisites();
    pair_kill_controller(first);
    start_as(first, current_program);
    clock_sleep(clock_from_seconds(PAIR_WORKER_LEASE_S * 0.75)); /* the upgraded controller gets a shard meanwhile */
    run_event(first, second);
    assert_true(pair_submit("req-10002", "red", "batch", 8));
    pair_kill_controller(second);
    start_as(second, current_program);
    wait_for_schema_version(second);
    if (!rows[row].limits_lowered_at_once) clock_sleep(clock_from_seconds(4));
    standin_store_set_limits(NEXT_VALUE_KB, NEXT_TXN_OPS, NEXT_WRITE_RPS);
    assert_true(pair_wait_for_job_state("req-10001", "done", 30) && pair_wait_for_job_state("req-10002", "done", 30));
    assert_true(pair_wait_for_job_state("req-10060", "done", 20));
    check_dependencies();
    check_running_jobs();
    check_wide_arrays();
    assert_in_range(standin_workers_peak(), 1, 4);
    assert_int_equal(standin_workers_most_copies(), 1);
    assert_int_equal(standin_workers_restarts(), 0);
    assert_int_equal(standin_store_oversized(), 0);
}

int main(int argc, char **argv) {
    if (test_cases_are_listed(argc, argv)) return test_cases_compare(TEST_CASE_TABLE(rows), argc, argv);
    if (argc < 4 || !test_cases_find(TEST_CASE_TABLE(rows), argv[2], &row)) return 2;
    current_program = argv[1];
    production_program = argv[3];
    pair_set_next_limits(NEXT_LIMITS_JSON);
    if (!pair_start(current_program)) return 2;
    standin_cloud_stop_refusing_rentals();
    const struct CMUnitTest tests[] = {{rows[row].name, jobs_survive_the_upgrade, NULL, NULL, NULL}};
    int failed = cmocka_run_group_tests(tests, NULL, NULL);
    pair_teardown();
    return failed;
}
