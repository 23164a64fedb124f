/* Messages that are held up on their way for longer than the cancel deadline, with two real controllers and stand-ins:
 * commands that start tasks, and requests to rent and to return machines. No task of a cancelled job starts after the
 * deadline, no task is ever on two machines, and no machine runs tasks that no controller knows of.
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

#define LEADER 0
#define CANCEL_TIMEOUT_S 10
#define START_TIMEOUT_S 25
#define ADOPTION_TIMEOUT_S 40
#define HELD_LONGER_S 1 /* than the cancel deadline */
#define SETTLED_S 2     /* in which a held start would have started its task */
#define CANCELLED_JOB "req-90002"
#define CANCELLED_TASKS 3

static const struct standin_copy_delay copies_on_demand = {1e6, 1e6, 1};

/* Waits until the counter is at least the minimum. */
static bool wait_for_count(int (*count)(void), int minimum, double timeout_s) {
    struct timespec start = clock_now();
    while (count() < minimum && clock_seconds_since(start) < timeout_s) clock_sleep(clock_from_seconds(0.02));
    return count() >= minimum;
}

static void submit_running(const char *job_id, int tasks) {
    char task[64];
    assert_true(pair_submit(job_id, pair_team_owned_by(LEADER), "standing", tasks));
    for (int i = 0; i < tasks; i++) {
        g_snprintf(task, sizeof task, "%s/%d", job_id, i);
        assert_true(pair_wait_for_running_task(task, 1, START_TIMEOUT_S));
    }
}

static struct timespec cancel(const char *job_id) {
    char state[32] = "";
    pair_cancel_job(1, job_id, CANCEL_TIMEOUT_S, state, sizeof state);
    assert_string_equal(state, "cancelled");
    return clock_now();
}

static int delayed_starts(void) { return standin_workers_delayed_starts(CANCELLED_JOB); }

static int held_tasks(void) {
    int held = 0;
    for (int i = 0; i < CANCELLED_TASKS; i++) {
        char task[64];
        g_snprintf(task, sizeof task, CANCELLED_JOB "/%d", i);
        held += standin_workers_holding(task);
    }
    return held;
}

/* ---- starts ---- */

/* What happens while a start is held up. */
enum meanwhile { NOTHING, OWNER_ENDS, OWNER_CHANGES, STORE_OUTAGE };

static void run_meanwhile(enum meanwhile meanwhile) {
    if (meanwhile == OWNER_ENDS || meanwhile == OWNER_CHANGES) pair_kill_controller(LEADER);
    if (meanwhile == STORE_OUTAGE) standin_store_inject(STANDIN_OUTAGE);
}

/* Checks that nothing of the cancelled job starts from now on. */
static void check_nothing_starts(int starts_before) {
    struct timespec start = clock_now();
    while (clock_seconds_since(start) < SETTLED_S) {
        assert_int_equal(held_tasks(), 0);
        clock_sleep(clock_from_seconds(0.01));
    }
    assert_int_equal(standin_workers_starts_by_prefix(CANCELLED_JOB), starts_before);
}

static void hold_starts(enum standin_worker_fault fault, enum meanwhile meanwhile) {
    submit_running("req-90001", 2);
    standin_workers_inject(-1, fault);
    assert_true(pair_submit(CANCELLED_JOB, pair_team_owned_by(LEADER), "standing", CANCELLED_TASKS));
    assert_true(wait_for_count(delayed_starts, 1, PAIR_WORKER_LEASE_S));
    if (meanwhile == OWNER_CHANGES) run_meanwhile(meanwhile);
    struct timespec cancelled_at = cancel(CANCELLED_JOB);
    if (meanwhile != OWNER_CHANGES) run_meanwhile(meanwhile);
    pair_wait_until_elapsed(cancelled_at, PAIR_CANCEL_DEADLINE_S + HELD_LONGER_S);
    assert_int_equal(held_tasks(), 0);
    int starts_before = standin_workers_starts_by_prefix(CANCELLED_JOB);
    standin_workers_inject(-1, STANDIN_HEALTHY);
    check_nothing_starts(starts_before);
    standin_store_inject(STANDIN_NO_FAULT);
    if (meanwhile == OWNER_ENDS || meanwhile == OWNER_CHANGES) pair_start_controller(LEADER);
    check_nothing_starts(starts_before);
    assert_true(pair_wait_for_running_task("req-90001/0", 1, START_TIMEOUT_S));
}

