/* Combinations of failures, two real controllers against stand-ins: docs/compound-failures.md says which is which. One
 * row a run: the stand-ins begin from nothing. Every row ends with what holds for all: no task ever on two machines. */
#include <glib.h>
#include <pthread.h>
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

static char last_state[32];

static long cancel(int first, const char *job_id) {
    char path[64];
    long status = 0;
    g_snprintf(path, sizeof path, "/work/%s/cancel", job_id);
    struct timespec start = clock_now();
    while (status != 200 && clock_seconds_since(start) < 5) {
        status = pair_ask(first, "POST", path, "{}", last_state, sizeof last_state);
        if (status != 200) clock_sleep(clock_from_seconds(0.05));
    }
    return status;
}

static long poll_one(int i, const char *job_id) {
    char path[64];
    g_snprintf(path, sizeof path, "/work/%s", job_id);
    return pair_ask_one(i, "GET", path, NULL, last_state, sizeof last_state);
}

static bool task_is_gone(const char *task, double within) { return pair_task_runs(task, 0, within); }

/* A job that runs on, of the team whose shard that controller owns. */
static void submit_long_job(const char *job_id, int owner, int tasks) {
    char task[64];
    assert_non_null(pair_team_of(owner));
    assert_true(pair_submit(job_id, pair_team_of(owner), "standing", tasks));
    for (int t = 0; t < tasks; t++) {
        g_snprintf(task, sizeof task, "%s/%d", job_id, t);
        assert_true(pair_task_runs(task, 1, 20));
    }
}

/* A machine that reaches no controller, while commands reach it: what was cancelled ends at once, the rest elsewhere
 * once its lease is over. */
static void machine_cannot_report(void) {
    submit_long_job("req-90001", 1, 2);
    submit_long_job("req-90002", 1, 2);
    int on = standin_workers_machine_of("req-90001/0");
    standin_workers_inject(on, STANDIN_CANNOT_REPORT);
    assert_int_equal(cancel(1, "req-90001"), 200);
    assert_true(task_is_gone("req-90001/0", 3));
    clock_sleep(clock_from_seconds(PAIR_LEASE_S + 1));
    assert_true(pair_task_runs("req-90002/0", 1, 25) && pair_task_runs("req-90002/1", 1, 25));
}

/* A store whose every answer takes long, while users submit, cancel and ask: an answer is right, or it is none. */
static void slow_store(void) {
    submit_long_job("req-90001", 0, 1);
    standin_store_delay_answers(0.15);
    assert_int_equal(cancel(0, "req-90001"), 200);
    struct timespec told = clock_now();
    while (clock_seconds_since(told) < PAIR_CANCEL_S) {
        for (int i = 0; i < 2; i++)
            if (poll_one(i, "req-90001") == 200) assert_string_equal(last_state, "cancelled");
        clock_sleep(clock_from_seconds(0.05));
    }
    assert_int_equal(standin_workers_running("req-90001/0"), 0);
    standin_store_delay_answers(0);
    assert_true(pair_submit("req-10002", "red", "batch", 3));
    assert_true(pair_job_becomes("req-10002", "done", 30));
}

/* The tasks of one job end far apart, and its owner changes in between: it is done when the last is. */
static void tasks_end_far_apart(void) {
    const char *team = pair_team_of(0);
    standin_workers_set_fetch_time("req-10001/2", 7);
    assert_true(pair_submit("req-10001", team, "batch", 3));
    struct timespec start = clock_now();
    while (!standin_workers_holding("req-10001/2") && clock_seconds_since(start) < 15)
        clock_sleep(clock_from_seconds(0.02));
    struct timespec held = clock_now();
    clock_sleep(clock_from_seconds(1.5)); /* the others have ended by now */
    pair_kill_controller(0);
    while (clock_seconds_since(held) < 6.5) {
        if (poll_one(1, "req-10001") == 200) assert_string_not_equal(last_state, "done");
        clock_sleep(clock_from_seconds(0.1));
    }
    pair_start_controller(0);
    assert_true(pair_job_becomes("req-10001", "done", 30));
    assert_int_equal(poll_one(0, "req-10001"), 200);
    assert_string_equal(last_state, "done");
}

