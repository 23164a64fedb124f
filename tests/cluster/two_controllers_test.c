/* Two controllers as real processes against the stand-ins: the store refuses one controller, both restart during an
 * election, and both are killed with a full backlog. */
#include <glib.h>
#include <string.h>
#include <time.h>

#include "../standin/controller_pair.h"
#include "../standin/store.h"
#include "../standin/test_settings.h"
#include "../standin/workers.h"
#include "clock/clock.h"

#define UNKNOWN_JOB_GAP_S 1e9 /* longer than any measured gap */
/* The protocol allows 75 s without an answer about a job; all times of this test are a fifth of the protocol's. */
#define MAX_ANSWER_GAP_S 15

/* The store refuses the first controller, which sees no peer either, while workers still reach it. The tasks of jobs
 * whose cancellation the second controller confirms end by the cancel deadline, and the first one stops answering
 * heartbeats a worker's lease before that. */
static void controller_refused_by_store_stops_answering(void **state) {
    (void)state;
    char job_state[32];
    assert_true(pair_submit("req-90001", "red", "standing", 2));
    assert_true(pair_submit("req-90002", "blue", "standing", 2));
    assert_true(pair_wait_for_running_task("req-90001/1", 1, 20) && pair_wait_for_running_task("req-90002/1", 1, 20));
    standin_store_refuse_endpoint(0, true);
    struct timespec refused_at = clock_now();
    assert_int_equal(pair_request_either(1, "POST", "/work/req-90001/cancel", "{}", job_state, sizeof job_state), 200);
    assert_int_equal(pair_request_either(1, "POST", "/work/req-90002/cancel", "{}", job_state, sizeof job_state), 200);
    struct timespec confirmed_at = clock_now();
    assert_string_equal(job_state, "cancelled");
    pair_wait_until_elapsed(refused_at, PAIR_CANCEL_DEADLINE_S - PAIR_WORKER_LEASE_S);
    const char *heartbeat =
        "{\"host\":\"i-000000\",\"address\":\"127.0.0.1:18300\",\"flavour\":\"g4\",\"site\":\"za\","
        "\"tenure\":1,\"seq\":1,\"fence\":0,\"tasks\":[]}";
    long status = pair_request(0, "POST", "/checkin", heartbeat, NULL, 0);
    assert_true(status == 421 || status == 503);
    pair_wait_until_elapsed(confirmed_at, PAIR_CANCEL_DEADLINE_S);
    for (int i = 0; i < 2; i++) {
        char task[32];
        g_snprintf(task, sizeof task, "req-90001/%d", i);
        assert_int_equal(standin_workers_running(task), 0);
        g_snprintf(task, sizeof task, "req-90002/%d", i);
        assert_int_equal(standin_workers_running(task), 0);
    }
    standin_store_refuse_endpoint(0, false);
    assert_int_equal(standin_workers_most_copies(), 1);
    assert_int_equal(standin_workers_restarts(), 0);
}

/* Polls the jobs in turn for the given seconds. Returns the longest time in seconds for which any job had no answer,
 * or UNKNOWN_JOB_GAP_S if a poll got 404. */
static double longest_answer_gap(char job_ids[][32], int n_jobs, double duration_s) {
    struct timespec start = clock_now(), last_answered[64];
    double longest = 0;
    for (int i = 0; i < n_jobs; i++) last_answered[i] = start;
    while (clock_seconds_since(start) < duration_s)
        for (int i = 0; i < n_jobs; i++) {
            char path[64], job_state[32];
            g_snprintf(path, sizeof path, "/work/%s", job_ids[i]);
            long status = pair_request_either(i % 2, "GET", path, NULL, job_state, sizeof job_state);
            longest = status == 404 ? UNKNOWN_JOB_GAP_S : MAX(longest, clock_seconds_since(last_answered[i]));
            if (status == 200) last_answered[i] = clock_now();
            if (status != 200) clock_sleep(clock_from_seconds(0.05));
        }
    for (int i = 0; i < n_jobs; i++) longest = MAX(longest, clock_seconds_since(last_answered[i]));
    return longest;
}

/* The first controller is killed and restarted at once, twice in a row, and the second during the election that
 * follows. */
static void controllers_restart_during_election(void **state) {
    (void)state;
    char job_ids[1][32] = {"req-90003"};
    assert_true(pair_submit(job_ids[0], "red", "standing", 3));
    assert_true(pair_wait_for_running_task("req-90003/2", 1, 20));
    assert_true(pair_submit("req-10004", "blue", "batch", 12));
    pair_kill_controller(0);
    pair_start_controller(0);
    clock_sleep(clock_from_seconds(0.3));
    pair_kill_controller(0);
    pair_start_controller(0);
    clock_sleep(clock_from_seconds(0.2));
    pair_kill_controller(1);
    pair_start_controller(1);
    assert_true(longest_answer_gap(job_ids, 1, 8) < MAX_ANSWER_GAP_S);
    char job_state[32] = "";
    struct timespec start = clock_now();
    while (strcmp(job_state, "done") != 0 && clock_seconds_since(start) < 30) {
        pair_request_either(0, "GET", "/work/req-10004", NULL, job_state, sizeof job_state);
        clock_sleep(clock_from_seconds(0.1));
    }
    assert_string_equal(job_state, "done");
    assert_true(pair_wait_for_running_task("req-90003/0", 1, 10) && pair_wait_for_running_task("req-90003/1", 1, 10) &&
                pair_wait_for_running_task("req-90003/2", 1, 10));
    assert_int_equal(standin_workers_most_copies(), 1);
    assert_int_equal(standin_workers_restarts(), 0);
}

/* Both controllers are killed with a full backlog and restarted: every accepted job is still known, and every poll is
 * answered within MAX_ANSWER_GAP_S. */
static void backlog_survives_kill_of_both_controllers(void **state) {
    (void)state;
    enum { JOBS = 60 };
    static char job_ids[JOBS][32];
    for (int i = 0; i < JOBS; i++) {
        g_snprintf(job_ids[i], sizeof job_ids[i], "req-95%03d", i);
        assert_true(pair_submit(job_ids[i], i % 2 ? "red" : "blue", "standing", 8));
    }
    pair_kill_controller(0);
    pair_kill_controller(1);
    pair_start_controller(0);
    pair_start_controller(1);
    double gap = longest_answer_gap(job_ids, JOBS, 10);
    if (gap >= MAX_ANSWER_GAP_S) fail_msg("a job had no answer for %.1f s", gap);
    assert_int_equal(standin_workers_most_copies(), 1);
    assert_int_equal(standin_workers_restarts(), 0);
}

int main(int argc, char **argv) {
    if (argc < 2 || !pair_start(argv[1])) return 2;
    pair_start_controller(0);
    pair_start_controller(1);
    const struct CMUnitTest tests[] = {cmocka_unit_test(controller_refused_by_store_stops_answering),
                                       cmocka_unit_test(controllers_restart_during_election),
                                       cmocka_unit_test(backlog_survives_kill_of_both_controllers)};
    int failed = cmocka_run_group_tests(tests, NULL, NULL);
    pair_teardown();
    return failed;
}
