/* Divided teams with three real controllers. Whatever fails, the tasks on machines never exceed a team's limit, no team
 * stays below its guarantee for long while it has work that fits, no task is on two machines, and every job ends. These
 * rules are checked against the workers' log of their tasks, not against the controllers' allocations.
 *
 * Each process runs one row, because every row needs stand-ins that start empty. */
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../standin/cloud.h"
#include "../standin/cluster.h"
#include "../standin/history.h"
#include "../standin/store.h"
#include "../standin/test_cases.h"
#include "../standin/test_settings.h"
#include "../standin/workers.h"
#include "clock/clock.h"

#define CONTROLLERS 3
#define LIMIT_GPUS 12.0
#define LOWER_LIMIT_GPUS 6.0
#define GUARANTEE_GPUS 4.0
#define TEAMS_JSON_WITH_RED_LIMIT(red_limit)                                          \
    "[{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0,\"gpus\":4,\"gpus_max\":" red_limit \
    "},"                                                                              \
    "{\"name\":\"blue\",\"cpus\":0,\"cpus_max\":0,\"gpus\":4,\"gpus_max\":12},"       \
    "{\"name\":\"green\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":0}]"
#define TEAMS_JSON TEAMS_JSON_WITH_RED_LIMIT("12")
#define TEAMS_JSON_LOWER_LIMIT TEAMS_JSON_WITH_RED_LIMIT("6")
#define DIVIDED_QUOTA_FILE \
    "gather_s = 5\ndivide = ( { team = \"red\", shares = 3 }, { team = \"blue\", shares = 3 } )\n"
#define UNDIVIDED_QUOTA_FILE "divide = ( { team = \"*\", shares = 1 } )\n"
#define GUARANTEE_TIMEOUT_S 12.0 /* covers a controller's lease (2.5 s), a worker's (4 s) and the boot of machines */

static void submit(int controller, const struct cluster_job *job) {
    assert_int_equal(cluster_submit(controller, job) / 100, 2);
    history_add_accepted_job(history_log(), history_now(), job->job_id, job->team, job->tasks, job->gpus);
}

static void submit_red(int controller, const char *job_id, const char *shape, int tasks) {
    submit(controller, &(struct cluster_job){job_id, "red", shape, "normal", tasks, 2, 1, NULL});
}

static void cancel(int controller, const char *job_id) {
    assert_int_equal(cluster_cancel_job(controller, job_id, 20), 200);
    history_add_cancelled_job(history_log(), history_now(), job_id);
}

/* Jobs of one team that one thread submits at one controller: every fourth is a gang of 4 tasks, the others are job
 * arrays of 3. */
#define BURST_JOBS 8
struct burst {
    int controller, serial; /* the serial tells the bursts of one test apart in their job ids */
    const char *team;
    bool accepted;
};

static void burst_job_id(const struct burst *burst, int index, char *job_id, size_t size) {
    g_snprintf(job_id, size, "req-1%d%d%02d", burst->serial, burst->controller, index);
}

static void *burst_main(void *arg) {
    struct burst *burst = arg;
    burst->accepted = true;
    for (int n = 0; n < BURST_JOBS; n++) {
        char id[32];
        bool gang = n % 4 == 3;
        burst_job_id(burst, n, id, sizeof id);
        const struct cluster_job job = {id, burst->team, gang ? "group" : "batch", "normal", gang ? 4 : 3, 2, 1, NULL};
        if (cluster_submit(burst->controller, &job) / 100 == 2)
            history_add_accepted_job(history_log(), history_now(), id, burst->team, job.tasks, job.gpus);
        else
            burst->accepted = false;
    }
    return NULL;
}

/* Submits a burst at every controller at the same time and waits until all jobs are accepted. Together they need more
 * than six times the team's limit. */
static void submit_bursts(struct burst *bursts, const char *team, int serial) {
    pthread_t threads[CONTROLLERS];
    for (int i = 0; i < CONTROLLERS; i++) {
        bursts[i] = (struct burst){i, serial, team, false};
        assert_int_equal(pthread_create(&threads[i], NULL, burst_main, &bursts[i]), 0);
    }
    for (int i = 0; i < CONTROLLERS; i++) pthread_join(threads[i], NULL);
    for (int i = 0; i < CONTROLLERS; i++) assert_true(bursts[i].accepted);
}