/* Commands are held up for seconds, and then executed, while the machine goes on: some of what they start was given up.
 */
static void delayed_commands(void) {
    submit_long_job("req-90001", 0, 2);
    standin_workers_inject(-1, STANDIN_COMMANDS_DELAYED);
    assert_true(pair_submit("req-90002", pair_team_of(0), "standing", 3));
    clock_sleep(clock_from_seconds(1.5));
    assert_int_equal(cancel(0, "req-90002"), 200);
    struct timespec told = clock_now();
    assert_true(pair_submit("req-90003", pair_team_of(0), "standing", 2));
    clock_sleep(clock_from_seconds(2.5));
    standin_workers_inject(-1, STANDIN_HEALTHY);
    /* What was held is executed by now: no start of it is still good. */
    assert_int_equal(standin_workers_holding("req-90002/0") + standin_workers_holding("req-90002/1") +
                         standin_workers_holding("req-90002/2"),
                     0);
    pair_wait(told, PAIR_CANCEL_S);
    assert_true(task_is_gone("req-90002/0", 0.1) && task_is_gone("req-90002/1", 0.1) &&
                task_is_gone("req-90002/2", 0.1));
    assert_true(pair_task_runs("req-90001/1", 1, 20) && pair_task_runs("req-90003/0", 1, 20) &&
                pair_task_runs("req-90003/1", 1, 20));
}

/* A zone with its workers and a controller is cut off for longer than a lease; jobs are cancelled outside. */
static void zone_partition(void) {
    submit_long_job("req-90001", 0, 2);
    submit_long_job("req-90002", 1, 1);
    submit_long_job("req-90003", 1, 1);
    standin_workers_inject(-1, STANDIN_PARTITIONED);
    standin_store_refuse(0, true);
    struct timespec cut = clock_now();
    assert_int_equal(cancel(1, "req-90001"), 200);
    assert_int_equal(cancel(1, "req-90002"), 200);
    struct timespec told = clock_now();
    pair_wait(cut, PAIR_LEASE_S + 2);
    pair_wait(told, PAIR_CANCEL_S);
    assert_true(task_is_gone("req-90001/0", 0.1) && task_is_gone("req-90001/1", 0.1) &&
                task_is_gone("req-90002/0", 0.1));
    standin_workers_inject(-1, STANDIN_HEALTHY);
    standin_store_refuse(0, false);
    assert_true(pair_task_runs("req-90003/0", 1, 25));
}

struct asked {
    const char *job_id;
    int at;
    bool cancels;
    char state[32];
    long status;
};
static void *ask_main(void *arg) {
    struct asked *a = arg;
    char path[64];
    g_snprintf(path, sizeof path, a->cancels ? "/work/%s/cancel" : "/work/%s", a->job_id);
    a->status =
        pair_ask_one(a->at, a->cancels ? "POST" : "GET", path, a->cancels ? "{}" : NULL, a->state, sizeof a->state);
    return NULL;
}

/* A cancel and a question meet the end of a job's last task, at two controllers: what anyone was told of the end stays.
 */
