/* A rolling upgrade with real processes: controllers of the version in production and of this one on each other's
 * records, then the lower limits of the state service. No task runs twice, none is lost, every job is answered for,
 * quota limits hold, and no transaction is larger than the lower limits allow.
 *
 * Each run takes one row, since the stand-ins start empty. */
#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../standin/cases.h"
#include "../standin/cloud.h"
#include "../standin/pair.h"
#include "../standin/site.h"
#include "../standin/store.h"
#include "../standin/workers.h"
#include "clock/clock.h"

#define NEXT_LIMITS "{\"write_rps\":400,\"value_kb\":1,\"txn_ops\":4}"
#define NEXT_VALUE_KB 1
#define NEXT_OPS 4
#define NEXT_RPS 400
#define WIDE_TASKS 80 /* of the wide job array: more than a record holds under the next limit */

/* What happens between the upgrades of the two controllers. */
enum event {
    NO_EVENT,
    OLD_RESTARTS,         /* the controller that is still old is killed and restarted at once, as the old version */
    UPGRADED_KILLED,      /* its shards go to the old controller, and back */
    BOTH_RESTART,         /* both are killed and restarted in the versions that they had */
    CANCELLED_AT_NEW,     /* cancellations confirmed by the upgraded controller, carried out by the old one */
    CANCELLED_AT_OLD,     /* and the other way round */
    STORE_OUTAGE,         /* the store is out for a while */
    DELAYED_TRANSACTIONS, /* transactions are carried out late */
};
static const struct {
    const char *name;
    int first; /* which controller is upgraded first */
    enum event event;
    bool limits_at_once; /* they are lowered right after the last upgrade, before any record was rewritten */
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
};
static size_t row;
static const char *old_program, *new_program;

static void start_as(int controller, const char *program) {
    pair_program(controller, program);
    pair_start_controller(controller);
}

static int running(const char *job_id, int tasks) {
    char name[64];
    int count = 0;
    for (int i = 0; i < tasks; i++) {
        g_snprintf(name, sizeof name, "%s/%d", job_id, i);
        count += standin_workers_running(name) == 1;
    }
    return count;
}

static bool all_running(const char *job_id, int tasks, double within) {
    struct timespec start = clock_now();
    while (running(job_id, tasks) != tasks && clock_seconds_since(start) < within) clock_sleep(clock_from_seconds(0.1));
    return running(job_id, tasks) == tasks;
}

static void cancel_at(int controller, const char *job_id) {
    char job_state[32] = "";
    pair_cancel_at(controller, job_id, 10, job_state, sizeof job_state);
    assert_string_equal(job_state, "cancelled");
}

/* Between the two upgrades. */
static void cause_event(int upgraded, int old) {
    switch (rows[row].event) {
        case NO_EVENT:
            break;
        case OLD_RESTARTS:
            pair_kill_controller(old);
            start_as(old, old_program);
            clock_sleep(clock_from_seconds(0.3));
            pair_kill_controller(old);
            start_as(old, old_program);
            break;
        case UPGRADED_KILLED:
            pair_kill_controller(upgraded);
            clock_sleep(clock_from_seconds(
                PAIR_LEASE_S)); /* the old controller takes over all shards and rewrites their records */
            assert_true(pair_submit("req-10003", "red", "batch", 12));
            assert_true(pair_submit("req-10004", "blue", "batch", 12));
            start_as(upgraded, new_program);
            break;
        case BOTH_RESTART:
            pair_kill_controller(0);
            pair_kill_controller(1);
            start_as(old, old_program);
            start_as(upgraded, new_program);
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
    }
    clock_sleep(clock_from_seconds(1.5));
}

/* Dependencies, once all controllers are upgraded. */
static void check_dependencies(void) {
    char job_state[32] = "";
    assert_int_equal(pair_submit_after("req-10040", "red", "batch", 2, "[]"), 201);
    assert_int_equal(pair_submit_after("req-10041", "blue", "batch", 2, "[\"req-10040\"]"), 201);
    assert_int_equal(pair_submit_after("req-10042", "red", "batch", 1, "[\"req-10041\",\"req-10040\"]"), 201);
    struct timespec start = clock_now();
    while (!standin_workers_holding("req-10041/0") && clock_seconds_since(start) < 20)
        clock_sleep(clock_from_seconds(0.01));
    pair_ask(0, "GET", "/work/req-10040", NULL, job_state, sizeof job_state);
    assert_string_equal(job_state, "done");
    assert_true(pair_job_becomes("req-10042", "done", 20));
    assert_int_equal(pair_submit_after("req-10043", "red", "batch", 1, "[\"req-77777\"]"), 422);
    assert_int_equal(pair_submit_after("req-10043", "red", "batch", 1, "[\"req-90001\"]"), 422);
    assert_int_equal(pair_submit_after("req-10043", "red", "batch", 1, "[\"req-10043\"]"), 422);
    assert_int_equal(pair_submit_after("req-10043", "red", "batch", 1, "[7]"), 400);
    /* A job whose prerequisite is cancelled is cancelled, whichever controller is polled. */
    assert_int_equal(pair_submit_after("req-90050", "red", "batch", 1, "[]"), 201);
    assert_int_equal(pair_submit_after("req-10051", "blue", "batch", 1, "[\"req-90050\"]"), 201);
    assert_int_equal(pair_submit_after("req-10052", "red", "batch", 1, "[\"req-10051\"]"), 201);
    cancel_at(0, "req-90050");
    assert_true(pair_job_becomes("req-10052", "cancelled", PAIR_CANCEL_S));
    assert_true(pair_job_becomes("req-10051", "cancelled", PAIR_CANCEL_S));
    assert_int_equal(pair_submit_after("req-10053", "red", "batch", 1, "[\"req-10052\"]"), 201);
    assert_true(pair_job_becomes("req-10053", "cancelled", PAIR_CANCEL_S));
    assert_int_equal(standin_workers_holding("req-10051/0") + standin_workers_holding("req-10053/0"), 0);
}

