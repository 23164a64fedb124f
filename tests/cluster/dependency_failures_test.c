/* Dependencies between jobs with two real controllers: a prerequisite that the other controller accepted shortly
 * before, a cancellation during completion, an owner killed between two jobs, and cancellations followed by a store
 * outage. No job starts before the records of its prerequisites are in the state `done`. A job whose prerequisite is
 * cancelled is cancelled too, and every poll returns that state.
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

#define DEPENDENT_TIMEOUT_S 20.0 /* for a job to be done after its prerequisite, whatever fails */
#define SPEC_BYTES 640
#define JOB_ID_BYTES 32

static bool record_has_state(const char *job_id, const char *state) {
    char key[64], state_field[64];
    g_snprintf(key, sizeof key, "job/%s", job_id);
    g_snprintf(state_field, sizeof state_field, "\"state\":\"%s\"", state);
    char *text = standin_store_value(key);
    bool has_state = text && strstr(text, state_field);
    g_free(text);
    return has_state;
}

static bool first_task_is_held(const char *job_id) {
    char task[64];
    g_snprintf(task, sizeof task, "%s/0", job_id);
    return standin_workers_holding(task) > 0;
}

/* Waits until the dependent job is done; fails if its task started before the prerequisite's record had the state
 * `done`. */
static void check_starts_after_prerequisite(const char *prerequisite, const char *dependent) {
    struct timespec start = clock_now();
    char task[64];
    while (!record_has_state(dependent, "done") && clock_seconds_since(start) < DEPENDENT_TIMEOUT_S)
        clock_sleep(clock_from_seconds(0.02));
    if (!record_has_state(dependent, "done")) fail_msg("%s was not done in time after %s", dependent, prerequisite);
    g_snprintf(task, sizeof task, "%s/0", dependent);
    struct timespec started_at = standin_workers_first_start(task),
                    prerequisite_done_at = standin_store_job_done_at(prerequisite);
    assert_true(started_at.tv_sec > 0 && prerequisite_done_at.tv_sec > 0);
    if (clock_to_seconds(started_at) < clock_to_seconds(prerequisite_done_at))
        fail_msg("%s started before %s was done", dependent, prerequisite);
}

static void submit_with_prerequisites(const char *job_id, const char *team, const char *prereqs) {
    assert_int_equal(pair_submit_with_prerequisites(job_id, team, "batch", 1, prereqs) / 100, 2);
}

/* Polls both controllers until each has answered that the job is cancelled; fails if one answers with another state. */
static void check_polls_return_cancelled(const char *job_id, double within_s) {
    char path[64], job_state[32];
    struct timespec start = clock_now();
    bool answered[2] = {false, false};
    g_snprintf(path, sizeof path, "/work/%s", job_id);
    while (!(answered[0] && answered[1]) && clock_seconds_since(start) < within_s)
        for (int i = 0; i < 2; i++) {
            if (pair_request(i, "GET", path, NULL, job_state, sizeof job_state) != 200) {
                clock_sleep(clock_from_seconds(0.02));
                continue;
            }
            if (strcmp(job_state, "cancelled") != 0) fail_msg("%s is %s according to n%d", job_id, job_state, i);
            answered[i] = true;
        }
    if (!answered[0] || !answered[1]) fail_msg("a controller did not answer that %s is cancelled", job_id);
}

static void write_spec(char *spec, const char *job_id, const char *team, const char *prereqs) {
    g_snprintf(spec, SPEC_BYTES,
               "{\"uid\":\"%s\",\"jobclass\":\"c\",\"owner\":\"%s\",\"shape\":\"batch\",\"rank\":\"high\","
               "\"tasks\":1,\"vcpus\":1,\"gpus\":0,\"memory_gb\":1,\"image\":\"i\",\"pull_gb\":1,"
               "\"together\":false,\"spread\":false,\"reclaimable\":false,\"runtime_s\":1,\"checkpoint_s\":0,"
               "\"flush_s\":0,\"prereqs\":%s}",
               job_id, team, prereqs);
}

static bool is_retryable(long status) { return status == 0 || status >= 429; }

/* Submits a job to this controller only, with retries until the job is accepted; fails if the job is rejected. */
static void submit_to(int controller, const char *spec) {
    long status = 0;
    for (int attempt = 0; attempt < 100 && is_retryable(status); attempt++) {
        status = pair_request(controller, "POST", "/work", spec, NULL, 0);
        if (is_retryable(status)) clock_sleep(clock_from_seconds(0.05));
    }
    assert_int_equal(status / 100, 2);
}

/* A job is not rejected for an unknown prerequisite if the other controller accepted that prerequisite shortly
 * before. */