static void check_bursts_are_done(const struct burst *bursts) {
    for (int i = 0; i < CONTROLLERS; i++)
        for (int n = 0; n < BURST_JOBS; n++) {
            char job_id[32];
            burst_job_id(&bursts[i], n, job_id, sizeof job_id);
            if (!cluster_wait_for_job_state(job_id, "done", 60)) fail_msg("%s is not done", job_id);
        }
}

static void burst_at_every_controller(void) {
    struct burst red[CONTROLLERS];
    submit_bursts(red, "red", 0);
    check_bursts_are_done(red);
    assert_true(history_peak_gpus(history_log(), "red") >
                LIMIT_GPUS / 2); /* the limit is not only kept but also used */
}

/* Begins a fault while one burst runs, submits another burst during the fault, and checks that all jobs end. */
static void run_burst_with_fault(void (*begin_fault)(void), double fault_s, void (*end_fault)(void)) {
    struct burst before[CONTROLLERS], during[CONTROLLERS];
    submit_bursts(before, "red", 0);
    struct timespec fault_began = clock_now();
    begin_fault();
    submit_bursts(during, "red", 1);
    cluster_wait_until_elapsed(fault_began, fault_s);
    if (end_fault) end_fault();
    check_bursts_are_done(before);
    check_bursts_are_done(during);
}

static void kill_second_controller(void) { cluster_kill_controller(1); }
static void start_second_controller(void) { cluster_start_controller(1); }
static void restart_second_controller_twice(void) {
    for (int n = 0; n < 2; n++) {
        cluster_kill_controller(1);
        cluster_start_controller(1);
        clock_sleep(clock_from_seconds(0.3));
    }
}
static void pause_second_controller(void) { cluster_pause_controller(1); }
static void resume_second_controller(void) { cluster_resume_controller(1); }
static void refuse_first_at_store(void) { cluster_refuse_store(0, true); }
static void admit_first_at_store(void) { cluster_refuse_store(0, false); }
static void refuse_second_at_store(void) { cluster_refuse_store(1, true); }
static void admit_second_at_store(void) { cluster_refuse_store(1, false); }
static void delay_transactions(void) { standin_store_delay_transactions(1.5); }
static void stop_delaying_transactions(void) { standin_store_delay_transactions(0); }

static void owner_ends(void) { run_burst_with_fault(kill_second_controller, 6, start_second_controller); }
static void owner_restarts_at_once(void) { run_burst_with_fault(restart_second_controller_twice, 0, NULL); }
static void owner_paused_past_lease(void) {
    run_burst_with_fault(pause_second_controller, 6, resume_second_controller);
}
/* The first controller sees no peer (see main), so it is isolated once the store refuses it. */
static void owner_cut_from_store_and_peers(void) {
    run_burst_with_fault(refuse_first_at_store, 6, admit_first_at_store);
}
static void store_refuses_one_owner(void) { run_burst_with_fault(refuse_second_at_store, 6, admit_second_at_store); }
static void delayed_transactions(void) { run_burst_with_fault(delay_transactions, 5, stop_delaying_transactions); }

/* The store is out for longer than cancel_s while parts of the quota are moved between shards. Shortly before the
 * outage, the answer to a transaction is lost and a job is cancelled. */
static void store_outage_during_rebalance(void) {
    struct burst red[CONTROLLERS];
    submit_red(0, "req-90001", "standing", 3);
    submit_red(1, "req-90002", "standing", 2);
    assert_true(cluster_wait_for_running_task("req-90001/2", 1, 20) &&
                cluster_wait_for_running_task("req-90002/1", 1, 20));
    submit_bursts(red, "red", 0);
    standin_store_inject(STANDIN_LOST_ANSWER);
    clock_sleep(clock_from_seconds(0.1));
    cancel(0, "req-90001");
    struct timespec cancelled_at = clock_now();
    standin_store_inject(STANDIN_OUTAGE);
    cluster_wait_until_elapsed(cancelled_at, CLUSTER_CANCEL_DEADLINE_S);
    for (int t = 0; t < 3; t++) {
        char task[32];
        g_snprintf(task, sizeof task, "req-90001/%d", t);
        assert_int_equal(standin_workers_running(task), 0);
    }
    cluster_wait_until_elapsed(cancelled_at, CLUSTER_CANCEL_DEADLINE_S + 2);
    standin_store_inject(STANDIN_NO_FAULT);
    check_bursts_are_done(red);
    cancel(1, "req-90002");
}

