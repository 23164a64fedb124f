/* The store refuses one of two controllers, and the other controller confirms cancellations. Then the store is out for
 * both controllers for longer than the cancel deadline, while workers keep sending heartbeats to the refused
 * controller. The tasks of the cancelled jobs must still end by the deadline, tasks of these jobs that had not started
 * must not start, and other jobs run on.
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

#define REFUSAL_BEFORE_OUTAGE_S 0.8 /* shorter than a controller's lease in the store */
/* Times after the confirmation of the cancellations. */
#define STARTS_SETTLED_S 3.5 /* no directive sent before the confirmation starts a task later than this */
#define WORKERS_SWITCH_S 2   /* workers switch to the other controller between these two times */
#define WORKERS_SWITCH_UNTIL_S 2.1
#define COMMANDS_DELAYED_S 6 /* commands are delayed until then, in rows with start_delayed */

static const struct {
    const char *name;
    int leader;
    bool jobs_of_other;     /* the cancelled jobs belong to the other controller's shard */
    bool workers_switch;    /* workers send heartbeats to the other controller from WORKERS_SWITCH_S on */
    bool confirming_killed; /* the controller that confirmed the cancellations is killed right afterwards */
    bool start_delayed;     /* a directive to start is delayed on its way to the machine */
    bool machine_hangs;     /* a machine of a cancelled job hangs, and resumes within its lease */
    bool zone_partitioned;  /* the refused controller is partitioned with the workers of its zone */
    double outage_s;
} rows[] = {
    {"refused_owner_leads", 0, false, false, false, false, false, false, PAIR_CANCEL_DEADLINE_S + 1},
    {"other_controller_leads", 1, false, false, false, false, false, false, PAIR_CANCEL_DEADLINE_S + 1},
    {"workers_switch_controller", 0, false, true, false, false, false, false, PAIR_CANCEL_DEADLINE_S + 1},
    {"confirming_controller_ends", 0, false, false, true, false, false, false, PAIR_CANCEL_DEADLINE_S + 1},
    {"delayed_start", 0, false, false, false, true, false, false, PAIR_CANCEL_DEADLINE_S + 1},
    {"machine_hangs", 0, false, false, false, false, true, false, PAIR_CANCEL_DEADLINE_S + 1},
    {"zone_partition", 1, true, false, false, false, false, true, PAIR_CANCEL_DEADLINE_S + 1},
};
static size_t row;

static const char *task_name(const char *job_id, int index) {
    static char name[64];
    g_snprintf(name, sizeof name, "%s/%d", job_id, index);
    return name;
}

static int running_tasks(const char *job_id, int tasks) {
    int count = 0;
    for (int i = 0; i < tasks; i++) count += standin_workers_running(task_name(job_id, i));
    return count;
}

static void cancel(const char *job_id) {
    char job_state[32] = "";
    pair_cancel_job(1, job_id, 1, job_state, sizeof job_state);
    assert_string_equal(job_state, "cancelled");
}

/* Submits jobs 1 and 2, which the test cancels, and job 3, which runs on. Job 2 fetches its image until long after the
 * outage has begun. */
static void submit_jobs(const char *team) {
    standin_workers_set_fetch_time("req-90002", 6);
    assert_true(pair_submit("req-90001", team, "standing", 2));
    assert_true(pair_submit("req-90003", team, "standing", 1));
    assert_true(pair_wait_for_running_task("req-90001/0", 1, 20) && pair_wait_for_running_task("req-90001/1", 1, 20) &&
                pair_wait_for_running_task("req-90003/0", 1, 20));
    assert_true(pair_submit("req-90002", team, "standing", 1));
    struct timespec start = clock_now();
    while (!standin_workers_holding("req-90002/0") && clock_seconds_since(start) < 10)
        clock_sleep(clock_from_seconds(0.01));
    assert_int_equal(standin_workers_holding("req-90002/0"), 1);
}

/* Submits job 4 with all commands delayed: its allocation is in the store while the directive to start it is still on
 * its way. */
static void submit_with_delayed_start(const char *team) {
    standin_workers_inject(-1, STANDIN_COMMANDS_DELAYED);
    assert_true(pair_submit("req-90004", team, "standing", 1));
    char *record;
    struct timespec start = clock_now();
    while (!(record = standin_store_value("run/req-90004/0")) && clock_seconds_since(start) < 10)
        clock_sleep(clock_from_seconds(0.005));
    assert_non_null(record);
    g_free(record);
}

static void cancel_jobs(void) {
    cancel("req-90001");
    cancel("req-90002");
    if (rows[row].start_delayed) cancel("req-90004");
}

