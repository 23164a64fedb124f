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

static void burst_uid(const struct burst *b, int n, char *job_id, size_t size) {
    g_snprintf(job_id, size, "req-1%d%d%02d", b->serial, b->at, n);
}

static void *burst_main(void *arg) {
    struct burst *b = arg;
    b->accepted = true;
    for (int n = 0; n < BURST_JOBS; n++) {
        char job_id[32];
        bool gang = n % 4 == 3;
        burst_uid(b, n, job_id, sizeof job_id);
        const struct cluster_job job = {job_id, b->team, gang ? "group" : "batch", "normal", gang ? 4 : 3, 2, 1, NULL};
        if (cluster_submit(b->at, &job) / 100 == 2)
            history_accepted(history_log(), history_now(), job_id, b->team, job.tasks, job.gpus);
        else
            b->accepted = false;
    }
    return NULL;
}

/* The same second at every controller, together five times the limit. */
static void burst_everywhere(struct burst *all, const char *team, int serial) {
    pthread_t threads[CONTROLLERS];
    for (int i = 0; i < CONTROLLERS; i++) {
        all[i] = (struct burst){i, serial, team, false};
        assert_int_equal(pthread_create(&threads[i], NULL, burst_main, &all[i]), 0);
    }
    for (int i = 0; i < CONTROLLERS; i++) pthread_join(threads[i], NULL);
    for (int i = 0; i < CONTROLLERS; i++) assert_true(all[i].accepted);
}

static void burst_ends(const struct burst *all) {
    for (int i = 0; i < CONTROLLERS; i++)
        for (int n = 0; n < BURST_JOBS; n++) {
            char job_id[32];
            burst_uid(&all[i], n, job_id, sizeof job_id);
            if (!cluster_job_becomes(job_id, "done", 60)) fail_msg("%s is not done", job_id);
        }
}

static void burst(void) {
    struct burst red[CONTROLLERS];
    burst_everywhere(red, "red", 0);
    burst_ends(red);
    assert_true(history_peak(history_log(), "red") > LIMIT / 2); /* the limit is made use of */
}

/* A trouble in the middle of a burst, and a burst in the middle of the trouble. */
static void burst_with(void (*begins)(void), double lasts_s, void (*ends)(void)) {
    struct burst before[CONTROLLERS], during[CONTROLLERS];
    burst_everywhere(before, "red", 0);
    struct timespec began = clock_now();
    begins();
    burst_everywhere(during, "red", 1);
    cluster_wait(began, lasts_s);
    if (ends) ends();
    burst_ends(before);
    burst_ends(during);
}

static void end_second(void) { cluster_kill_controller(1); }
static void begin_second(void) { cluster_start_controller(1); }
static void back_at_once(void) {
    for (int n = 0; n < 2; n++) {
        cluster_kill_controller(1);
        cluster_start_controller(1);
        clock_sleep(clock_from_seconds(0.3));
    }
}
static void stop_second(void) { cluster_pause_controller(1); }
static void continue_second(void) { cluster_resume_controller(1); }
static void shut_first(void) { cluster_refuse_store(0, true); }
static void open_first(void) { cluster_refuse_store(0, false); }
static void shut_second(void) { cluster_refuse_store(1, true); }
static void open_second(void) { cluster_refuse_store(1, false); }
static void late_writes(void) { standin_store_delay_transactions(1.5); }
static void no_late_writes(void) { standin_store_delay_transactions(0); }

static void owner_ends(void) { burst_with(end_second, 6, begin_second); }
static void owner_is_back(void) { burst_with(back_at_once, 0, NULL); }
static void owner_stands_still(void) { burst_with(stop_second, 6, continue_second); }
static void owner_is_cut(void) { burst_with(shut_first, 6, open_first); }
static void owner_is_refused(void) { burst_with(shut_second, 6, open_second); }
static void transactions_late(void) { burst_with(late_writes, 5, no_late_writes); }

/* The store is out for longer than cancel_s while parts move, and jobs are cancelled just before. */
static void store_out(void) {
    struct burst red[CONTROLLERS];
    submit_red(0, "req-90001", "standing", 3);
    submit_red(1, "req-90002", "standing", 2);
    assert_true(cluster_task_runs("req-90001/2", 1, 20) && cluster_task_runs("req-90002/1", 1, 20));
    burst_everywhere(red, "red", 0);
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
    burst_ends(red);
    cancel(1, "req-90002");
}

/* Two gangs that each need more than half of the limit: one after the other. */
static void two_gangs(void) {
    struct burst red[CONTROLLERS];
    burst_everywhere(red, "red", 0);
    submit_red(0, "req-10901", "group", 8);
    submit_red(1, "req-10902", "group", 8);
    assert_true(cluster_job_becomes("req-10901", "done", 60) && cluster_job_becomes("req-10902", "done", 60));
    burst_ends(red);
}

#define FLOOD_JOBS 240 /* twice what the limit serves in the time that their submission takes */

static void flood_uid(int n, char *job_id, size_t size) { g_snprintf(job_id, size, "req-14%04d", n); }