/* Two gangs that each need more than half of the limit have to run one after the other. */
static void two_gangs_over_half(void) {
    struct burst red[CONTROLLERS];
    submit_bursts(red, "red", 0);
    submit_red(0, "req-10901", "group", 8);
    submit_red(1, "req-10902", "group", 8);
    assert_true(cluster_wait_for_job_state("req-10901", "done", 60) &&
                cluster_wait_for_job_state("req-10902", "done", 60));
    check_bursts_are_done(red);
}

#define FLOOD_JOBS 240 /* twice as many as can run within the limit while they are submitted */

static void flood_job_id(int index, char *job_id, size_t size) { g_snprintf(job_id, size, "req-14%04d", index); }

static void *flood_main(void *accepted) {
    for (int n = 0; n < FLOOD_JOBS; n++) {
        char job_id[32];
        flood_job_id(n, job_id, sizeof job_id);
        const struct cluster_job job = {job_id, "red", "batch", "normal", 1, 2, 1, NULL};
        if (cluster_submit(n % CONTROLLERS, &job) / 100 != 2) return NULL;
        history_add_accepted_job(history_log(), history_now(), job_id, "red", 1, 1);
        clock_sleep(clock_from_seconds(0.025));
    }
    *(bool *)accepted = true;
    return NULL;
}

/* A gang that needs most of the limit is submitted during a flood of one-task jobs at all controllers. */
static void gang_against_flood(void) {
    bool accepted = false;
    pthread_t thread;
    assert_int_equal(pthread_create(&thread, NULL, flood_main, &accepted), 0);
    clock_sleep(clock_from_seconds(2));
    submit_red(2, "req-10903", "group", 10);
    pthread_join(thread, NULL);
    assert_true(accepted);
    assert_true(cluster_wait_for_job_state("req-10903", "done", 60));
    for (int n = 0; n < FLOOD_JOBS; n++) {
        char job_id[32];
        flood_job_id(n, job_id, sizeof job_id);
        if (!cluster_wait_for_job_state(job_id, "done", 60)) fail_msg("%s is not done", job_id);
    }
}

/* A machine that runs tasks of the team has a fault for some seconds, during which their state is unknown. */
static void run_with_worker_fault(enum standin_worker_fault fault) {
    submit_red(0, "req-90001", "standing", 2);
    assert_true(cluster_wait_for_running_task("req-90001/0", 1, 20) &&
                cluster_wait_for_running_task("req-90001/1", 1, 20));
    struct burst before[CONTROLLERS], during[CONTROLLERS];
    submit_bursts(before, "red", 0);
    int machine = standin_workers_machine_of("req-90001/0");
    assert_true(machine >= 0);
    standin_workers_inject(machine, fault);
    struct timespec fault_began = clock_now();
    submit_bursts(during, "red", 1);
    cluster_wait_until_elapsed(fault_began, 6);
    standin_workers_inject(machine, STANDIN_HEALTHY);
    check_bursts_are_done(before);
    check_bursts_are_done(during);
    assert_true(cluster_wait_for_running_task("req-90001/0", 1, 30) &&
                cluster_wait_for_running_task("req-90001/1", 1, 30));
    cancel(1, "req-90001");
}
static void deaf_machine(void) { run_with_worker_fault(STANDIN_CANNOT_RECEIVE); }
static void hanging_machine(void) { run_with_worker_fault(STANDIN_HANGS); }
static void delayed_commands(void) { run_with_worker_fault(STANDIN_COMMANDS_DELAYED); }

/* Submits a long-running job array of the team at each controller. */
static void submit_long_arrays(const char *team, int serial, int tasks) {
    for (int i = 0; i < CONTROLLERS; i++) {
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-9%d%03d", serial, i);
        submit(i, &(struct cluster_job){job_id, team, "batch", "normal", tasks, 2, 1, NULL});
    }
}