static void prerequisite_accepted_elsewhere_is_known(void) {
    enum { PAIRS = 20 };
    char prerequisite[PAIRS][JOB_ID_BYTES], dependent[PAIRS][JOB_ID_BYTES], prereqs[40], spec[SPEC_BYTES];
    for (int i = 0; i < PAIRS; i++) {
        g_snprintf(prerequisite[i], JOB_ID_BYTES, "req-110%02d", i);
        g_snprintf(dependent[i], JOB_ID_BYTES, "req-120%02d", i);
        g_snprintf(prereqs, sizeof prereqs, "[\"%s\"]", prerequisite[i]);
        write_spec(spec, prerequisite[i], "red", "[]");
        submit_to(i % 2, spec);
        write_spec(spec, dependent[i], "blue", prereqs);
        submit_to((i + 1) % 2, spec);
    }
    for (int i = 0; i < PAIRS; i++) check_starts_after_prerequisite(prerequisite[i], dependent[i]);
}

/* A job's last task ends while the job is cancelled, and a dependent job is submitted: either the first is done and the
 * dependent runs after it, or both are cancelled. */
static void cancellation_during_completion_has_one_outcome(void) {
    char prerequisite[32], dependent[32], prereqs[40], job_state[32];
    for (int i = 0; i < 8; i++) {
        g_snprintf(prerequisite, sizeof prerequisite, "req-1300%d", i);
        g_snprintf(dependent, sizeof dependent, "req-1400%d", i);
        g_snprintf(prereqs, sizeof prereqs, "[\"%s\"]", prerequisite);
        submit_with_prerequisites(prerequisite, "red", "[]");
        struct timespec start = clock_now();
        while (!first_task_is_held(prerequisite) && clock_seconds_since(start) < DEPENDENT_TIMEOUT_S)
            clock_sleep(clock_from_seconds(0.005));
        /* The task runs for 0.6 s; the next heartbeat reports its end. */
        clock_sleep(clock_from_seconds(0.5 + 0.1 * i));
        pair_cancel_job(i % 2, prerequisite, 5, job_state, sizeof job_state);
        submit_with_prerequisites(dependent, "blue", prereqs);
        if (strcmp(job_state, "done") == 0) {
            check_starts_after_prerequisite(prerequisite, dependent);
        } else {
            assert_string_equal(job_state, "cancelled");
            check_polls_return_cancelled(dependent, PAIR_CANCEL_DEADLINE_S);
            assert_int_equal(standin_workers_starts_by_prefix(dependent), 0);
        }
    }
}

static int owner_of(const char *team) {
    return pair_team_owned_by(0) && strcmp(pair_team_owned_by(0), team) == 0 ? 0 : 1;
}

enum delivery { PROMPT, DELAYED };

/* The controller that owns the jobs' shard is killed between the end of a job and the start of a dependent job, in one
 * case while the controller's last transactions and commands are delayed. */
static void dependencies_survive_owner_kill(enum delivery last_writes) {
    submit_with_prerequisites("req-15001", "red", "[]");
    submit_with_prerequisites("req-15002", "red", "[\"req-15001\"]");
    submit_with_prerequisites("req-15003", "blue", "[\"req-15002\",\"req-15001\"]");
    struct timespec start = clock_now();
    while (!first_task_is_held("req-15001") && clock_seconds_since(start) < DEPENDENT_TIMEOUT_S)
        clock_sleep(clock_from_seconds(0.005));
    if (last_writes == DELAYED) {
        standin_store_delay_transactions(1);
        standin_workers_inject(-1, STANDIN_COMMANDS_DELAYED);
    }
    while (!record_has_state("req-15001", "done") && clock_seconds_since(start) < DEPENDENT_TIMEOUT_S)
        clock_sleep(clock_from_seconds(0.002));
    int owner = owner_of("red");
    pair_kill_controller(owner);
    if (last_writes == DELAYED) {
        clock_sleep(clock_from_seconds(PAIR_WORKER_LEASE_S * 0.75));
        standin_workers_inject(-1, STANDIN_HEALTHY);
        standin_store_delay_transactions(0);
    }
    pair_start_controller(owner);
    check_starts_after_prerequisite("req-15001", "req-15002");
    check_starts_after_prerequisite("req-15001", "req-15003");
    check_starts_after_prerequisite("req-15002", "req-15003");
    assert_int_equal(standin_workers_most_copies(), 1);
}

static void owner_killed_between_jobs(void) { dependencies_survive_owner_kill(PROMPT); }
static void owner_killed_with_delayed_writes(void) { dependencies_survive_owner_kill(DELAYED); }

enum confirming_controller { CONFIRMING_RUNS_ON, CONFIRMING_KILLED };