/* Observations up to the cancel deadline. */
struct observations {
    int total_starts;      /* starts of all tasks until STARTS_SETTLED_S; -1: not counted yet */
    int fetching_task_ran; /* 1 if the cancelled task that was fetching its image ran */
};

static struct observations observe_until_deadline(struct timespec confirmed_at, int hanging_machine) {
    struct observations observations = {-1, 0};
    while (clock_seconds_since(confirmed_at) < PAIR_CANCEL_DEADLINE_S) {
        double elapsed = clock_seconds_since(confirmed_at);
        observations.fetching_task_ran |= running_tasks("req-90002", 1);
        if (observations.total_starts < 0 && elapsed > STARTS_SETTLED_S)
            observations.total_starts = standin_workers_starts();
        if (rows[row].workers_switch && elapsed > WORKERS_SWITCH_S && elapsed < WORKERS_SWITCH_UNTIL_S)
            standin_workers_report_to(1);
        if (rows[row].machine_hangs && elapsed > PAIR_WORKER_LEASE_S * 0.8)
            standin_workers_inject(hanging_machine, STANDIN_HEALTHY);
        if (rows[row].start_delayed && elapsed > COMMANDS_DELAYED_S) standin_workers_inject(-1, STANDIN_HEALTHY);
        clock_sleep(clock_from_seconds(0.02));
    }
    return observations;
}

/* Called during the outage, when no controller can commit a new decision. */
static void check_cancelled_jobs(const struct observations *observations) {
    assert_int_equal(running_tasks("req-90001", 2), 0);
    /* A task that is still fetching its image starts by itself when the fetch ends. This is allowed where no controller
     * that knows of the cancellation can reach the machine: then only the bound on answers to users holds. */
    if (!rows[row].confirming_killed && !rows[row].zone_partitioned && !rows[row].start_delayed)
        assert_int_equal(observations->fetching_task_ran, 0);
    assert_int_equal(running_tasks("req-90004", 1), 0);
    assert_int_equal(standin_workers_starts(), observations->total_starts);
}

static void end_faults(void) {
    standin_workers_inject(-1, STANDIN_HEALTHY);
    standin_store_inject(STANDIN_NO_FAULT);
    standin_store_refuse_endpoint(0, false);
    if (rows[row].confirming_killed) pair_start_controller(1);
}

static void cancelled_tasks_end_by_the_deadline(void **state) {
    (void)state;
    assert_true(pair_restart_with_leader(rows[row].leader));
    const char *team = pair_team_owned_by(rows[row].jobs_of_other ? 1 : 0);
    assert_non_null(team);
    submit_jobs(team);
    int hanging_machine = standin_workers_machine_of("req-90001/0");
    assert_true(hanging_machine >= 0);
    if (rows[row].start_delayed) submit_with_delayed_start(team);
    if (!rows[row].zone_partitioned && !rows[row].jobs_of_other) standin_workers_report_to(0);
    standin_store_refuse_endpoint(0, true);
    struct timespec refused_at = clock_now();
    if (rows[row].zone_partitioned) standin_workers_inject(-1, STANDIN_PARTITIONED);
    cancel_jobs();
    struct timespec confirmed_at = clock_now();
    if (rows[row].machine_hangs) standin_workers_inject(hanging_machine, STANDIN_HANGS);
    if (rows[row].confirming_killed) pair_kill_controller(1);
    pair_wait_until_elapsed(refused_at, REFUSAL_BEFORE_OUTAGE_S);
    standin_store_inject(STANDIN_OUTAGE);
    struct timespec outage_began = clock_now();
    struct observations observations = observe_until_deadline(confirmed_at, hanging_machine);
    check_cancelled_jobs(&observations);
    pair_wait_until_elapsed(outage_began, rows[row].outage_s);
    end_faults();
    assert_true(pair_wait_for_running_task("req-90003/0", 1, 20)); /* job 3 was not cancelled */
    assert_int_equal(running_tasks("req-90001", 2) + running_tasks("req-90002", 1) + running_tasks("req-90004", 1), 0);
    assert_int_equal(standin_workers_most_copies(), 1);
    assert_int_equal(standin_workers_restarts(), 0);
}

int main(int argc, char **argv) {
    if (test_cases_are_listed(argc, argv)) return test_cases_compare(TEST_CASE_TABLE(rows), argc, argv);
    if (argc < 3 || !test_cases_find(TEST_CASE_TABLE(rows), argv[2], &row) || !pair_start(argv[1])) return 2;
    standin_cloud_stop_refusing_rentals();
    const struct CMUnitTest tests[] = {{rows[row].name, cancelled_tasks_end_by_the_deadline, NULL, NULL, NULL}};
    int failed = cmocka_run_group_tests(tests, NULL, NULL);
    pair_teardown();
    return failed;
}
