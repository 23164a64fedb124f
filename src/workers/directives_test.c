/* Tests which directives a response to a heartbeat contains. */
#include "workers/directives.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <time.h>

#include "../../tests/standin/shard_owner.h"
#include "../../tests/standin/store.h"
#include "../../tests/standin/test_settings.h"
#include "../../tests/standin/worker_messages.h"
#include "clock/clock.h"
#include "membership/membership.h"
#include "workers/codec.h"

static struct settings settings;

static void stops_tasks_of_a_cancelled_job(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    store_lock();
    shard_owner_put("job/req-10002", WORKER_JOB("req-10002", "batch", "2"));
    struct machine *machine = worker_add_machine("i-000902", "req-10002", "0@i-000902+0 1@i-000902+1", false);
    worker_apply_message(machine, 1, 1, fencing_token, "{\"task\":\"req-10002/0\",\"try\":5,\"state\":\"running\"}",
                         CHANNEL_HEARTBEAT);
    assert_int_equal(worker_count_directives(machine, "run"), 1);
    worker_cancel_job("req-10002", WORKER_JOB("req-10002", "batch", "2"));
    assert_int_equal(worker_count_directives(machine, "run"), 0);
    assert_int_equal(worker_count_directives(machine, "stop"), 1);
    /* Task 0 completes after the cancellation: the job stays cancelled. */
    worker_apply_message(machine, 1, 2, fencing_token,
                         "{\"task\":\"req-10002/0\",\"try\":5,\"state\":\"ended\",\"cause\":\"done\"}",
                         CHANNEL_HEARTBEAT);
    assert_int_equal(jobs_find("req-10002")->state, JOB_CANCELLED);
    assert_true(((struct allocation *)machine->allocations->pdata[1])->released);
    worker_remove_machine("req-10002");
    store_unlock();
}

/* When the owner changes every few seconds, each new owner's first response renews the worker's lease, so a cancelled
 * task would run on. The stop must therefore be in that first response, before the worker shows the new token. */
static void stops_cancelled_tasks_under_an_older_token(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    store_lock();
    shard_owner_put("job/req-10004", WORKER_JOB("req-10004", "batch", "2"));
    struct machine *machine = worker_add_machine("i-000940", "req-10004", "0@i-000940+0 1@i-000940+1", true);
    static const char tasks[] =
        "{\"task\":\"req-10004/0\",\"try\":5,\"state\":\"running\"},"
        "{\"task\":\"req-10004/1\",\"try\":6,\"state\":\"ended\",\"cause\":\"done\"}";
    worker_apply_message(machine, 1, 1, fencing_token - 1, tasks, CHANNEL_HEARTBEAT);
    assert_int_equal(worker_count_directives(machine, "stop"), 0);
    worker_cancel_job("req-10004", WORKER_JOB("req-10004", "batch", "2"));
    worker_apply_message(machine, 1, 2, fencing_token - 1, tasks, CHANNEL_HEARTBEAT);
    assert_int_equal(worker_count_directives(machine, "stop"), 1);
    assert_int_equal(worker_count_directives(machine, "forget"), 0);
    assert_int_equal(worker_count_directives(machine, "run"), 0);
    worker_remove_machine("req-10004");
    store_unlock();
}

/* A task is allocated but not started when the store becomes unreachable. While the last read of the store is recent
 * enough, heartbeats are still answered, but the task is started only once the store can be read again. */
static void starts_need_a_recent_read(void **state) {
    (void)state;
    store_lock();
    int64_t fencing_token = membership_shard(0)->fencing_token;
    struct machine *machine = worker_add_machine("i-000981", "req-10001", WORKER_ALLOCATION("i-000981"), false);
    assert_true(worker_apply_message(machine, 1, 1, fencing_token, "", CHANNEL_HEARTBEAT));
    assert_int_equal(worker_count_directives(machine, "run"), 1);
    store_unlock();
    standin_store_inject(STANDIN_OUTAGE);
    struct timespec wait_start = clock_now();
    bool may_start = true, may_answer = true;
    while (may_start && clock_seconds_since(wait_start) < 8) {
        clock_sleep(clock_from_seconds(0.05));
        store_lock();
        may_start = membership_may_start_tasks();
        may_answer = membership_may_answer_workers();
        store_unlock();
    }
    assert_false(may_start);
    assert_true(may_answer);
    assert_true(clock_seconds_since(wait_start) < 4);
    store_lock();
    assert_int_equal(worker_count_directives(machine, "run"), 0);
    store_unlock();
    standin_store_inject(STANDIN_NO_FAULT);
    wait_start = clock_now();
    while (!may_start && clock_seconds_since(wait_start) < 8) {
        clock_sleep(clock_from_seconds(0.05));
        store_lock();
        may_start = membership_may_start_tasks();
        store_unlock();
    }
    store_lock();
    assert_int_equal(worker_count_directives(machine, "run"), 1);
    worker_remove_machine("req-10001");
    store_unlock();
}

