/* Tests when a start that a command carried is ruled out, and how the token is raised for that. */
#include "workers/pending_starts.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../../tests/standin/shard_owner.h"
#include "../../tests/standin/test_settings.h"
#include "../../tests/standin/worker_messages.h"
#include "clock/clock.h"
#include "membership/membership.h"
#include "placement/candidates.h"
#include "workers/token_raise.h"

#define TASKS_BYTES 40000

static struct settings settings;

static const char ended_task[] = "{\"task\":\"req-10001/0\",\"try\":5,\"state\":\"ended\",\"cause\":\"error\"}";

/* Adds a machine on which a command started task 0 of job req-10001, attempt 5, which then ended. The answers to the
 * command, message 2, and to a later one, message 3, list it. The allocation's record is removed. */
static struct machine *add_machine_with_ended_task(const char *id) {
    char allocation[64];
    int64_t token = membership_shard(0)->fencing_token;
    g_snprintf(allocation, sizeof allocation, "0@%s+0", id);
    struct machine *machine = worker_add_machine(id, "req-10001", allocation, false);
    worker_apply_message(machine, 1, 1, token, "", CHANNEL_HEARTBEAT);
    assert_int_equal(worker_count_command_directives(machine, "run"), 1);
    worker_apply_message(machine, 1, 2, token, ended_task, CHANNEL_COMMAND);
    assert_true(((const struct allocation *)machine->allocations->pdata[0])->released);
    shard_owner_put("run/req-10001/0", NULL);
    worker_apply_message(machine, 1, 3, token, ended_task, CHANNEL_COMMAND);
    return machine;
}

/* Guards against a late copy of an answered command that runs a forgotten attempt again (incident of 4 December 2026).
 */
static void ended_attempt_is_not_forgotten_while_a_copy_of_its_command_may_start_it(void **state) {
    (void)state;
    static const struct {
        const char *description;
        int incarnation, sequence, token_raise; /* of the message that follows the answers */
        enum worker_channel channel;
        int forgets;
    } rows[] = {
        {"a heartbeat under the command's token", 1, 4, 0, CHANNEL_HEARTBEAT, 0},
        {"another answer under the command's token", 1, 4, 0, CHANNEL_COMMAND, 0},
        {"a heartbeat under a higher token", 1, 4, 1, CHANNEL_HEARTBEAT, 1},
        {"an answer under a higher token", 1, 4, 1, CHANNEL_COMMAND, 1},
        {"a late heartbeat under a lower token", 1, 4, -1, CHANNEL_HEARTBEAT, 0},
        {"a later incarnation under the command's token", 2, 1, 0, CHANNEL_HEARTBEAT, 1},
        {"a copy of an earlier heartbeat", 1, 1, 0, CHANNEL_HEARTBEAT, 0},
    };
    store_lock();
    int64_t token = membership_shard(0)->fencing_token;
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct machine *machine = add_machine_with_ended_task("i-000500");
        worker_apply_message(machine, rows[i].incarnation, rows[i].sequence, token + rows[i].token_raise, ended_task,
                             rows[i].channel);
        int in_response = worker_count_directives(machine, "forget");
        int in_command = worker_count_command_directives(machine, "forget");
        worker_remove_machine("req-10001");
        if (in_response != rows[i].forgets || in_command != rows[i].forgets)
            fail_msg("%s: %d forgets in the response, %d in a command", rows[i].description, in_response, in_command);
    }
    store_unlock();
}

/* Guards against releasing a task whose start a late copy of an answered command may still carry out. */
static void unlisted_task_is_not_released_while_a_copy_of_its_command_may_start_it(void **state) {
    (void)state;
    store_lock();
    int64_t token = membership_shard(0)->fencing_token;
    struct machine *machine = worker_add_machine("i-000501", "req-10001", WORKER_ALLOCATION("i-000501"), false);
    struct allocation *allocation = machine->allocations->pdata[0];
    worker_apply_message(machine, 1, 1, token, "", CHANNEL_HEARTBEAT);
    assert_int_equal(worker_count_command_directives(machine, "run"), 1);
    allocation->stop_requested = true;
    worker_apply_message(machine, 1, 2, token, "", CHANNEL_HEARTBEAT);
    bool released_under_same_token = allocation->released;
    token_raise_for_waiting_attempts(machine);
    int64_t raised_token = machines_current_token(machine);
    worker_apply_message(machine, 1, 3, raised_token, "", CHANNEL_HEARTBEAT);
    bool released_under_higher_token = allocation->released;
    worker_remove_machine("req-10001");
    store_unlock();
    assert_false(released_under_same_token);
    assert_int_equal(raised_token, token + 1);
    assert_true(released_under_higher_token);
}

