/* Divided teams with three real controllers: whatever fails, what workers hold never exceeds a team's limit, no team
 * stays below its guarantee for long while it has work that fits, no task is on two machines, and every job ends.
 *
 * One row a run: the stand-ins begin from nothing. Judged by the workers' own log, not by what was allocated. */
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../standin/cases.h"
#include "../standin/cloud.h"
#include "../standin/cluster.h"
#include "../standin/history.h"
#include "../standin/site.h"
#include "../standin/store.h"
#include "../standin/workers.h"
#include "clock/clock.h"

#define CONTROLLERS 3
#define LIMIT 12.0
#define LOWER_LIMIT 6.0
#define GUARANTEE 4.0
#define TEAMS_WITH(red_limit)                                                         \
    "[{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0,\"gpus\":4,\"gpus_max\":" red_limit \
    "},"                                                                              \
    "{\"name\":\"blue\",\"cpus\":0,\"cpus_max\":0,\"gpus\":4,\"gpus_max\":12},"       \
    "{\"name\":\"green\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":0}]"
#define TEAMS TEAMS_WITH("12")
#define LOWER_TEAMS TEAMS_WITH("6")
#define DIVIDED "gather_s = 5\ndivide = ( { team = \"red\", shares = 3 }, { team = \"blue\", shares = 3 } )\n"
#define UNDIVIDED "divide = ( { team = \"*\", shares = 1 } )\n"
#define GUARANTEE_BOUND_S 12.0 /* with leases of 2.5 and 4 s, and boots */

static void submit(int at, const struct cluster_job *job) {
    assert_int_equal(cluster_submit(at, job) / 100, 2);
    history_accepted(history_log(), history_now(), job->job_id, job->team, job->tasks, job->gpus);
}

static void submit_red(int at, const char *job_id, const char *shape, int tasks) {
    submit(at, &(struct cluster_job){job_id, "red", shape, "normal", tasks, 2, 1, NULL});
}

static void cancel(int at, const char *job_id) {
    assert_int_equal(cluster_cancel(at, job_id, 20), 200);
    history_cancelled(history_log(), history_now(), job_id);
}

/* Work of one team, submitted at one controller: arrays, and gangs of four. */
#define BURST_JOBS 8
struct burst {
    int at, serial;
    const char *team;
    bool accepted;
};

static void burst_job_id(const struct burst *b, int n, char *job_id, size_t size) {
    g_snprintf(job_id, size, "req-1%d%d%02d", b->serial, b->at, n);
}

static void *burst_main(void *arg) {
    struct burst *b = arg;
    b->accepted = true;
    for (int n = 0; n < BURST_JOBS; n++) {
        char job_id[32];
        bool gang = n % 4 == 3;
        burst_job_id(b, n, job_id, sizeof job_id);
        const struct cluster_job job = {job_id, b->team, gang ? "group" : "batch", "normal", gang ? 4 : 3, 2, 1, NULL};
        if (cluster_submit(b->at, &job) / 100 == 2)
            history_accepted(history_log(), history_now(), job_id, b->team, job.tasks, job.gpus);
        else
            b->accepted = false;
    }
    return NULL;
}

/* The same second at every controller, together five times the limit. */
static void start_bursts(struct burst *all, const char *team, int serial) {
    pthread_t threads[CONTROLLERS];
    for (int i = 0; i < CONTROLLERS; i++) {
        all[i] = (struct burst){i, serial, team, false};
        assert_int_equal(pthread_create(&threads[i], NULL, burst_main, &all[i]), 0);
    }
    for (int i = 0; i < CONTROLLERS; i++) pthread_join(threads[i], NULL);
    for (int i = 0; i < CONTROLLERS; i++) assert_true(all[i].accepted);
}

static void check_bursts_are_done(const struct burst *all) {
    for (int i = 0; i < CONTROLLERS; i++)
        for (int n = 0; n < BURST_JOBS; n++) {
            char job_id[32];
            burst_job_id(&all[i], n, job_id, sizeof job_id);
            if (!cluster_job_becomes(job_id, "done", 60)) fail_msg("%s is not done", job_id);
        }
}