static void cancel_at_completion(void) {
    for (int i = 0; i < 12; i++) {
        char job_id[32], told[32] = "";
        g_snprintf(job_id, sizeof job_id, "req-10%03d", i);
        assert_true(pair_submit(job_id, pair_team_of(i % 2), "batch", 1 + i % 3));
        struct timespec start = clock_now();
        char task[48];
        g_snprintf(task, sizeof task, "%s/0", job_id);
        while (!standin_workers_holding(task) && clock_seconds_since(start) < 15) clock_sleep(clock_from_seconds(0.01));
        clock_sleep(clock_from_seconds(0.55 + 0.03 * i)); /* it runs for 0.6 s, and is reported within 0.2 */
        struct asked asks[3] = {
            {job_id, i % 2, true, "", 0}, {job_id, 1 - i % 2, false, "", 0}, {job_id, 1, false, "", 0}};
        pthread_t t[3];
        for (int n = 0; n < 3; n++) assert_int_equal(pthread_create(&t[n], NULL, ask_main, &asks[n]), 0);
        for (int n = 0; n < 3; n++) {
            pthread_join(t[n], NULL);
            bool final =
                asks[n].status == 200 && (!strcmp(asks[n].state, "done") || !strcmp(asks[n].state, "cancelled"));
            if (final && *told) assert_string_equal(asks[n].state, told);
            if (final) g_strlcpy(told, asks[n].state, sizeof told);
        }
        assert_int_equal(cancel(1, job_id), 200); /* repeated as users do: it gets the same answer */
        if (*told) assert_string_equal(last_state, told);
        g_strlcpy(told, last_state, sizeof told);
        for (int n = 0; n < 2; n++) {
            assert_int_equal(poll_one(n, job_id), 200);
            assert_string_equal(last_state, told);
        }
        assert_true(pair_submit(job_id, "red", "batch", 1)); /* a repetition, and not even the same */
        assert_int_equal(poll_one(i % 2, job_id), 200);
        assert_string_equal(last_state, told);
    }
}

/* A team is at its limit when its owner ends; one of its machines can't be asked, and a job of it is cancelled. */
static void team_at_its_limit(void) {
    int owner = pair_team_of(0) && !strcmp(pair_team_of(0), "red") ? 0 : 1; /* green's shard is red's */
    standin_workers_measure_peak("req-90");
    assert_true(pair_submit("req-90001", "green", "standing", 3));
    assert_true(pair_task_runs("req-90001/0", 1, 20) && pair_task_runs("req-90001/2", 1, 20));
    assert_true(pair_submit("req-90002", "green", "standing", 3));
    struct timespec start = clock_now();
    while (standin_workers_running("req-90002/0") + standin_workers_running("req-90002/1") +
                   standin_workers_running("req-90002/2") <
               1 &&
           clock_seconds_since(start) < 20)
        clock_sleep(clock_from_seconds(0.05));
    int on = standin_workers_machine_of("req-90001/0");
    standin_workers_inject(on, STANDIN_HANGS);
    pair_kill_controller(owner);
    assert_int_equal(cancel(1 - owner, "req-90001"), 200);
    struct timespec told = clock_now();
    pair_wait(told, PAIR_LEASE_S - 1);
    standin_workers_inject(on, STANDIN_HEALTHY);
    pair_wait(told, PAIR_CANCEL_S);
    assert_true(task_is_gone("req-90001/0", 0.1) && task_is_gone("req-90001/1", 0.1) &&
                task_is_gone("req-90001/2", 0.1));
    for (int t = 0; t < 3; t++) {
        char task[32];
        g_snprintf(task, sizeof task, "req-90002/%d", t);
        assert_true(pair_task_runs(task, 1, 25));
    }
    assert_true(standin_workers_peak() <= 4);
    pair_start_controller(owner);
}

/* The leader loses the store and the other controllers, not its users: it tells nothing that is older than what the
 * other told. */
static void partitioned_leader_is_polled(void) {
    submit_long_job("req-90001", 0, 1);
    submit_long_job("req-90002", 0, 1);
    standin_store_refuse(0, true);
    struct timespec cut = clock_now();
    assert_int_equal(cancel(1, "req-90001"), 200);
    while (clock_seconds_since(cut) < PAIR_CANCEL_S + 1) {
        if (poll_one(0, "req-90001") == 200) assert_string_equal(last_state, "cancelled");
        assert_int_equal(poll_one(1, "req-90001"), 200);
        assert_string_equal(last_state, "cancelled");
        clock_sleep(clock_from_seconds(0.1));
    }
    assert_true(task_is_gone("req-90001/0", 0.1));
    standin_store_refuse(0, false);
    assert_true(pair_task_runs("req-90002/0", 1, 25));
}

/* An owner ends while a machine with a long task hears no answer of anybody: it is given back, and only then does its
 * task begin elsewhere. */