#define ENDED_TASK_BYTES 128

/* Adds a machine on which the start of task 0 of job req-10001, attempt 5, was sent in the response to heartbeat 1, and
 * which then lists the task as ended for this cause in the answer to a command, message 3. The allocation's record is
 * removed, so that the task is unknown. */
static struct machine *add_machine_with_ended_task(const char *cause, char *ended_task) {
    int64_t fencing_token = membership_shard(0)->fencing_token;
    g_snprintf(ended_task, ENDED_TASK_BYTES,
               "{\"task\":\"req-10001/0\",\"try\":5,\"state\":\"ended\",\"cause\":\"%s\"}", cause);
    struct machine *machine = worker_add_machine("i-000960", "req-10001", WORKER_ALLOCATION("i-000960"), false);
    worker_apply_message(machine, 1, 1, fencing_token, "", CHANNEL_HEARTBEAT);
    assert_int_equal(worker_count_directives(machine, "run"), 1);
    worker_apply_message(machine, 1, 2, fencing_token, ended_task, CHANNEL_COMMAND);
    assert_true(((const struct allocation *)machine->allocations->pdata[0])->released);
    shard_owner_put("run/req-10001/0", NULL);
    assert_int_equal(machine->allocations->len, 0);
    worker_apply_message(machine, 1, 3, fencing_token, ended_task, CHANNEL_COMMAND);
    return machine;
}

/* Guards against a start in a late response to a heartbeat that runs a forgotten attempt again (review case 1). */
static void ended_attempt_is_not_forgotten_while_a_response_may_start_it(void **state) {
    (void)state;
    static const char *const causes[] = {"done",  "stopped", "peers", "incomplete",
                                         "error", "no_room", "busy",  "unknown"};
    int64_t fencing_token = membership_shard(0)->fencing_token;
    char ended_task[ENDED_TASK_BYTES];
    for (size_t i = 0; i < G_N_ELEMENTS(causes); i++) {
        store_lock();
        struct machine *machine = add_machine_with_ended_task(causes[i], ended_task);
        int forgets_before = worker_count_command_directives(machine, "forget");
        worker_apply_message(machine, 1, 4, fencing_token, ended_task, CHANNEL_HEARTBEAT);
        int forgets_in_response = worker_count_directives(machine, "forget");
        int forgets_in_command = worker_count_command_directives(machine, "forget");
        worker_remove_machine("req-10001");
        store_unlock();
        if (forgets_before != 0) fail_msg("ended with %s: forgotten while its start may be on its way", causes[i]);
        if (forgets_in_response != 1 || forgets_in_command != 1)
            fail_msg("ended with %s: not forgotten after a later heartbeat", causes[i]);
    }
}

/* Guards against taking a message for proof that the worker has dropped an earlier response, which is not. */
static void only_a_later_heartbeat_ends_the_wait_for_a_response(void **state) {
    (void)state;
    static const struct {
        const char *description;
        int incarnation, sequence;
        enum worker_channel channel;
        int forgets;
    } rows[] = {
        {"another answer to a command", 1, 4, CHANNEL_COMMAND, 0},
        {"a copy of the heartbeat that was responded to", 1, 1, CHANNEL_HEARTBEAT, 0},
        {"a heartbeat sent before the last answer and received after it", 1, 2, CHANNEL_HEARTBEAT, 1},
        {"the next heartbeat", 1, 4, CHANNEL_HEARTBEAT, 1},
        {"an answer in a later incarnation, which drops the response", 2, 1, CHANNEL_COMMAND, 1},
    };
    int64_t fencing_token = membership_shard(0)->fencing_token;
    char ended_task[ENDED_TASK_BYTES];
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        store_lock();
        struct machine *machine = add_machine_with_ended_task("error", ended_task);
        worker_apply_message(machine, rows[i].incarnation, rows[i].sequence, fencing_token, ended_task,
                             rows[i].channel);
        int forgets = worker_count_command_directives(machine, "forget");
        worker_remove_machine("req-10001");
        store_unlock();
        if (forgets != rows[i].forgets) fail_msg("%s: %d forgets", rows[i].description, forgets);
    }
}

int main(void) {
    if (!shard_owner_start_with_store(&settings)) return 1;
    store_lock();
    shard_owner_put("job/req-10001", WORKER_JOB("req-10001", "batch", "2"));
    store_unlock();
    const struct CMUnitTest tests[] = {cmocka_unit_test(stops_tasks_of_a_cancelled_job),
                                       cmocka_unit_test(stops_cancelled_tasks_under_an_older_token),
                                       cmocka_unit_test(starts_need_a_recent_read),
                                       cmocka_unit_test(ended_attempt_is_not_forgotten_while_a_response_may_start_it),
                                       cmocka_unit_test(only_a_later_heartbeat_ends_the_wait_for_a_response)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