static void burst(void) {
    struct burst red[CONTROLLERS];
    start_bursts(red, "red", 0);
    check_bursts_are_done(red);
    assert_true(history_peak(history_log(), "red") > LIMIT / 2); /* the limit is made use of */
}

/* A fault in the middle of a burst, and a burst in the middle of the fault. */
static void burst_with(void (*begin_fault)(void), double fault_s, void (*end_fault)(void)) {
    struct burst before[CONTROLLERS], during[CONTROLLERS];
    start_bursts(before, "red", 0);
    struct timespec began = clock_now();
    begin_fault();
    start_bursts(during, "red", 1);
    cluster_wait(began, fault_s);
    if (end_fault) end_fault();
    check_bursts_are_done(before);
    check_bursts_are_done(during);
}

static void kill_second(void) { cluster_kill_controller(1); }
static void start_second(void) { cluster_start_controller(1); }
static void restart_second_at_once(void) {
    for (int n = 0; n < 2; n++) {
        cluster_kill_controller(1);
        cluster_start_controller(1);
        clock_sleep(clock_from_seconds(0.3));
    }
}
static void pause_second(void) { cluster_pause_controller(1); }
static void resume_second(void) { cluster_resume_controller(1); }
static void cut_first_from_store(void) { cluster_refuse_store(0, true); }
static void reconnect_first(void) { cluster_refuse_store(0, false); }
static void refuse_second(void) { cluster_refuse_store(1, true); }
static void admit_second(void) { cluster_refuse_store(1, false); }
static void delay_transactions(void) { standin_store_delay_transactions(1.5); }
static void stop_delaying_transactions(void) { standin_store_delay_transactions(0); }

static void owner_ends(void) { burst_with(kill_second, 6, start_second); }
static void owner_restarts_at_once(void) { burst_with(restart_second_at_once, 0, NULL); }
static void owner_paused_past_lease(void) { burst_with(pause_second, 6, resume_second); }
static void owner_cut_from_store_and_peers(void) { burst_with(cut_first_from_store, 6, reconnect_first); }
static void store_refuses_one_owner(void) { burst_with(refuse_second, 6, admit_second); }
static void delayed_transactions(void) { burst_with(delay_transactions, 5, stop_delaying_transactions); }

/* The store is out for longer than cancel_s while parts move, and jobs are cancelled just before. */
static void store_outage_during_rebalance(void) {
    struct burst red[CONTROLLERS];
    submit_red(0, "req-90001", "standing", 3);
    submit_red(1, "req-90002", "standing", 2);
    assert_true(cluster_task_runs("req-90001/2", 1, 20) && cluster_task_runs("req-90002/1", 1, 20));
    start_bursts(red, "red", 0);
    standin_store_inject(STANDIN_LOST_ANSWER);
    clock_sleep(clock_from_seconds(0.1));
    cancel(0, "req-90001");
    struct timespec told = clock_now();
    standin_store_inject(STANDIN_OUTAGE);
    cluster_wait(told, CLUSTER_CANCEL_S);
    for (int t = 0; t < 3; t++) {
        char task[32];
        g_snprintf(task, sizeof task, "req-90001/%d", t);
        assert_int_equal(standin_workers_running(task), 0);
    }
    cluster_wait(told, CLUSTER_CANCEL_S + 2);
    standin_store_inject(STANDIN_NO_FAULT);
    check_bursts_are_done(red);
    cancel(1, "req-90002");
}

/* Two gangs that each need more than half of the limit: one after the other. */
static void two_gangs_over_half(void) {
    struct burst red[CONTROLLERS];
    start_bursts(red, "red", 0);
    submit_red(0, "req-10901", "group", 8);
    submit_red(1, "req-10902", "group", 8);
    assert_true(cluster_job_becomes("req-10901", "done", 60) && cluster_job_becomes("req-10902", "done", 60));
    check_bursts_are_done(red);
}

#define FLOOD_JOBS 240 /* twice what the limit serves in the time that their submission takes */

static void flood_job_id(int n, char *job_id, size_t size) { g_snprintf(job_id, size, "req-14%04d", n); }

