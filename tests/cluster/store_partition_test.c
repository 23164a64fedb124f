/* The store refuses one controller alone, another confirms cancellations, then the store is out for all for longer than
 * the cancel deadline, while workers keep sending heartbeats to the refused controller. All the same, tasks of the
 * cancelled jobs end within the deadline, tasks that had not started don't start, and other jobs run on.
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

#define REFUSED_S 0.8      /* from the refusal to the outage: less than a controller's lease in the store */
#define STARTS_KNOWN_S 3.5 /* a start that was under way at the confirmation comes within that, or never */
#define SWITCH_S 2         /* after the confirmation workers switch to the other controller */
#define SWITCH_UNTIL_S 2.1
#define COMMANDS_DELAYED_S 6

static const struct {
    const char *name;
    int leader;
    bool jobs_of_other;     /* the cancelled jobs belong to the other controller's shard */
    bool workers_switch;    /* workers report to the other controller from the middle on */
    bool confirming_killed; /* the controller that confirmed is killed right after it */
    bool start_delayed;     /* a directive to start is delayed on its way to the machine */
    bool machine_hangs;     /* a machine hangs, and resumes within its lease */
    bool zone_partitioned;  /* the refused controller is partitioned with the workers of its zone */
    double outage_s;
} rows[] = {
    {"refused_owner_leads", 0, false, false, false, false, false, false, PAIR_CANCEL_S + 1},
    {"other_controller_leads", 1, false, false, false, false, false, false, PAIR_CANCEL_S + 1},
    {"workers_switch_controller", 0, false, true, false, false, false, false, PAIR_CANCEL_S + 1},
    {"confirming_controller_ends", 0, false, false, true, false, false, false, PAIR_CANCEL_S + 1},
    {"delayed_start", 0, false, false, false, true, false, false, PAIR_CANCEL_S + 1},
    {"machine_hangs", 0, false, false, false, false, true, false, PAIR_CANCEL_S + 1},
    {"zone_partition", 1, true, false, false, false, false, true, PAIR_CANCEL_S + 1},
};
static size_t row;

static const char *task_name(const char *job_id, int index) {
    static char name[64];
    g_snprintf(name, sizeof name, "%s/%d", job_id, index);
    return name;
}

static int running(const char *job_id, int tasks) {
    int count = 0;
    for (int i = 0; i < tasks; i++) count += standin_workers_running(task_name(job_id, i));
    return count;
}

static void cancel(const char *job_id) {
    char job_state[32] = "";
    pair_cancel_at(1, job_id, 1, job_state, sizeof job_state);
    assert_string_equal(job_state, "cancelled");
}

/* Job 1 runs, 2 fetches its image until long after the outage has begun, 3 is not cancelled. */
static void submit_jobs(const char *team) {
    standin_workers_set_fetch_time("req-90002", 6);
    assert_true(pair_submit("req-90001", team, "standing", 2));
    assert_true(pair_submit("req-90003", team, "standing", 1));
    assert_true(pair_task_runs("req-90001/0", 1, 20) && pair_task_runs("req-90001/1", 1, 20) &&
                pair_task_runs("req-90003/0", 1, 20));
    assert_true(pair_submit("req-90002", team, "standing", 1));
    struct timespec start = clock_now();
    while (!standin_workers_holding("req-90002/0") && clock_seconds_since(start) < 10)
        clock_sleep(clock_from_seconds(0.01));
    assert_int_equal(standin_workers_holding("req-90002/0"), 1);
}

/* Job 4 is allocated at the last moment: its directive is on the way while the record is in the store. */
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

/* What is seen until the cancel deadline. */
struct observed {
    int starts;        /* of all tasks, once those under way have come; -1: not yet known */
    int fetched_began; /* whether a cancelled task that fetched its image ran */
};