#define CAPACITY_MACHINES 4 /* each with 4 GPUs */

/* In the next two tests, teams below their guarantee submit work while other teams, above their own guarantees, occupy
 * all machines. */
static void team_below_guarantee(void) {
    standin_cloud_set_capacity(CAPACITY_MACHINES);
    submit_long_arrays("red", 1, 6); /* 18 tasks, of which the limit allows 12 */
    submit_long_arrays("green", 2, 4);
    double filling_since = history_now();
    assert_true(history_time_to_reach_s(history_log(), "red", 0, 1) < 30);
    while (history_peak_gpus(history_log(), "red") + history_peak_gpus(history_log(), "green") <
               4 * CAPACITY_MACHINES &&
           history_now() < filling_since + 12)
        clock_sleep(clock_from_seconds(0.1));
    double blue_submitted_at = history_now(),
           red_gpus_before = history_min_gpus(history_log(), "red", blue_submitted_at, blue_submitted_at);
    submit_long_arrays("blue", 3, 2); /* 6 tasks, more than its guarantee */
    while (history_time_to_reach_s(history_log(), "blue", blue_submitted_at, GUARANTEE_GPUS) < 0 &&
           history_now() < blue_submitted_at + 30)
        clock_sleep(clock_from_seconds(0.1));
    double reached_after_s = history_time_to_reach_s(history_log(), "blue", blue_submitted_at, GUARANTEE_GPUS);
    if (reached_after_s < 0 || reached_after_s > GUARANTEE_TIMEOUT_S)
        fail_msg("blue reached its guarantee after %.1f s", reached_after_s);
    clock_sleep(clock_from_seconds(3));
    /* No task of red within its guarantee was preempted. */
    double red_gpus_min = history_min_gpus(history_log(), "red", blue_submitted_at, history_now());
    if (red_gpus_min < MIN(GUARANTEE_GPUS, red_gpus_before))
        fail_msg("red fell from %g to %g GPUs", red_gpus_before, red_gpus_min);
}

static void two_teams_below_guarantee(void) {
    standin_cloud_set_capacity(CAPACITY_MACHINES);
    submit_long_arrays("green", 2, 6);
    double filling_since = history_now();
    while (history_peak_gpus(history_log(), "green") < 4 * CAPACITY_MACHINES && history_now() < filling_since + 12)
        clock_sleep(clock_from_seconds(0.1));
    assert_true(history_peak_gpus(history_log(), "green") == 4 * CAPACITY_MACHINES);
    double submitted_at = history_now();
    submit_long_arrays("red", 1, 2);
    submit_long_arrays("blue", 3, 2);
    static const char *const teams[] = {"red", "blue"};
    for (int t = 0; t < 2; t++) {
        while (history_time_to_reach_s(history_log(), teams[t], submitted_at, GUARANTEE_GPUS) < 0 &&
               history_now() < submitted_at + 30)
            clock_sleep(clock_from_seconds(0.1));
        double reached_after_s = history_time_to_reach_s(history_log(), teams[t], submitted_at, GUARANTEE_GPUS);
        if (reached_after_s < 0 || reached_after_s > GUARANTEE_TIMEOUT_S)
            fail_msg("%s reached its guarantee after %.1f s", teams[t], reached_after_s);
    }
}

/* The controllers are restarted one after the other with a lower limit for the team, under load. */
static void limit_lowered_under_load(void) {
    struct burst red[CONTROLLERS];
    submit_red(0, "req-90001", "standing", 7);
    submit_red(1, "req-90002", "standing", 2); /* a gang of 4 still fits under the lower limit beside this job */
    assert_true(cluster_wait_for_running_task("req-90001/6", 1, 20) &&
                cluster_wait_for_running_task("req-90002/1", 1, 20));
    double lowered_at = 0;
    for (int i = 0; i < CONTROLLERS; i++) {
        cluster_kill_controller(i);
        assert_true(cluster_set_teams(i, TEAMS_JSON_LOWER_LIMIT));
        cluster_start_controller(i);
        assert_true(cluster_wait_for_shard_owners(20));
        clock_sleep(clock_from_seconds(1));
        /* Once the first controller has the lower limit, no task may start above that limit. */
        if (i == 0) lowered_at = history_now();
    }
    submit_bursts(red, "red", 0);
    clock_sleep(clock_from_seconds(3));
    /* Tasks that run above the lower limit are not killed. */
    assert_int_equal(standin_workers_running("req-90001/0") + standin_workers_running("req-90002/0"), 2);
    assert_true(history_min_gpus(history_log(), "red", lowered_at, history_now()) >= 9);
    cancel(0, "req-90001");
    check_bursts_are_done(red);
    assert_int_equal(history_starts_above_limit(history_log(), "red", LOWER_LIMIT_GPUS, lowered_at), 0);
    cancel(1, "req-90002");
}