static void machine_deaf_at_failover(void) {
    submit_long_job("req-90001", 0, 1);
    submit_long_job("req-90002", 0, 4);
    int on = standin_workers_machine_of("req-90001/0");
    standin_workers_inject(on, STANDIN_CANNOT_HEAR);
    pair_kill_controller(0);
    struct timespec ended = clock_now();
    pair_wait(ended, 5);
    assert_true(pair_task_runs("req-90001/0", 1, 30));
    assert_true(standin_workers_machine_of("req-90001/0") != on);
    pair_start_controller(0);
}

/* Ten changes of leader, also inside an outage. */
static void ten_leader_changes(void) {
    submit_long_job("req-90001", 0, 2);
    for (int i = 0; i < 10; i++) {
        int led = pair_leads(0) ? 0 : 1;
        pair_kill_controller(led);
        pair_start_controller(led);
        if (i == 4) standin_store_inject(STANDIN_OUTAGE);
        clock_sleep(clock_from_seconds(i % 3 ? 0.4 : 1.2));
        if (i == 6) standin_store_inject(STANDIN_NO_FAULT);
        if (i == 7) assert_true(pair_submit("req-10002", "blue", "batch", 6));
    }
    assert_true(pair_job_becomes("req-10002", "done", 30));
    assert_true(pair_task_runs("req-90001/0", 1, 20) && pair_task_runs("req-90001/1", 1, 20));
}

/* Every second change of the store gets no answer and is carried out after newer ones; an owner ends in between. */
static void delayed_transactions(void) {
    submit_long_job("req-90001", 0, 2);
    standin_store_delay_transactions(1.5);
    for (int i = 0; i < 6; i++) {
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-10%03d", i);
        assert_true(pair_submit(job_id, i % 2 ? "red" : "blue", "batch", 3));
    }
    assert_int_equal(cancel(1, "req-90001"), 200);
    struct timespec told = clock_now();
    pair_kill_controller(0);
    clock_sleep(clock_from_seconds(0.5));
    pair_start_controller(0);
    pair_wait(told, PAIR_CANCEL_S);
    assert_true(task_is_gone("req-90001/0", 0.1) && task_is_gone("req-90001/1", 0.1));
    standin_store_delay_transactions(0);
    for (int i = 0; i < 6; i++) {
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-10%03d", i);
        assert_true(pair_job_becomes(job_id, "done", 40));
    }
    assert_int_equal(poll_one(1, "req-90001"), 200);
    assert_string_equal(last_state, "cancelled");
}

/* Of every report a copy comes seconds later, to the other controller, which may have taken over meanwhile. */
static void delayed_heartbeats(void) {
    standin_workers_duplicate_heartbeats(2.5);
    submit_long_job("req-90001", 0, 3);
    assert_true(pair_submit("req-10002", pair_team_of(0), "batch", 8));
    clock_sleep(clock_from_seconds(1));
    pair_kill_controller(0);
    assert_int_equal(cancel(1, "req-90001"), 200);
    struct timespec told = clock_now();
    assert_true(pair_submit("req-90003", "red", "standing", 2));
    assert_true(pair_job_becomes("req-10002", "done", 30));
    pair_start_controller(0);
    pair_wait(told, PAIR_CANCEL_S);
    assert_true(task_is_gone("req-90001/0", 0.1) && task_is_gone("req-90001/1", 0.1) &&
                task_is_gone("req-90001/2", 0.1));
    assert_true(pair_task_runs("req-90003/0", 1, 20) && pair_task_runs("req-90003/1", 1, 20));
    standin_workers_duplicate_heartbeats(0);
}

/* All controllers are away for longer than a lease. */
static void all_controllers_down(void) {
    submit_long_job("req-90001", 0, 2);
    submit_long_job("req-90002", 1, 1);
    assert_int_equal(cancel(1, "req-90002"), 200);
    pair_kill_controller(0);
    pair_kill_controller(1);
    struct timespec ended = clock_now();
    pair_wait(ended, PAIR_LEASE_S + 2);
    assert_int_equal(standin_workers_running("req-90001/0"), 0);
    pair_start_controller(0);
    pair_start_controller(1);
    assert_true(pair_task_runs("req-90001/0", 1, 25) && pair_task_runs("req-90001/1", 1, 25));
    assert_int_equal(standin_workers_running("req-90002/0"), 0);
    assert_true(pair_job_becomes("req-90002", "cancelled", 5));
}