static void *flood_main(void *accepted) {
    for (int n = 0; n < FLOOD_JOBS; n++) {
        char job_id[32];
        flood_uid(n, job_id, sizeof job_id);
        const struct cluster_job job = {job_id, "red", "batch", "normal", 1, 2, 1, NULL};
        if (cluster_submit(n % CONTROLLERS, &job) / 100 != 2) return NULL;
        history_accepted(history_log(), history_now(), job_id, "red", 1, 1);
        clock_sleep(clock_from_seconds(0.025));
    }
    *(bool *)accepted = true;
    return NULL;
}

/* A flood of one-task jobs at all controllers, and a gang that needs most of the limit. */
static void gang_and_flood(void) {
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
        flood_uid(n, job_id, sizeof job_id);
        if (!cluster_job_becomes(job_id, "done", 60)) fail_msg("%s is not done", job_id);
    }
}

/* A machine of unknown state, with tasks of the team. */
static void one_machine(enum standin_worker_fault reach) {
    submit_red(0, "req-90001", "standing", 2);
    assert_true(cluster_task_runs("req-90001/0", 1, 20) && cluster_task_runs("req-90001/1", 1, 20));
    struct burst before[CONTROLLERS], during[CONTROLLERS];
    burst_everywhere(before, "red", 0);
    int on = standin_workers_machine_of("req-90001/0");
    assert_true(on >= 0);
    standin_workers_inject(on, reach);
    struct timespec began = clock_now();
    burst_everywhere(during, "red", 1);
    cluster_wait(began, 6);
    standin_workers_inject(on, STANDIN_HEALTHY);
    burst_ends(before);
    burst_ends(during);
    assert_true(cluster_task_runs("req-90001/0", 1, 30) && cluster_task_runs("req-90001/1", 1, 30));
    cancel(1, "req-90001");
}
static void machine_is_deaf(void) { one_machine(STANDIN_CANNOT_HEAR); }
static void machine_hangs(void) { one_machine(STANDIN_HANGS); }
static void commands_are_held(void) { one_machine(STANDIN_COMMANDS_DELAYED); }

/* Long arrays of a team, one at each controller. */
static void long_arrays(const char *team, int serial, int tasks) {
    for (int i = 0; i < CONTROLLERS; i++) {
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-9%d%03d", serial, i);
        submit(i, &(struct cluster_job){job_id, team, "batch", "normal", tasks, 2, 1, NULL});
    }
}

/* All machines are full with work beyond the guarantees of others. */
#define MACHINES 4 /* of 4 GPUs */

static void one_team_below(void) {
    standin_cloud_set_capacity(MACHINES);
    long_arrays("red", 1, 6); /* 18 of which the limit allows 12 */
    long_arrays("green", 2, 4);
    double full = history_now();
    assert_true(history_reached(history_log(), "red", 0, 1) < 30);
    while (history_peak(history_log(), "red") + history_peak(history_log(), "green") < 4 * MACHINES &&
           history_now() < full + 12)
        clock_sleep(clock_from_seconds(0.1));
    double began = history_now(), held = history_least(history_log(), "red", began, began);
    long_arrays("blue", 3, 2); /* more than its guarantee, together */
    while (history_reached(history_log(), "blue", began, GUARANTEE) < 0 && history_now() < began + 30)
        clock_sleep(clock_from_seconds(0.1));
    double reached = history_reached(history_log(), "blue", began, GUARANTEE);
    if (reached < 0 || reached > GUARANTEE_BOUND_S) fail_msg("blue had its guarantee after %.1f s", reached);
    clock_sleep(clock_from_seconds(3));
    /* Nobody took from red what lies within its own. */
    double least = history_least(history_log(), "red", began, history_now());
    if (least < MIN(GUARANTEE, held)) fail_msg("red fell from %g to %g", held, least);
}

static void two_teams_below(void) {
    standin_cloud_set_capacity(MACHINES);
    long_arrays("green", 2, 6);
    double full = history_now();
    while (history_peak(history_log(), "green") < 4 * MACHINES && history_now() < full + 12)
        clock_sleep(clock_from_seconds(0.1));
    assert_true(history_peak(history_log(), "green") == 4 * MACHINES);
    double began = history_now();
    long_arrays("red", 1, 2);
    long_arrays("blue", 3, 2);
    static const char *const teams[] = {"red", "blue"};
    for (int t = 0; t < 2; t++) {
        while (history_reached(history_log(), teams[t], began, GUARANTEE) < 0 && history_now() < began + 30)
            clock_sleep(clock_from_seconds(0.1));
        double reached = history_reached(history_log(), teams[t], began, GUARANTEE);
        if (reached < 0 || reached > GUARANTEE_BOUND_S) fail_msg("%s had it after %.1f s", teams[t], reached);
    }
}

/* One controller after the other comes back with a lower limit, under load. */
static void limit_lowered(void) {
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
    burst_everywhere(red, "red", 0);
    clock_sleep(clock_from_seconds(3));
    /* What runs beyond it is not killed. */
    assert_int_equal(standin_workers_running("req-90001/0") + standin_workers_running("req-90002/0"), 2);
    assert_true(history_least(history_log(), "red", lower, history_now()) >= 9);
    cancel(0, "req-90001");
    burst_ends(red);
    assert_int_equal(history_above(history_log(), "red", LOWER_LIMIT, lower), 0);
    cancel(1, "req-90002");
}