/* One controller runs with a lower limit than the others: the lower one applies until the settings agree again. */
static void differing_settings(void) {
    struct burst red[CONTROLLERS];
    cluster_kill_controller(2);
    assert_true(cluster_set_teams(2, TEAMS_JSON_LOWER_LIMIT));
    cluster_start_controller(2);
    assert_true(cluster_wait_for_shard_owners(20));
    clock_sleep(clock_from_seconds(1));
    double lowered_at = history_now();
    submit_bursts(red, "red", 0);
    check_bursts_are_done(red);
    assert_int_equal(history_starts_above_limit(history_log(), "red", LOWER_LIMIT_GPUS, lowered_at), 0);
    cluster_kill_controller(2);
    assert_true(cluster_set_teams(2, TEAMS_JSON));
    cluster_start_controller(2);
    assert_true(cluster_wait_for_shard_owners(20));
    submit_bursts(red, "red", 1);
    check_bursts_are_done(red);
    assert_true(history_peak_gpus(history_log(), "red") > LOWER_LIMIT_GPUS); /* the higher limit applies again */
}

static bool team_is_divided(const char *team);
static bool teams_become_divided(bool divided, double within_s);

/* The rollout of the quota file stops at two of three controllers: the division takes effect only once the third has
 * the file. */
static void division_halted_midway(void) {
    struct burst red[CONTROLLERS], queued[CONTROLLERS];
    submit_bursts(red, "red", 0);
    check_bursts_are_done(red);
    assert_false(team_is_divided("red")); /* the third controller does not have the file yet */
    submit_bursts(queued, "red", 2);      /* most of these jobs are queued when the division takes effect */
    cluster_kill_controller(2);
    assert_true(cluster_set_quota_file(2, DIVIDED_QUOTA_FILE));
    cluster_start_controller(2);
    assert_true(teams_become_divided(true, 20));
    submit_bursts(red, "red", 1);
    check_bursts_are_done(queued);
    check_bursts_are_done(red);
}

static const char *production_program;

static void restart_all_with(const char *program, const char *quota_file) {
    for (int i = 0; i < CONTROLLERS; i++) {
        cluster_kill_controller(i);
        if (program) cluster_set_program(i, program);
        assert_true(cluster_set_quota_file(i, quota_file));
        cluster_start_controller(i);
        assert_true(cluster_wait_for_shard_owners(20));
    }
}

/* The division is reverted under load, and then all controllers are reverted to the version in production. */
static void division_reverted(void) {
    struct burst red[CONTROLLERS];
    submit_red(0, "req-90001", "standing", 2);
    assert_true(cluster_wait_for_running_task("req-90001/0", 1, 20) &&
                cluster_wait_for_running_task("req-90001/1", 1, 20));
    submit_bursts(red, "red", 0);
    restart_all_with(NULL, UNDIVIDED_QUOTA_FILE);
    check_bursts_are_done(red);
    cancel(0, "req-90001"); /* this service stays in its shard until it ends, which may keep the team divided */
    assert_true(teams_become_divided(false, 20));
    submit_red(0, "req-90002", "standing", 2);
    assert_true(cluster_wait_for_running_task("req-90002/0", 1, 20) &&
                cluster_wait_for_running_task("req-90002/1", 1, 20));
    restart_all_with(production_program, NULL);
    assert_true(cluster_wait_for_job_state("req-10000", "done", 10));
    submit_bursts(red, "red", 1);
    check_bursts_are_done(red);
    assert_int_equal(standin_workers_starts_by_prefix("req-90002/"), 2); /* the tasks were not started again */
    cancel(1, "req-90002");
}