/* A machine that reports and takes orders, but does not end what was cancelled: it is given back in time. */
static void stop_not_obeyed(void) {
    submit_long_job("req-90001", 0, 1);
    submit_long_job("req-90002", 1, 1);
    int before = standin_cloud_returned();
    standin_workers_inject(standin_workers_machine_of("req-90001/0"), STANDIN_IGNORES_STOPS);
    assert_int_equal(cancel(1, "req-90001"), 200);
    struct timespec told = clock_now();
    pair_wait(told, PAIR_CANCEL_S / 2);
    assert_int_equal(standin_workers_running("req-90001/0"), 1);
    pair_wait(told, PAIR_CANCEL_S);
    assert_int_equal(standin_workers_running("req-90001/0"), 0);
    assert_int_equal(standin_cloud_returned(), before + 1);
    assert_int_equal(standin_workers_running("req-90002/0"), 1);
}

/* All controllers end after the record that drops a machine was written, and before that of its allocations: nobody can
 * ask the machine. Here it even lives on, and reaches nobody: its tasks start elsewhere on the cloud's word alone. */
static void machine_without_record(void) {
    submit_long_job("req-90001", 0, 1);
    submit_long_job("req-90002", 0, 4);
    int on = standin_workers_machine_of("req-90001/0"), before = standin_cloud_returned();
    pair_kill_controller(0);
    pair_kill_controller(1);
    standin_workers_inject(on, STANDIN_HANGS);
    assert_true(standin_store_remove_machine(on));
    pair_start_controller(0);
    pair_start_controller(1);
    struct timespec start = clock_now();
    while (standin_cloud_returned() == before && clock_seconds_since(start) < 30) clock_sleep(clock_from_seconds(0.02));
    assert_int_equal(standin_cloud_returned(), before + 1);
    assert_true(pair_task_runs("req-90001/0", 1, 30) && pair_task_runs("req-90002/3", 1, 30));
    assert_true(standin_workers_machine_of("req-90001/0") != on);
}

static const struct {
    const char *name;
    void (*bring_about)(void);
    int leader;
} rows[] = {
    {"machine_cannot_report", machine_cannot_report, 0},
    {"slow_store", slow_store, 0},
    {"tasks_end_far_apart", tasks_end_far_apart, 0},
    {"delayed_commands", delayed_commands, 0},
    {"zone_partition", zone_partition, 0},
    {"cancel_at_completion", cancel_at_completion, 0},
    {"team_at_its_limit", team_at_its_limit, 0},
    {"partitioned_leader_is_polled", partitioned_leader_is_polled, 0},
    {"machine_deaf_at_failover", machine_deaf_at_failover, 0},
    {"ten_leader_changes", ten_leader_changes, 0},
    {"delayed_transactions", delayed_transactions, 0},
    {"delayed_heartbeats", delayed_heartbeats, 0},
    {"all_controllers_down", all_controllers_down, 0},
    {"stop_not_obeyed", stop_not_obeyed, 0},
    {"machine_without_record", machine_without_record, 0},
};
static size_t row;

static void run_case(void **state) {
    (void)state;
    assert_true(pair_start_led_by(rows[row].leader));
    rows[row].bring_about();
    assert_int_equal(standin_workers_most_copies(), 1);
    assert_int_equal(standin_cloud_claims_reused(), 0);
    assert_int_equal(standin_store_unguarded_changes(), 0);
}

int main(int argc, char **argv) {
    if (cases_are_listed(argc, argv)) return cases_compare(CASES(rows), argc, argv);
    if (argc < 3 || !cases_find(CASES(rows), argv[2], &row) || !pair_start(argv[1])) return 2;
    standin_cloud_refuse_no_rental();
    const struct CMUnitTest tests[] = {{rows[row].name, run_case, NULL, NULL, NULL}};
    int rc = cmocka_run_group_tests(tests, NULL, NULL);
    pair_clear();
    return rc;
}