/* The token is raised once per half a lease, so that workers report each raise at once, and within the range only. */
static void token_is_raised_within_its_range(void **state) {
    (void)state;
    store_lock();
    struct machine *machine = add_machine_with_ended_task("i-000502");
    struct token_range tokens = machines_tokens(machine);
    token_raise_for_waiting_attempts(machine);
    int64_t first_raise = machines_current_token(machine);
    token_raise_for_waiting_attempts(machine);
    int64_t too_early = machines_current_token(machine);
    bool raised = true;
    while (raised) raised = machines_raise_token(machine);
    int64_t last_raise = machines_current_token(machine);
    machine->commands.start_outcome_unknown = true;
    machine->commands.unknown_start_token = last_raise;
    bool may_respond = token_raise_rule_out_unknown_start(machine);
    bool requests_tokens = machine->commands.needs_token_raise;
    worker_remove_machine("req-10001");
    store_unlock();
    assert_int_equal(tokens.last - tokens.first + 1, FENCING_TOKENS_PER_GRANT);
    assert_int_equal(first_raise, tokens.first + 1);
    assert_int_equal(too_early, first_raise);
    assert_int_equal(last_raise, tokens.last);
    assert_false(may_respond);
    assert_true(requests_tokens);
}

/* A shard and a machine whose tokens an earlier version granted have one token each. */
static void tokens_of_an_earlier_version_are_single(void **state) {
    (void)state;
    store_lock();
    shard_owner_put("share/1", "{\"owner\":\"n1\",\"inc\":\"x\",\"fence\":70}");
    shard_owner_put("fleet/1/0",
                    "{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[[\"i-000503\",\"\",0,0,0,0,1,\"\"],"
                    "[\"i-000504\",\"\",0,0,0,900,1,\"\"],[\"i-000505\",\"\",0,0,4,1200,1,\"\"]]}");
    struct token_range of_shard = machines_tokens(machines_find("i-000503")),
                       of_machine = machines_tokens(machines_find("i-000504")),
                       granted = machines_tokens(machines_find("i-000505"));
    store_unlock();
    assert_true(of_shard.first == 70 && of_shard.last == 70);
    assert_true(of_machine.first == 900 && of_machine.last == 900);
    assert_true(granted.first == 1200 && granted.last == 1200 + FENCING_TOKENS_PER_GRANT - 1);
}

/* While ended attempts cannot be forgotten, a machine with a long list gets no more tasks. */
static void machine_with_a_long_list_gets_no_more_tasks(void **state) {
    (void)state;
    static char tasks[TASKS_BYTES];
    store_lock();
    shard_owner_put_machine_type();
    struct machine *machine = shard_owner_add_machine("i-000506", "za", false);
    int64_t token = machines_fencing_token(machine);
    bool schedulable[2];
    for (int extra = 0; extra < 2; extra++) {
        GString *list = g_string_new(NULL);
        for (int i = 0; i < MACHINE_LISTED_TASKS_MAX - 1 + extra; i++)
            g_string_append_printf(list, "%s{\"task\":\"req-10009/%d\",\"try\":%d,\"state\":\"ended\"}", i ? "," : "",
                                   i, 100 + i);
        g_strlcpy(tasks, list->str, sizeof tasks);
        g_string_free(list, TRUE);
        assert_true(worker_apply_message(machine, 1, 1 + extra, token, tasks, CHANNEL_HEARTBEAT));
        placement_prepare_machines(0);
        schedulable[extra] = machine->round.schedulable;
    }
    store_unlock();
    assert_true(schedulable[0]);
    assert_false(schedulable[1]);
}

int main(void) {
    if (!shard_owner_start_with_store(&settings)) return 1;
    store_lock();
    shard_owner_put("job/req-10001", WORKER_JOB("req-10001", "batch", "2"));
    store_unlock();
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(ended_attempt_is_not_forgotten_while_a_copy_of_its_command_may_start_it),
        cmocka_unit_test(unlisted_task_is_not_released_while_a_copy_of_its_command_may_start_it),
        cmocka_unit_test(token_is_raised_within_its_range),
        cmocka_unit_test(tokens_of_an_earlier_version_are_single),
        cmocka_unit_test(machine_with_a_long_list_gets_no_more_tasks),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