/* The first job of a chain is cancelled, then the store is out for longer than the cancel deadline. */
static void cancellation_cascades_after_outage(enum confirming_controller confirming_controller) {
    char job_state[32] = "";
    submit_with_prerequisites("req-96001", "red", "[]"); /* runs until it is cancelled */
    submit_with_prerequisites("req-16002", "blue", "[\"req-96001\"]");
    submit_with_prerequisites("req-16003", "red", "[\"req-16002\"]");
    submit_with_prerequisites("req-16004", "blue", "[]"); /* has no prerequisites */
    struct timespec start = clock_now();
    while (!first_task_is_held("req-96001") && clock_seconds_since(start) < DEPENDENT_TIMEOUT_S)
        clock_sleep(clock_from_seconds(0.005));
    pair_cancel_job(0, "req-96001", 5, job_state, sizeof job_state);
    standin_store_inject(STANDIN_OUTAGE);
    struct timespec outage_began = clock_now();
    assert_string_equal(job_state, "cancelled");
    if (confirming_controller == CONFIRMING_KILLED) pair_kill_controller(0);
    pair_wait_until_elapsed(outage_began, PAIR_CANCEL_DEADLINE_S + 1);
    assert_false(first_task_is_held("req-96001"));
    if (confirming_controller == CONFIRMING_KILLED) pair_start_controller(0);
    standin_store_inject(STANDIN_NO_FAULT);
    check_polls_return_cancelled("req-16002", 10);
    check_polls_return_cancelled("req-16003", 10);
    submit_with_prerequisites("req-16005", "red", "[\"req-16003\"]");
    check_polls_return_cancelled("req-16005", 5);
    assert_int_equal(standin_workers_starts_by_prefix("req-16002/") + standin_workers_starts_by_prefix("req-16003/") +
                         standin_workers_starts_by_prefix("req-16005/"),
                     0);
    assert_true(pair_wait_for_job_state("req-16004", "done", DEPENDENT_TIMEOUT_S));
}

static void outage_after_cancellation(void) { cancellation_cascades_after_outage(CONFIRMING_RUNS_ON); }
static void outage_and_confirming_killed(void) { cancellation_cascades_after_outage(CONFIRMING_KILLED); }

/* During a store outage a controller answers 503, not 422, to a job whose prerequisite it does not know. A repeated
 * submission of a known job is answered with the job's state, whatever its prerequisites. */
static void unknown_prerequisite_is_refused_after_outage_only(void) {
    char spec[SPEC_BYTES], job_state[32] = "";
    submit_with_prerequisites("req-17001", "red", "[]");
    assert_true(pair_wait_for_job_state("req-17001", "done", DEPENDENT_TIMEOUT_S));
    write_spec(spec, "req-17001", "red", "[\"req-77777\"]");
    assert_int_equal(pair_request(0, "POST", "/work", spec, job_state, sizeof job_state), 200);
    assert_string_equal(job_state, "done");
    write_spec(spec, "req-17002", "red", "[\"req-77777\"]");
    standin_store_inject(STANDIN_OUTAGE);
    assert_int_equal(pair_request(0, "POST", "/work", spec, job_state, sizeof job_state), 503);
    clock_sleep(clock_from_seconds(3.5));
    assert_int_equal(pair_request(0, "POST", "/work", spec, job_state, sizeof job_state), 503);
    standin_store_inject(STANDIN_NO_FAULT);
    long status = 503;
    struct timespec start = clock_now();
    while (status == 503 && clock_seconds_since(start) < 10)
        status = pair_request(0, "POST", "/work", spec, job_state, sizeof job_state);
    assert_int_equal(status, 422);
}

static const struct {
    const char *name;
    void (*run)(void);
} rows[] = {
    {"prerequisite_just_accepted_elsewhere", prerequisite_accepted_elsewhere_is_known},
    {"completion_meets_cancellation", cancellation_during_completion_has_one_outcome},
    {"owner_ends_between_stages", owner_killed_between_jobs},
    {"owner_ends_with_delayed_writes", owner_killed_with_delayed_writes},
    {"cancelled_then_store_outage", outage_after_cancellation},
    {"confirming_controller_ends_in_outage", outage_and_confirming_killed},
    {"unknown_prerequisite_in_outage", unknown_prerequisite_is_refused_after_outage_only},
};
static size_t row;

static void run_case(void **state) {
    (void)state;
    assert_true(pair_restart_with_leader(0));
    rows[row].run();
    assert_int_equal(standin_workers_restarts(), 0);
}

int main(int argc, char **argv) {
    if (test_cases_are_listed(argc, argv)) return test_cases_compare(TEST_CASE_TABLE(rows), argc, argv);
    if (argc < 3 || !test_cases_find(TEST_CASE_TABLE(rows), argv[2], &row) || !pair_start(argv[1])) return 2;
    standin_cloud_stop_refusing_rentals();
    const struct CMUnitTest tests[] = {{rows[row].name, run_case, NULL, NULL, NULL}};
    int failed = cmocka_run_group_tests(tests, NULL, NULL);
    pair_teardown();
    return failed;
}