static void start(void) { hold_starts(STANDIN_COMMANDS_DELAYED, NOTHING); }
static void start_and_owner_ends(void) { hold_starts(STANDIN_COMMANDS_DELAYED, OWNER_ENDS); }
static void start_between_owners(void) { hold_starts(STANDIN_COMMANDS_DELAYED, OWNER_CHANGES); }
static void start_in_store_outage(void) { hold_starts(STANDIN_COMMANDS_DELAYED, STORE_OUTAGE); }
static void start_at_hanging_machine(void) { hold_starts(STANDIN_HANGS, NOTHING); }
static void start_at_deaf_machine(void) { hold_starts(STANDIN_DEAF, NOTHING); }
static void start_at_deaf_machine_and_owner_ends(void) { hold_starts(STANDIN_DEAF, OWNER_ENDS); }
static void start_at_deaf_machine_in_store_outage(void) { hold_starts(STANDIN_DEAF, STORE_OUTAGE); }

/* Copies of starts that were carried out before the cancellation. */
static void start_copies(void) {
    standin_workers_copy_commands(&copies_on_demand);
    submit_running(CANCELLED_JOB, CANCELLED_TASKS);
    struct timespec cancelled_at = cancel(CANCELLED_JOB);
    pair_wait_until_elapsed(cancelled_at, PAIR_CANCEL_DEADLINE_S + HELD_LONGER_S);
    int starts_before = standin_workers_starts_by_prefix(CANCELLED_JOB);
    standin_workers_deliver_command_copies();
    check_nothing_starts(starts_before);
    struct standin_copy_counts copies = standin_workers_command_copies();
    assert_true(copies.carried_out + copies.refused > 0);
}

/* ---- rentals and returns ---- */

static int unrecorded_machines(void) {
    int unrecorded = 0;
    for (int i = 0; i < standin_workers_added(); i++)
        unrecorded += standin_workers_is_alive(i) && !standin_store_lists_machine(i);
    return unrecorded;
}

/* Waits until every machine that is on is in the store's records. Returns false after the timeout. */
static bool machines_become_known(double timeout_s) {
    struct timespec begin = clock_now();
    while (clock_seconds_since(begin) < timeout_s) {
        if (unrecorded_machines() == 0) return true;
        clock_sleep(clock_from_seconds(0.1));
    }
    return false;
}

/* The machines of a rental come up after all controllers have ended, and others have been rented instead. */
static void rental_of_ended_controller(void) {
    standin_cloud_delay_requests();
    assert_true(pair_submit("req-90001", pair_team_owned_by(LEADER), "standing", 2));
    assert_true(wait_for_count(standin_cloud_delayed_rentals, 1, START_TIMEOUT_S));
    pair_kill_controller(0);
    pair_kill_controller(1);
    pair_start_controller(0);
    pair_start_controller(1);
    clock_sleep(clock_from_seconds(PAIR_WORKER_LEASE_S));
    standin_cloud_execute_delayed();
    assert_true(standin_workers_alive() > 0);
    assert_true(pair_wait_for_running_task("req-90001/0", 1, ADOPTION_TIMEOUT_S) &&
                pair_wait_for_running_task("req-90001/1", 1, ADOPTION_TIMEOUT_S));
    assert_true(machines_become_known(ADOPTION_TIMEOUT_S));
}

/* A rental without an answer is repeated under its name, carried out late, and rents once. */
static void rental_without_answer(void) {
    standin_cloud_delay_requests();
    assert_true(pair_submit("req-90001", pair_team_owned_by(LEADER), "standing", 2));
    assert_true(wait_for_count(standin_cloud_delayed_rentals, 1, START_TIMEOUT_S));
    clock_sleep(clock_from_seconds(PAIR_WORKER_LEASE_S));
    standin_cloud_execute_delayed();
    assert_true(pair_wait_for_running_task("req-90001/0", 1, ADOPTION_TIMEOUT_S) &&
                pair_wait_for_running_task("req-90001/1", 1, ADOPTION_TIMEOUT_S));
    assert_true(machines_become_known(ADOPTION_TIMEOUT_S));
}