static void *flood_main(void *accepted) {
    for (int n = 0; n < FLOOD_JOBS; n++) {
        char job_id[32];
        flood_job_id(n, job_id, sizeof job_id);
        const struct cluster_job job = {job_id, "red", "batch", "normal", 1, 2, 1, NULL};
        if (cluster_submit(n % CONTROLLERS, &job) / 100 != 2) return NULL;
        history_accepted(history_log(), history_now(), job_id, "red", 1, 1);
        clock_sleep(clock_from_seconds(0.025));
    }
    *(bool *)accepted = true;
    return NULL;
}

/* A flood of one-task jobs at all controllers, and a gang that needs most of the limit. */
static void gang_against_flood(void) {
    bool accepted = false;
    pthread_t thread;
    assert_int_equal(pthread_create(&thread, NULL, flood_main, &accepted), 0);
    clock_sleep(clock_from_seconds(2));
    submit_red(2, "req-10903", "group", 10);
    pthread_join(thread, NULL);
    assert_true(accepted);
    assert_true(cluster_job_becomes("req-10903", "done", 60));
    for (int n = 0; n < FLOOD_JOBS; n++) {
        char job_id[32];
        flood_job_id(n, job_id, sizeof job_id);
        if (!cluster_job_becomes(job_id, "done", 60)) fail_msg("%s is not done", job_id);
    }
}

/* A machine of unknown state, with tasks of the team. */
static void run_with_worker_fault(enum standin_worker_fault fault) {
    submit_red(0, "req-90001", "standing", 2);
    assert_true(cluster_task_runs("req-90001/0", 1, 20) && cluster_task_runs("req-90001/1", 1, 20));
    struct burst before[CONTROLLERS], during[CONTROLLERS];
    start_bursts(before, "red", 0);
    int on = standin_workers_machine_of("req-90001/0");
    assert_true(on >= 0);
    standin_workers_inject(on, fault);
    struct timespec began = clock_now();
    start_bursts(during, "red", 1);
    cluster_wait(began, 6);
    standin_workers_inject(on, STANDIN_HEALTHY);
    check_bursts_are_done(before);
    check_bursts_are_done(during);
    assert_true(cluster_task_runs("req-90001/0", 1, 30) && cluster_task_runs("req-90001/1", 1, 30));
    cancel(1, "req-90001");
}
static void deaf_machine(void) { run_with_worker_fault(STANDIN_CANNOT_HEAR); }
static void hanging_machine(void) { run_with_worker_fault(STANDIN_HANGS); }
static void delayed_commands(void) { run_with_worker_fault(STANDIN_COMMANDS_DELAYED); }

/* Long arrays of a team, one at each controller. */
static void submit_long_arrays(const char *team, int serial, int tasks) {
    for (int i = 0; i < CONTROLLERS; i++) {
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-9%d%03d", serial, i);
        submit(i, &(struct cluster_job){job_id, team, "batch", "normal", tasks, 2, 1, NULL});
    }
}

/* All machines are full with work beyond the guarantees of others. */
#define MACHINES 4 /* of 4 GPUs */

static void team_below_guarantee(void) {
    standin_cloud_set_capacity(MACHINES);
    submit_long_arrays("red", 1, 6); /* 18 of which the limit allows 12 */
    submit_long_arrays("green", 2, 4);
    double full = history_now();
    assert_true(history_reached(history_log(), "red", 0, 1) < 30);
    while (history_peak(history_log(), "red") + history_peak(history_log(), "green") < 4 * MACHINES &&
           history_now() < full + 12)
        clock_sleep(clock_from_seconds(0.1));
    double began = history_now(), held = history_least(history_log(), "red", began, began);
    submit_long_arrays("blue", 3, 2); /* more than its guarantee, together */
    while (history_reached(history_log(), "blue", began, GUARANTEE) < 0 && history_now() < began + 30)
        clock_sleep(clock_from_seconds(0.1));
    double reached = history_reached(history_log(), "blue", began, GUARANTEE);
    if (reached < 0 || reached > GUARANTEE_BOUND_S) fail_msg("blue had its guarantee after %.1f s", reached);
    clock_sleep(clock_from_seconds(3));
    /* Nobody took from red what lies within its own. */
    double least = history_least(history_log(), "red", began, history_now());
    if (least < MIN(GUARANTEE, held)) fail_msg("red fell from %g to %g", held, least);
}