static struct observed observe_until_deadline(struct timespec confirmed, int hanging) {
    struct observed observed = {-1, 0};
    while (clock_seconds_since(confirmed) < PAIR_CANCEL_S) {
        double elapsed = clock_seconds_since(confirmed);
        observed.fetched_began |= running("req-90002", 1);
        if (observed.starts < 0 && elapsed > STARTS_KNOWN_S) observed.starts = standin_workers_starts();
        if (rows[row].workers_switch && elapsed > SWITCH_S && elapsed < SWITCH_UNTIL_S) standin_workers_report_to(1);
        if (rows[row].machine_hangs && elapsed > PAIR_LEASE_S * 0.8) standin_workers_inject(hanging, STANDIN_HEALTHY);
        if (rows[row].start_delayed && elapsed > COMMANDS_DELAYED_S) standin_workers_inject(-1, STANDIN_HEALTHY);
        clock_sleep(clock_from_seconds(0.02));
    }
    return observed;
}

/* The store is out: nothing new can have been decided. */
static void check_cancelled_jobs(const struct observed *observed) {
    assert_int_equal(running("req-90001", 2), 0);
    /* A task that goes on fetching would start by itself. Where no controller that knows of the cancellation can reach
     * the machine, it may: then only the bound on answers to users holds. */
    if (!rows[row].confirming_killed && !rows[row].zone_partitioned && !rows[row].start_delayed)
        assert_int_equal(observed->fetched_began, 0);
    assert_int_equal(running("req-90004", 1), 0);
    assert_int_equal(standin_workers_starts(), observed->starts);
}

static void end_faults(void) {
    standin_workers_inject(-1, STANDIN_HEALTHY);
    standin_store_inject(STANDIN_NO_FAULT);
    standin_store_refuse(0, false);
    if (rows[row].confirming_killed) pair_start_controller(1);
}

static void cancelled_tasks_end_by_the_deadline(void **state) {
    (void)state;
    assert_true(pair_start_led_by(rows[row].leader));
    const char *team = pair_team_of(rows[row].jobs_of_other ? 1 : 0);
    assert_non_null(team);
    submit_jobs(team);
    int hanging = standin_workers_machine_of("req-90001/0");
    assert_true(hanging >= 0);
    if (rows[row].start_delayed) submit_with_delayed_start(team);
    if (!rows[row].zone_partitioned && !rows[row].jobs_of_other) standin_workers_report_to(0);
    standin_store_refuse(0, true);
    struct timespec refused = clock_now();
    if (rows[row].zone_partitioned) standin_workers_inject(-1, STANDIN_PARTITIONED);
    cancel_jobs();
    struct timespec confirmed = clock_now();
    if (rows[row].machine_hangs) standin_workers_inject(hanging, STANDIN_HANGS);
    if (rows[row].confirming_killed) pair_kill_controller(1);
    pair_wait(refused, REFUSED_S);
    standin_store_inject(STANDIN_OUTAGE);
    struct timespec outage = clock_now();
    struct observed observed = observe_until_deadline(confirmed, hanging);
    check_cancelled_jobs(&observed);
    pair_wait(outage, rows[row].outage_s);
    end_faults();
    assert_true(pair_task_runs("req-90003/0", 1, 20)); /* it was not cancelled */
    assert_int_equal(running("req-90001", 2) + running("req-90002", 1) + running("req-90004", 1), 0);
    assert_int_equal(standin_workers_most_copies(), 1);
}

int main(int argc, char **argv) {
    if (cases_are_listed(argc, argv)) return cases_compare(CASES(rows), argc, argv);
    if (argc < 3 || !cases_find(CASES(rows), argv[2], &row) || !pair_start(argv[1])) return 2;
    standin_cloud_refuse_no_rental();
    const struct CMUnitTest tests[] = {{rows[row].name, cancelled_tasks_end_by_the_deadline, NULL, NULL, NULL}};
    int failed = cmocka_run_group_tests(tests, NULL, NULL);
    pair_clear();
    return failed;
}