/* Controllers run with different files for long. */
static void files_differ(void) {
    struct burst red[CONTROLLERS];
    cluster_kill_controller(2);
    assert_true(cluster_teams(2, LOWER_TEAMS));
    cluster_start_controller(2);
    assert_true(cluster_all_shards_owned(20));
    clock_sleep(clock_from_seconds(1));
    double lower = history_now();
    burst_everywhere(red, "red", 0);
    burst_ends(red);
    assert_int_equal(history_above(history_log(), "red", LOWER_LIMIT, lower), 0);
    cluster_kill_controller(2);
    assert_true(cluster_teams(2, TEAMS));
    cluster_start_controller(2);
    assert_true(cluster_all_shards_owned(20));
    burst_everywhere(red, "red", 1);
    burst_ends(red);
    assert_true(history_peak(history_log(), "red") > LOWER_LIMIT); /* raised again */
}

static bool divided(const char *team);
static bool becomes_divided(bool wanted, double within);

/* The division is halted half-way: two of three controllers have the file, for long. */
static void halted(void) {
    struct burst red[CONTROLLERS], waiting[CONTROLLERS];
    burst_everywhere(red, "red", 0);
    burst_ends(red);
    assert_false(divided("red"));        /* not in force before the last has it */
    burst_everywhere(waiting, "red", 2); /* most of it waits while the division comes into force */
    cluster_kill_controller(2);
    assert_true(cluster_quota(2, DIVIDED));
    cluster_start_controller(2);
    assert_true(becomes_divided(true, 20));
    burst_everywhere(red, "red", 1);
    burst_ends(waiting);
    burst_ends(red);
}

static const char *production;

static void all_with(const char *program, const char *file) {
    for (int i = 0; i < CONTROLLERS; i++) {
        cluster_kill_controller(i);
        if (program) cluster_program(i, program);
        assert_true(cluster_quota(i, file));
        cluster_start_controller(i);
        assert_true(cluster_all_shards_owned(20));
    }
}

/* The division is taken back under load, and then the version in production comes back. */
static void taken_back(void) {
    struct burst red[CONTROLLERS];
    submit_red(0, "req-90001", "standing", 2);
    assert_true(cluster_task_runs("req-90001/0", 1, 20) && cluster_task_runs("req-90001/1", 1, 20));
    burst_everywhere(red, "red", 0);
    all_with(NULL, UNDIVIDED);
    burst_ends(red);
    cancel(0, "req-90001"); /* a service stays in its shard until it ends */
    assert_true(becomes_divided(false, 20));
    submit_red(0, "req-90002", "standing", 2);
    assert_true(cluster_task_runs("req-90002/0", 1, 20) && cluster_task_runs("req-90002/1", 1, 20));
    all_with(production, NULL);
    assert_true(cluster_job_becomes("req-10000", "done", 10));
    burst_everywhere(red, "red", 1);
    burst_ends(red);
    assert_int_equal(standin_workers_starts_by_prefix("req-90002/"), 2); /* it ran on */
    cancel(1, "req-90002");
}

static const struct row {
    const char *name;
    void (*bring_about)(void);
    bool halted; /* the third controller begins without the file */
} rows[] = {
    {"burst_at_every_controller", burst, false},
    {"owner_ends", owner_ends, false},
    {"owner_restarts_at_once", owner_is_back, false},
    {"owner_paused_past_lease", owner_stands_still, false},
    {"owner_cut_from_store_and_peers", owner_is_cut, false},
    {"store_refuses_one_owner", owner_is_refused, false},
    {"delayed_transactions", transactions_late, false},
    {"store_outage_during_rebalance", store_out, false},
    {"two_gangs_over_half", two_gangs, false},
    {"gang_against_flood", gang_and_flood, false},
    {"deaf_machine", machine_is_deaf, false},
    {"hanging_machine", machine_hangs, false},
    {"delayed_commands", commands_are_held, false},
    {"team_below_guarantee", one_team_below, false},
    {"two_teams_below_guarantee", two_teams_below, false},
    {"limit_lowered_under_load", limit_lowered, false},
    {"differing_settings", files_differ, false},
    {"division_halted_midway", halted, true},
    {"division_reverted", taken_back, false},
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

static void begin_divided(void) {
    for (int i = 0; i < CONTROLLERS; i++) {
        assert_true(cluster_quota(i, rows[row].halted && i == 2 ? NULL : DIVIDED));
        cluster_start_controller(i);
    }
    assert_true(cluster_all_shards_owned(20));
    if (!rows[row].halted) assert_true(becomes_divided(true, 10));
}

static void quota(void **state) {
    (void)state;
    begin_divided();
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
    const struct CMUnitTest tests[] = {{rows[row].name, quota, NULL, NULL, NULL}};
    int rc = cmocka_run_group_tests(tests, NULL, NULL);
    cluster_clear();
    return rc;
}