static void two_teams_below_guarantee(void) {
    standin_cloud_set_capacity(MACHINES);
    submit_long_arrays("green", 2, 6);
    double full = history_now();
    while (history_peak(history_log(), "green") < 4 * MACHINES && history_now() < full + 12)
        clock_sleep(clock_from_seconds(0.1));
    assert_true(history_peak(history_log(), "green") == 4 * MACHINES);
    double began = history_now();
    submit_long_arrays("red", 1, 2);
    submit_long_arrays("blue", 3, 2);
    static const char *const teams[] = {"red", "blue"};
    for (int t = 0; t < 2; t++) {
        while (history_reached(history_log(), teams[t], began, GUARANTEE) < 0 && history_now() < began + 30)
            clock_sleep(clock_from_seconds(0.1));
        double reached = history_reached(history_log(), teams[t], began, GUARANTEE);
        if (reached < 0 || reached > GUARANTEE_BOUND_S) fail_msg("%s had it after %.1f s", teams[t], reached);
    }
}

/* One controller after the other comes back with a lower limit, under load. */
static void limit_lowered_under_load(void) {
    struct burst red[CONTROLLERS];
    submit_red(0, "req-90001", "standing", 7);
    submit_red(1, "req-90002", "standing", 2); /* a gang of four fits beside it */
    assert_true(cluster_task_runs("req-90001/6", 1, 20) && cluster_task_runs("req-90002/1", 1, 20));
    double lower = 0;
    for (int i = 0; i < CONTROLLERS; i++) {
        cluster_kill_controller(i);
        assert_true(cluster_teams(i, LOWER_TEAMS));
        cluster_start_controller(i);
        assert_true(cluster_all_shards_owned(20));
        clock_sleep(clock_from_seconds(1));
        if (i == 0) lower = history_now(); /* one names it: nothing starts above it any more */
    }
    start_bursts(red, "red", 0);
    clock_sleep(clock_from_seconds(3));
    /* What runs beyond it is not killed. */
    assert_int_equal(standin_workers_running("req-90001/0") + standin_workers_running("req-90002/0"), 2);
    assert_true(history_least(history_log(), "red", lower, history_now()) >= 9);
    cancel(0, "req-90001");
    check_bursts_are_done(red);
    assert_int_equal(history_above(history_log(), "red", LOWER_LIMIT, lower), 0);
    cancel(1, "req-90002");
}

/* Controllers run with different files for long. */
static void differing_settings(void) {
    struct burst red[CONTROLLERS];
    cluster_kill_controller(2);
    assert_true(cluster_teams(2, LOWER_TEAMS));
    cluster_start_controller(2);
    assert_true(cluster_all_shards_owned(20));
    clock_sleep(clock_from_seconds(1));
    double lower = history_now();
    start_bursts(red, "red", 0);
    check_bursts_are_done(red);
    assert_int_equal(history_above(history_log(), "red", LOWER_LIMIT, lower), 0);
    cluster_kill_controller(2);
    assert_true(cluster_teams(2, TEAMS));
    cluster_start_controller(2);
    assert_true(cluster_all_shards_owned(20));
    start_bursts(red, "red", 1);
    check_bursts_are_done(red);
    assert_true(history_peak(history_log(), "red") > LOWER_LIMIT); /* raised again */
}

static bool divided(const char *team);
static bool becomes_divided(bool wanted, double within);

/* The division is halted half-way: two of three controllers have the file, for long. */
static void division_halted_midway(void) {
    struct burst red[CONTROLLERS], waiting[CONTROLLERS];
    start_bursts(red, "red", 0);
    check_bursts_are_done(red);
    assert_false(divided("red"));    /* not in force before the last has it */
    start_bursts(waiting, "red", 2); /* most of it waits while the division comes into force */
    cluster_kill_controller(2);
    assert_true(cluster_quota(2, DIVIDED));
    cluster_start_controller(2);
    assert_true(becomes_divided(true, 20));
    start_bursts(red, "red", 1);
    check_bursts_are_done(waiting);
    check_bursts_are_done(red);
}