/* The record of a job with prerequisites in the store while the old version runs, which reads nothing there that it
 * could start, and does not know the job. */
static void put_record_with_prerequisites(void) {
    assert_true(pair_job_becomes("req-10001", "done", 30));
    standin_store_put(
        "job/req-10060",
        "{\"chained_spec\":{\"uid\":\"req-10060\",\"jobclass\":\"c\",\"owner\":\"red\",\"shape\":\"batch\","
        "\"rank\":\"high\",\"tasks\":1,\"vcpus\":1,\"gpus\":0,\"memory_gb\":1,\"image\":\"i\",\"pull_gb\":1,"
        "\"together\":false,\"spread\":false,\"reclaimable\":false,\"runtime_s\":1,\"checkpoint_s\":0,"
        "\"flush_s\":0,\"prereqs\":[\"req-10001\"]},\"state\":\"queued\",\"at\":1}");
    clock_sleep(clock_from_seconds(1.5));
    assert_int_equal(standin_workers_holding("req-10060/0"), 0);
    assert_int_equal(pair_ask_one(1, "GET", "/work/req-10060", NULL, NULL, 0), 404);
}

static void submit_jobs(void) {
    assert_true(pair_submit("req-90001", "red", "standing", 2));
    assert_true(pair_submit("req-90002", "blue", "batch", WIDE_TASKS));
    assert_true(pair_submit("req-90003", "red", "group", 3));
    assert_true(pair_submit("req-90007", "red", "standing", 2));
    assert_true(pair_submit("req-90008", "blue", "standing", 2));
    assert_true(pair_submit("req-94001", "green", "batch", 8)); /* the limit of its team is 4 */
    assert_true(all_running("req-90001", 2, 20) && all_running("req-90002", WIDE_TASKS, 30) &&
                all_running("req-90003", 3, 20) && all_running("req-90007", 2, 20) && all_running("req-90008", 2, 20));
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

/* No task that ran was started again: no record was read as other tasks than it was written for. */
static void check_running_jobs(void) {
    bool cancelled = rows[row].event == CANCELLED_AT_NEW || rows[row].event == CANCELLED_AT_OLD;
    assert_int_equal(running("req-90007", 2) + running("req-90008", 2), cancelled ? 0 : 4);
    assert_true(all_running("req-90001", 2, 10) && all_running("req-90002", WIDE_TASKS, 20) &&
                all_running("req-90003", 3, 10));
    assert_int_equal(standin_workers_starts_by_prefix("req-90001/"), 2);
    assert_int_equal(standin_workers_starts_by_prefix("req-90002/"), WIDE_TASKS);
    assert_int_equal(standin_workers_starts_by_prefix("req-90003/"), 3);
}

/* A wide job array is cancelled under the new limits though its record was too large for them; another is as wide. */
static void check_wide_arrays(void) {
    cancel_at(1, "req-90002");
    struct timespec start = clock_now();
    while (running("req-90002", WIDE_TASKS) > 0 && clock_seconds_since(start) < PAIR_CANCEL_S)
        clock_sleep(clock_from_seconds(0.05));
    assert_int_equal(running("req-90002", WIDE_TASKS), 0);
    assert_true(pair_submit("req-90009", "blue", "batch", WIDE_TASKS));
    assert_true(all_running("req-90009", WIDE_TASKS, 30));
    assert_true(standin_store_largest_value("run/req-90009") <= NEXT_VALUE_KB * 1024);
    assert_true(pair_job_becomes("req-90002", "cancelled", 5));
}

static void jobs_survive_the_upgrade(void **state) {
    (void)state;
    int first = rows[row].first, second = 1 - first;
    standin_store_set_limits(4, 8, 500);
    start_as(0, old_program);
    start_as(1, old_program);
    standin_workers_measure_peak("req-94001/");
    submit_jobs();
    put_record_with_prerequisites();
    pair_kill_controller(first);
    start_as(first, new_program);
    clock_sleep(clock_from_seconds(PAIR_LEASE_S * 0.75)); /* a shard is given to it */
    cause_event(first, second);
    assert_true(pair_submit("req-10002", "red", "batch", 8));
    pair_kill_controller(second);
    start_as(second, new_program);
    wait_for_schema_version(second);
    if (!rows[row].limits_at_once) clock_sleep(clock_from_seconds(4));
    standin_store_set_limits(NEXT_VALUE_KB, NEXT_OPS, NEXT_RPS);
    assert_true(pair_job_becomes("req-10001", "done", 30) && pair_job_becomes("req-10002", "done", 30));
    assert_true(pair_job_becomes("req-10060", "done", 20));
    check_dependencies();
    check_running_jobs();
    check_wide_arrays();
    assert_in_range(standin_workers_peak(), 1, 4);
    assert_int_equal(standin_workers_most_copies(), 1);
    assert_int_equal(standin_store_oversized(), 0);
}

int main(int argc, char **argv) {
    if (cases_are_listed(argc, argv)) return cases_compare(CASES(rows), argc, argv);
    if (argc < 4 || !cases_find(CASES(rows), argv[2], &row)) return 2;
    new_program = argv[1];
    old_program = argv[3];
    pair_next_limits(NEXT_LIMITS);
    if (!pair_start(new_program)) return 2;
    standin_cloud_refuse_no_rental();
    const struct CMUnitTest tests[] = {{rows[row].name, jobs_survive_the_upgrade, NULL, NULL, NULL}};
    int failed = cmocka_run_group_tests(tests, NULL, NULL);
    pair_clear();
    return failed;
}
