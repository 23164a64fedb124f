/* A controller process is paused while its clocks run on, and resumed later. Meanwhile the other controller confirms
 * cancellations and takes over its shards; in one row the store is out as well. After it resumes, the paused
 * controller must not act on decisions or reads from before the pause: no answers to polls, no starts of tasks, no
 * returns of machines.
 *
 * Each process runs one row, because every row needs stand-ins that start empty. */
#include <glib.h>
#include <pthread.h>
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
#include "sync/sync.h"

static const struct {
    const char *name;
    int leader;
    double paused_s;
    double outage_s;   /* duration of a store outage that begins with the pause; 0: none */
    bool paused_twice; /* the second pause begins 0.3 s after the first ends */
} rows[] = {
    {"shorter_than_lease", 0, 1.5, 0, false},
    {"longer_than_lease_as_leader", 0, 6, 0, false},
    {"longer_than_cancel_deadline", 1, PAIR_CANCEL_DEADLINE_S + 2, 0, false},
    {"store_outage_at_resume", 0, 4, 6, false},
    {"paused_twice", 0, 5, 0, true},
};
static size_t row;

/* A thread that polls the paused controller for the state of the cancelled job. */
static struct poller {
    pthread_mutex_t lock;
    bool confirmed; /* the other controller has confirmed the cancellation to the user */
    bool finished;
    int answers, stale_answers; /* since the confirmation */
} poller = {.lock = PTHREAD_MUTEX_INITIALIZER};

static bool poller_get(const bool *flag) {
    pthread_mutex_lock(&poller.lock);
    bool value = *flag;
    pthread_mutex_unlock(&poller.lock);
    return value;
}

static void poller_set(bool *flag) {
    pthread_mutex_lock(&poller.lock);
    *flag = true;
    pthread_mutex_unlock(&poller.lock);
}

static void *poller_main(void *arg) {
    (void)arg;
    while (!poller_get(&poller.finished)) {
        char job_state[32] = "";
        bool confirmed = poller_get(&poller.confirmed);
        long status = pair_request(0, "GET", "/work/req-90001", NULL, job_state, sizeof job_state);
        pthread_mutex_lock(&poller.lock);
        poller.answers += confirmed && status == 200;
        poller.stale_answers += confirmed && status == 200 && strcmp(job_state, "cancelled") != 0;
        pthread_mutex_unlock(&poller.lock);
        clock_sleep(clock_from_seconds(0.01));
    }
    return NULL;
}

static void cancel_at_other_controller(const char *job_id) {
    char job_state[32] = "";
    pair_cancel_job(1, job_id, 10, job_state, sizeof job_state);
    assert_string_equal(job_state, "cancelled");
}

/* Submits jobs 1 and 2, which the test cancels, and job 3, which runs on. Job 2 is still fetching its image when it is
 * cancelled. */
static void submit_jobs(const char *team) {
    standin_workers_set_fetch_time("req-90002", 4);
    assert_true(pair_submit("req-90001", team, "standing", 2));
    assert_true(pair_submit("req-90003", team, "standing", 1));
    assert_true(pair_wait_for_running_task("req-90001/0", 1, 20) && pair_wait_for_running_task("req-90001/1", 1, 20) &&
                pair_wait_for_running_task("req-90003/0", 1, 20));
    assert_true(pair_submit("req-90002", team, "standing", 1));
}

/* Begins the row's store outage, if any, then resumes the controller and ends the outage at the row's times, counted
 * from the pause. */
static void run_pause_and_outage(struct timespec paused_at) {
    if (rows[row].outage_s > 0) standin_store_inject(STANDIN_OUTAGE);
    pair_wait_until_elapsed(paused_at, rows[row].paused_s);
    pair_resume_controller(0);
    if (rows[row].paused_twice) {
        pair_wait_until_elapsed(paused_at, rows[row].paused_s + 0.3);
        pair_pause_controller(0);
        pair_wait_until_elapsed(paused_at, 2 * rows[row].paused_s);
        pair_resume_controller(0);
    }
    if (rows[row].outage_s > 0) {
        pair_wait_until_elapsed(paused_at, rows[row].outage_s);
        standin_store_inject(STANDIN_NO_FAULT);
    }
}

/* The resumed controller answers again, and never with the state from before the pause. */
static void check_resumed_controller_answers(void) {
    struct timespec start = clock_now();
    int answers_before = poller.answers;
    while (clock_seconds_since(start) < 15 && poller.answers == answers_before) clock_sleep(clock_from_seconds(0.05));
    poller_set(&poller.finished);
    assert_true(poller.answers > answers_before);
    assert_int_equal(poller.stale_answers, 0);
}

static void resumed_controller_ignores_stale_state(void **state) {
    (void)state;
    assert_true(pair_restart_with_leader(rows[row].leader));
    const char *team = pair_team_owned_by(0);
    assert_non_null(team);
    submit_jobs(team);
    int starts_before = standin_workers_starts_by_prefix("req-90003");
    sync_start_thread(poller_main, NULL);
    pair_pause_controller(0);
    struct timespec paused_at = clock_now();
    cancel_at_other_controller("req-90001");
    cancel_at_other_controller("req-90002");
    struct timespec confirmed_at = clock_now();
    poller_set(&poller.confirmed);
    run_pause_and_outage(paused_at);
    pair_wait_until_elapsed(confirmed_at, PAIR_CANCEL_DEADLINE_S);
    int still_running = standin_workers_running("req-90001/0") + standin_workers_running("req-90001/1") +
                        standin_workers_running("req-90002/0");
    assert_int_equal(still_running, 0);
    check_resumed_controller_answers();
    assert_true(pair_wait_for_running_task("req-90003/0", 1, 20));
    assert_int_equal(standin_workers_most_copies(), 1);
    assert_int_equal(standin_workers_restarts(), 0);
    /* The machine of job 3 was not treated as silent, so its task was not started again. During a store outage the
     * machine's lease may have expired. */
    if (rows[row].outage_s <= 0) assert_int_equal(standin_workers_starts_by_prefix("req-90003"), starts_before);
}

int main(int argc, char **argv) {
    if (test_cases_are_listed(argc, argv)) return test_cases_compare(TEST_CASE_TABLE(rows), argc, argv);
    if (argc < 3 || !test_cases_find(TEST_CASE_TABLE(rows), argv[2], &row) || !pair_start(argv[1])) return 2;
    standin_cloud_stop_refusing_rentals();
    const struct CMUnitTest tests[] = {{rows[row].name, resumed_controller_ignores_stale_state, NULL, NULL, NULL}};
    int failed = cmocka_run_group_tests(tests, NULL, NULL);
    pair_teardown();
    return failed;
}