static const char *production;

static void restart_all_with(const char *program, const char *file) {
    for (int i = 0; i < CONTROLLERS; i++) {
        cluster_kill_controller(i);
        if (program) cluster_program(i, program);
        assert_true(cluster_quota(i, file));
        cluster_start_controller(i);
        assert_true(cluster_all_shards_owned(20));
    }
}

/* The division is taken back under load, and then the version in production comes back. */
static void division_reverted(void) {
    struct burst red[CONTROLLERS];
    submit_red(0, "req-90001", "standing", 2);
    assert_true(cluster_task_runs("req-90001/0", 1, 20) && cluster_task_runs("req-90001/1", 1, 20));
    start_bursts(red, "red", 0);
    restart_all_with(NULL, UNDIVIDED);
    check_bursts_are_done(red);
    cancel(0, "req-90001"); /* a service stays in its shard until it ends */
    assert_true(becomes_divided(false, 20));
    submit_red(0, "req-90002", "standing", 2);
    assert_true(cluster_task_runs("req-90002/0", 1, 20) && cluster_task_runs("req-90002/1", 1, 20));
    restart_all_with(production, NULL);
    assert_true(cluster_job_becomes("req-10000", "done", 10));
    start_bursts(red, "red", 1);
    check_bursts_are_done(red);
    assert_int_equal(standin_workers_starts_by_prefix("req-90002/"), 2); /* it ran on */
    cancel(1, "req-90002");
}

static const struct row {
    const char *name;
    void (*bring_about)(void);
    bool third_has_no_file; /* the third controller begins without the file */
} rows[] = {
    {"burst_at_every_controller", burst, false},
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

static bool divided(const char *team) {
    char key[64];
    g_snprintf(key, sizeof key, "quota/%s", team);
    char *text = standin_store_value(key);
    g_free(text);
    return text != NULL;
}

static bool becomes_divided(bool wanted, double within) {
    struct timespec start = clock_now();
    while ((divided("red") != wanted || divided("blue") != wanted) && clock_seconds_since(start) < within)
        clock_sleep(clock_from_seconds(0.05));
    return divided("red") == wanted && divided("blue") == wanted;
}

static void start_divided(void) {
    for (int i = 0; i < CONTROLLERS; i++) {
        assert_true(cluster_quota(i, rows[row].third_has_no_file && i == 2 ? NULL : DIVIDED));
        cluster_start_controller(i);
    }
    assert_true(cluster_all_shards_owned(20));
    if (!rows[row].third_has_no_file) assert_true(becomes_divided(true, 10));
}

static void run_case(void **state) {
    (void)state;
    start_divided();
    rows[row].bring_about();
    const struct history *log = history_log();
    assert_int_equal(history_above(log, "red", LIMIT, 0), 0);
    assert_int_equal(history_above(log, "blue", LIMIT, 0), 0);
    assert_int_equal(history_twice(log), 0);
    for (int t = 0; t < 2; t++) {
        const char *team = t ? "blue" : "red";
        double starved = history_starved(log, team, GUARANTEE);
        if (starved > GUARANTEE_BOUND_S) fail_msg("team %s was below its guarantee for %.1f s", team, starved);
    }
    assert_int_equal(standin_cloud_claims_reused(), 0);
    assert_int_equal(standin_store_unguarded_changes(), 0);
}

int main(int argc, char **argv) {
    static const struct cluster_settings site = {
        .controllers = CONTROLLERS, .shards = 3, .teams = {TEAMS}, .first_sees_no_peer = true};
    if (cases_are_listed(argc, argv)) return cases_compare(CASES(rows), argc, argv);
    if (argc < 3 || !cases_find(CASES(rows), argv[2], &row)) return 2;
    production = argc > 3 ? argv[3] : NULL;
    if (!cluster_start(argv[1], &site)) return 2;
    standin_cloud_refuse_no_rental();
    const struct CMUnitTest tests[] = {{rows[row].name, run_case, NULL, NULL, NULL}};
    int rc = cmocka_run_group_tests(tests, NULL, NULL);
    cluster_clear();
    return rc;
}