static const struct row {
    const char *name;
    void (*run)(void);
    bool third_without_quota_file; /* the third controller starts without the quota file */
} rows[] = {
    {"burst_at_every_controller", burst_at_every_controller, false},
    {"owner_ends", owner_ends, false},
    {"owner_restarts_at_once", owner_restarts_at_once, false},
    {"owner_paused_past_lease", owner_paused_past_lease, false},
    {"owner_cut_from_store_and_peers", owner_cut_from_store_and_peers, false},
    {"store_refuses_one_owner", store_refuses_one_owner, false},
    {"delayed_transactions", delayed_transactions, false},
    {"store_outage_during_rebalance", store_outage_during_rebalance, false},
    {"two_gangs_over_half", two_gangs_over_half, false},
    {"gang_against_flood", gang_against_flood, false},
    {"deaf_machine", deaf_machine, false},
    {"hanging_machine", hanging_machine, false},
    {"delayed_commands", delayed_commands, false},
    {"team_below_guarantee", team_below_guarantee, false},
    {"two_teams_below_guarantee", two_teams_below_guarantee, false},
    {"limit_lowered_under_load", limit_lowered_under_load, false},
    {"differing_settings", differing_settings, false},
    {"division_halted_midway", division_halted_midway, true},
    {"division_reverted", division_reverted, false},
};
static size_t row;

static bool team_is_divided(const char *team) {
    char key[64];
    g_snprintf(key, sizeof key, "quota/%s", team);
    char *text = standin_store_value(key);
    g_free(text);
    return text != NULL;
}

static bool teams_become_divided(bool divided, double within_s) {
    struct timespec start = clock_now();
    while ((team_is_divided("red") != divided || team_is_divided("blue") != divided) &&
           clock_seconds_since(start) < within_s)
        clock_sleep(clock_from_seconds(0.05));
    return team_is_divided("red") == divided && team_is_divided("blue") == divided;
}

static void start_divided(void) {
    for (int i = 0; i < CONTROLLERS; i++) {
        assert_true(
            cluster_set_quota_file(i, rows[row].third_without_quota_file && i == 2 ? NULL : DIVIDED_QUOTA_FILE));
        cluster_start_controller(i);
    }
    assert_true(cluster_wait_for_shard_owners(20));
    if (!rows[row].third_without_quota_file) assert_true(teams_become_divided(true, 10));
}

static void run_case(void **state) {
    (void)state;
    start_divided();
    rows[row].run();
    const struct history *log = history_log();
    assert_int_equal(history_starts_above_limit(log, "red", LIMIT_GPUS, 0), 0);
    assert_int_equal(history_starts_above_limit(log, "blue", LIMIT_GPUS, 0), 0);
    assert_int_equal(history_duplicate_starts(log), 0);
    assert_int_equal(standin_workers_restarts(), 0);
    for (int t = 0; t < 2; t++) {
        const char *team = t ? "blue" : "red";
        double below_guarantee_s = history_longest_starvation_s(log, team, GUARANTEE_GPUS);
        if (below_guarantee_s > GUARANTEE_TIMEOUT_S)
            fail_msg("team %s was below its guarantee for %.1f s", team, below_guarantee_s);
    }
    assert_int_equal(standin_cloud_claims_reused(), 0);
    assert_int_equal(standin_store_unguarded_changes(), 0);
}

int main(int argc, char **argv) {
    static const struct cluster_settings settings = {
        .controllers = CONTROLLERS, .shards = 3, .teams = {TEAMS_JSON}, .first_sees_no_peer = true};
    if (test_cases_are_listed(argc, argv)) return test_cases_compare(TEST_CASE_TABLE(rows), argc, argv);
    if (argc < 3 || !test_cases_find(TEST_CASE_TABLE(rows), argv[2], &row)) return 2;
    production_program = argc > 3 ? argv[3] : NULL;
    if (!cluster_start(argv[1], &settings)) return 2;
    standin_cloud_stop_refusing_rentals();
    const struct CMUnitTest tests[] = {{rows[row].name, run_case, NULL, NULL, NULL}};
    int failed = cmocka_run_group_tests(tests, NULL, NULL);
    cluster_teardown();
    return failed;
}