/* The return of a silent machine with tasks gets no answer and is carried out late, after the machine is heard again
 * and all controllers have restarted. Its tasks start elsewhere only after it is gone, and it gets no new ones. */
static void late_return_of_machine_that_is_back(void) {
    submit_running("req-90001", 1);
    submit_running("req-90003", 4);
    int machine = standin_workers_machine_of("req-90001/0");
    standin_cloud_delay_requests();
    standin_workers_inject(machine, STANDIN_CANNOT_RECEIVE);
    pair_kill_controller(LEADER);
    assert_true(wait_for_count(standin_cloud_delayed_returns, 1, ADOPTION_TIMEOUT_S));
    standin_workers_inject(machine, STANDIN_HEALTHY);
    pair_kill_controller(1);
    pair_start_controller(0);
    pair_start_controller(1);
    clock_sleep(clock_from_seconds(PAIR_CANCEL_DEADLINE_S));
    standin_cloud_execute_delayed();
    assert_true(pair_wait_for_running_task("req-90001/0", 1, ADOPTION_TIMEOUT_S));
    assert_true(standin_workers_machine_of("req-90001/0") != machine);
    assert_true(machines_become_known(ADOPTION_TIMEOUT_S));
}

/* A machine is replaced by one with its name that knows nothing: it is in its first incarnation and accepts any token.
 * Its reports count as old: in the same incarnation until their sequence has passed that of the former machine, and
 * otherwise for ever, so that it is returned. Its tasks start again either way, each on one machine. */
static void replace_machine(bool in_later_incarnation) {
    submit_running("req-90001", 1);
    if (in_later_incarnation) {
        standin_workers_inject(standin_workers_machine_of("req-90001/0"), STANDIN_HANGS);
        clock_sleep(clock_from_seconds(PAIR_WORKER_LEASE_S + 1));
        standin_workers_inject(-1, STANDIN_HEALTHY);
        assert_true(pair_wait_for_running_task("req-90001/0", 1, ADOPTION_TIMEOUT_S));
    }
    submit_running("req-90003", 4);
    int machine = standin_workers_machine_of("req-90001/0");
    standin_workers_replace(machine);
    assert_int_equal(standin_workers_running("req-90001/0"), 0);
    assert_true(pair_wait_for_running_task("req-90001/0", 1, ADOPTION_TIMEOUT_S));
    for (int i = 0; i < 4; i++) {
        char task[64];
        g_snprintf(task, sizeof task, "req-90003/%d", i);
        assert_true(pair_wait_for_running_task(task, 1, ADOPTION_TIMEOUT_S));
    }
    assert_true(machines_become_known(ADOPTION_TIMEOUT_S));
}

static void machine_replaced_under_its_name(void) { replace_machine(false); }
static void machine_replaced_in_later_incarnation(void) { replace_machine(true); }

static const struct {
    const char *name;
    void (*run)(void);
} rows[] = {
    {"start", start},
    {"start_and_owner_ends", start_and_owner_ends},
    {"start_between_owners", start_between_owners},
    {"start_in_store_outage", start_in_store_outage},
    {"start_at_hanging_machine", start_at_hanging_machine},
    {"start_at_deaf_machine", start_at_deaf_machine},
    {"start_at_deaf_machine_and_owner_ends", start_at_deaf_machine_and_owner_ends},
    {"start_at_deaf_machine_in_store_outage", start_at_deaf_machine_in_store_outage},
    {"start_copies", start_copies},
    {"rental_of_ended_controller", rental_of_ended_controller},
    {"rental_without_answer", rental_without_answer},
    {"late_return_of_machine_that_is_back", late_return_of_machine_that_is_back},
    {"machine_replaced_under_its_name", machine_replaced_under_its_name},
    {"machine_replaced_in_later_incarnation", machine_replaced_in_later_incarnation},
};
static size_t row;

static void run_case(void **state) {
    (void)state;
    assert_true(pair_restart_with_leader(LEADER));
    rows[row].run();
    assert_int_equal(standin_workers_most_copies(), 1);
    assert_int_equal(standin_workers_restarts(), 0);
    assert_int_equal(standin_cloud_claims_reused(), 0);
    assert_int_equal(standin_store_unguarded_changes(), 0);
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
