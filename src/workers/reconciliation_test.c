/* Tests how a heartbeat or the answer to a command changes the state of a machine and its allocations. */
#include "workers/reconciliation.h"

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

/* The rows give the tasks that two successive messages list, and whether the second message releases the allocation. */
static void releases_only_what_is_proven_absent(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    static const struct {
        const char *description, *first_tasks, *second_tasks; /* first_tasks NULL: no first message */
        int incarnation, sequence, token_lag; /* of the second message; token_lag: how much its token is too low */
        enum worker_channel channel;
        bool outcome_unknown, inherited, released;
        int start_incarnation; /* incarnation of the heartbeat, sequence 2, whose response carried starts; 0: none */
    } rows[] = {
        {"listed, then not listed", WORKER_LISTED_TASK("running"), "", 1, 3, 0, CHANNEL_HEARTBEAT, false, false, true,
         0},
        {"not listed by an older heartbeat", WORKER_LISTED_TASK("running"), "", 1, 1, 0, CHANNEL_HEARTBEAT, false,
         false, false, 0},
        {"not listed under a former owner's fencing token", WORKER_LISTED_TASK("running"), "", 1, 3, 1,
         CHANNEL_HEARTBEAT, false, false, false, 0},
        {"not listed by a command's answer, a response carried a start", WORKER_LISTED_TASK("running"), "", 1, 3, 0,
         CHANNEL_COMMAND, false, false, false, 1},
        {"not listed by a command's answer, no response carried a start", WORKER_LISTED_TASK("running"), "", 1, 3, 0,
         CHANNEL_COMMAND, false, true, true, 0},
        {"not listed by a command's answer, the outcome of another command is unknown", WORKER_LISTED_TASK("running"),
         "", 1, 3, 0, CHANNEL_COMMAND, true, true, false, 0},
        {"not listed by a command's answer in a later incarnation than the starts", WORKER_LISTED_TASK("running"), "",
         2, 1, 0, CHANNEL_COMMAND, false, false, true, 1},
        {"not listed by a heartbeat, the outcome of a command is unknown", WORKER_LISTED_TASK("running"), "", 1, 3, 0,
         CHANNEL_HEARTBEAT, true, false, false, 0},
        {"never listed: started again, not released", "", "", 1, 3, 0, CHANNEL_HEARTBEAT, false, false, false, 0},
        {"inherited and never listed: released, not started", "", "", 1, 3, 0, CHANNEL_HEARTBEAT, false, true, true, 0},
        {"inherited and not listed under an older fencing token", NULL, "", 1, 3, 1, CHANNEL_HEARTBEAT, false, true,
         false, 0},
        {"listed as running, then as ended", WORKER_LISTED_TASK("running"), WORKER_LISTED_TASK("ended"), 1, 3, 0,
         CHANNEL_HEARTBEAT, false, false, true, 0},
        {"not listed in a new incarnation, which ended the task", WORKER_LISTED_TASK("running"), "", 2, 1, 0,
         CHANNEL_HEARTBEAT, false, false, true, 0},
        {"listed in an unknown state, in which the task may run", WORKER_LISTED_TASK("running"),
         WORKER_LISTED_TASK("resting"), 1, 3, 0, CHANNEL_HEARTBEAT, false, false, false, 0},
    };
    store_lock();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char machine_id[32];
        g_snprintf(machine_id, sizeof machine_id, "i-%06zu", 100 + i);
        char allocations[48];
        g_snprintf(allocations, sizeof allocations, "0@%s+0", machine_id);
        struct machine *machine = worker_add_machine(machine_id, "req-10001", allocations, rows[i].inherited);
        struct allocation *allocation = machine->allocations->pdata[0];
        if (rows[i].first_tasks)
            assert_true(worker_apply_message(machine, 1, 2, fencing_token, rows[i].first_tasks, CHANNEL_HEARTBEAT));
        machine->commands.response_start_incarnation = rows[i].start_incarnation;
        machine->commands.response_start_sequence = rows[i].start_incarnation ? 2 : 0;
        if (rows[i].outcome_unknown) {
            machine->commands.start_outcome_unknown = true;
            machine->commands.unknown_start_token = fencing_token;
            machine->commands.unknown_start_incarnation = 1;
        }
        worker_apply_message(machine, rows[i].incarnation, rows[i].sequence, fencing_token - rows[i].token_lag,
                             rows[i].second_tasks, rows[i].channel);
        if (allocation->released != rows[i].released)
            fail_msg("%s: released is %d", rows[i].description, allocation->released);
        worker_remove_machine("req-10001");
    }
    store_unlock();
}

/* A response that carries a start keeps answers to commands from proving absence, until the next heartbeat shows that
 * the worker has carried the response out or dropped it. */
static void answer_proves_absence_after_a_later_heartbeat(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    store_lock();
    struct machine *machine = worker_add_machine("i-000990", "req-10001", WORKER_ALLOCATION("i-000990"), false);
    const struct allocation *allocation = machine->allocations->pdata[0];
    worker_apply_message(machine, 1, 1, fencing_token, "", CHANNEL_HEARTBEAT);
    int starts_in_response = worker_count_directives(machine, "run");
    worker_apply_message(machine, 1, 2, fencing_token, WORKER_LISTED_TASK("running"), CHANNEL_COMMAND);
    worker_apply_message(machine, 1, 3, fencing_token, "", CHANNEL_COMMAND);
    bool released_before = allocation->released;
    worker_apply_message(machine, 1, 4, fencing_token, WORKER_LISTED_TASK("running"), CHANNEL_HEARTBEAT);
    worker_apply_message(machine, 1, 5, fencing_token, "", CHANNEL_COMMAND);
    bool released_after = allocation->released;
    worker_remove_machine("req-10001");
    store_unlock();
    assert_int_equal(starts_in_response, 1);
    assert_false(released_before);
    assert_true(released_after);
}

/* After a takeover, a start of the former owner may still be in flight. Until the worker shows the new owner's fencing
 * token, it gets no directives and its allocations are not released. */
static void takeover_waits_for_its_fencing_token(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    store_lock();
    struct machine *machine = worker_add_machine("i-000900", "req-10001", WORKER_ALLOCATION("i-000900"), true);
    struct allocation *allocation = machine->allocations->pdata[0];
    worker_apply_message(machine, 1, 1, fencing_token - 1, "", CHANNEL_HEARTBEAT);
    assert_false(allocation->released);
    assert_int_equal(worker_count_directives(machine, "run"), 0);
    worker_apply_message(machine, 1, 2, fencing_token, WORKER_LISTED_TASK("fetching"),
                         CHANNEL_HEARTBEAT); /* the former owner's start arrived before the new token */
    assert_int_equal(worker_count_directives(machine, "run"), 0);
    assert_int_equal(allocation->state, TASK_FETCHING);
    /* Of the tasks without an allocation, the running one is stopped and the ended one is forgotten. */
    worker_apply_message(machine, 1, 3, fencing_token,
                   WORKER_LISTED_TASK("running") ",{\"task\":\"req-10001/1\",\"try\":4,\"state\":\"running\"},"
                                     "{\"task\":\"req-10001/1\",\"try\":3,\"state\":\"ended\",\"cause\":\"done\"}",
                   CHANNEL_HEARTBEAT);
    assert_int_equal(worker_count_directives(machine, "stop"), 1);
    assert_int_equal(worker_count_directives(machine, "forget"), 1);
    worker_remove_machine("req-10001");
    store_unlock();
}

/* Once the worker shows a raised fencing token, an unanswered command can no longer be carried out. */
static void raised_fencing_token_clears_unknown_outcome(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    store_lock();
    struct machine *machine = worker_add_machine("i-000901", "req-10001", WORKER_ALLOCATION("i-000901"), false);
    struct allocation *allocation = machine->allocations->pdata[0];
    worker_apply_message(machine, 1, 1, fencing_token, "", CHANNEL_HEARTBEAT);
    machine->commands.start_outcome_unknown = true;
    machine->commands.unknown_start_token = fencing_token;
    machine->commands.unknown_start_incarnation = 1;
    allocation->stop_requested = true;
    worker_apply_message(machine, 1, 2, fencing_token, "", CHANNEL_HEARTBEAT);
    assert_true(machine->commands.start_outcome_unknown);
    assert_false(allocation->released);
    char json[300];
    g_snprintf(json, sizeof json, "{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[[\"i-000901\",\"\",0,0,0,%lld,1,\"\"]]}",
               (long long)fencing_token + 7);
    shard_owner_put("fleet/0/0", json);
    assert_int_equal(machines_fencing_token(machine), fencing_token + 7);
    assert_true(machines_find("i-000901")->allocations->pdata[0] == allocation); /* the allocation is kept */
    worker_apply_message(machine, 1, 3, fencing_token + 7, "", CHANNEL_HEARTBEAT);
    assert_false(machine->commands.start_outcome_unknown);
    assert_true(allocation->released);
    worker_remove_machine("req-10001");
    store_unlock();
}

/* Copies of heartbeats may arrive seconds or minutes late, before or after a change of owner. */
static void late_copies_are_ignored(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    store_lock();
    struct machine *machine = worker_add_machine("i-000920", "req-10001", WORKER_ALLOCATION("i-000920"), false);
    struct allocation *allocation = machine->allocations->pdata[0];
    assert_true(worker_apply_message(machine, 2, 8, fencing_token, WORKER_LISTED_TASK("running"), CHANNEL_HEARTBEAT));
    machine->liveness.last_heard.tv_sec -= 20;
    struct timespec last_heard = machine->liveness.last_heard;
    static const struct {
        int incarnation, sequence, token_lag;
        const char *tasks;
    } copies[] = {{2, 8, 0, ""}, {2, 7, 0, ""}, {1, 99, 0, ""}, {2, 5, 1, WORKER_LISTED_TASK("ended")}};
    for (size_t i = 0; i < G_N_ELEMENTS(copies); i++)
        assert_false(worker_apply_message(machine, copies[i].incarnation, copies[i].sequence,
                                          fencing_token - copies[i].token_lag, copies[i].tasks, CHANNEL_HEARTBEAT));
    assert_false(allocation->released);
    assert_int_equal(machine->agent.incarnation, 2);
    assert_int_equal(machine->agent.sequence, 8);
    assert_int_equal(machine->liveness.last_heard.tv_sec, last_heard.tv_sec);
    /* A new owner has no earlier message of the machine, so the copy is newer, but its fencing token is too low. */
    machine->owned_token = 0;
    machine->agent.incarnation = machine->agent.sequence = 0;
    assert_true(machines_owned(machine));
    last_heard = machine->liveness.last_heard;
    machine->liveness.up = false;
    worker_apply_message(machine, 2, 4, fencing_token - 1, "", CHANNEL_HEARTBEAT);
    assert_false(allocation->released);
    assert_false(machine->liveness.up);
    assert_true(machine->liveness.last_heard.tv_sec == last_heard.tv_sec &&
                machine->liveness.last_heard.tv_nsec == last_heard.tv_nsec);
    assert_true(machine->commands.needs_token_probe); /* the machine is probed */
    worker_apply_message(machine, 2, 9, fencing_token, WORKER_LISTED_TASK("running"), CHANNEL_HEARTBEAT);
    assert_true(machine->liveness.up);
    assert_false(allocation->released);
    worker_remove_machine("req-10001");
    store_unlock();
}

/* The first message of a machine that boots slowly may be the answer to a command. The timeout for its heartbeats
 * starts then; without this, such machines were returned as soon as they came up, for lack of heartbeats. */
static void first_answer_starts_heartbeat_timeout(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    store_lock();
    struct machine *machine = worker_add_machine("i-000950", "req-10001", WORKER_ALLOCATION("i-000950"), false);
    machine->liveness.up = false;
    machine->liveness.last_heartbeat.tv_sec -= 300;
    worker_apply_message(machine, 1, 1, fencing_token, "", CHANNEL_COMMAND);
    assert_true(machine->liveness.up);
    assert_true(clock_seconds_since(machine->liveness.last_heartbeat) < 5);
    machine->liveness.last_heartbeat.tv_sec -= 300;
    worker_apply_message(machine, 1, 2, fencing_token, "",
                         CHANNEL_COMMAND); /* later answers do not count as heartbeats */
    assert_true(clock_seconds_since(machine->liveness.last_heartbeat) > 200);
    worker_remove_machine("req-10001");
    store_unlock();
}

/* A machine whose heartbeats arrive, but which receives no responses or directives, is not silent and still cannot be
 * used. It is detected by this count. */
static void counts_ignored_responses(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    static const struct {
        const char *description;
        int token_lag, starts_sent, incarnation_step;
        int ignored_responses; /* after four more heartbeats */
    } rows[] = {
        {"responses are received", 0, 0, 0, 0},
        {"fencing token is never shown", 1, 0, 0, 4},
        {"start sent twice, task never listed", 0, 2, 0, 4},
        {"start sent once, may still be in flight", 0, 1, 0, 0},
        {"incarnation rises although heartbeats were answered", 0, 0, 1, 8},
    };
    store_lock();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct machine *machine = worker_add_machine("i-000930", "req-10001", WORKER_ALLOCATION("i-000930"), false);
        struct allocation *allocation = machine->allocations->pdata[0];
        worker_apply_message(machine, 1, 1, fencing_token, rows[i].starts_sent ? "" : WORKER_LISTED_TASK("running"),
                             CHANNEL_HEARTBEAT);
        machine->liveness.heartbeat_acknowledged = true;
        allocation->starts_sent = rows[i].starts_sent;
        for (int n = 0; n < 4; n++) {
            machine->liveness.last_heartbeat = clock_now();
            worker_apply_message(machine, 1 + rows[i].incarnation_step * (n + 1), 2 + n,
                                 fencing_token - rows[i].token_lag,
                                 rows[i].starts_sent ? "" : WORKER_LISTED_TASK("running"), CHANNEL_HEARTBEAT);
        }
        if (machine->liveness.ignored_responses != rows[i].ignored_responses)
            fail_msg("%s: ignored_responses is %d", rows[i].description, machine->liveness.ignored_responses);
        worker_remove_machine("req-10001");
    }
    store_unlock();
}

/* A heartbeat that no longer lists a task proves the task's absence only if no command is in flight that may start the
 * task. */
static void start_in_flight_keeps_its_allocation(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    static const struct {
        const char *description;
        bool in_flight, probe_in_flight, outcome_unknown, released;
    } rows[] = {{"no command", false, false, false, true},
                {"a command with a start", true, false, true, false},
                {"a probe", true, true, false, true},
                {"a probe, after a start with unknown outcome", true, true, true, false}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        store_lock();
        struct machine *machine = worker_add_machine("i-000970", "req-10001", WORKER_ALLOCATION("i-000970"), false);
        struct allocation *allocation = machine->allocations->pdata[0];
        worker_apply_message(machine, 1, 1, fencing_token, WORKER_LISTED_TASK("running"), CHANNEL_HEARTBEAT);
        machine->commands.in_flight = rows[i].in_flight;
        machine->commands.probe_in_flight = rows[i].probe_in_flight;
        machine->commands.start_outcome_unknown = rows[i].outcome_unknown;
        machine->commands.unknown_start_token = fencing_token;
        machine->commands.unknown_start_incarnation = 1;
        worker_apply_message(machine, 1, 2, fencing_token, "", CHANNEL_HEARTBEAT);
        bool released = allocation->released;
        worker_remove_machine("req-10001");
        store_unlock();
        if (released != rows[i].released) fail_msg("%s: released is %d", rows[i].description, released);
    }
}

/* A heartbeat that is malformed or names another machine releases nothing and does not mark the machine as alive. */
static void malformed_heartbeats_are_ignored(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    static const struct {
        const char *description, *heartbeat;
        bool applied;
    } rows[] = {
        {"well-formed", "{\"host\":\"i-000980\",\"tenure\":1,\"seq\":%d,\"fence\":%lld,\"tasks\":[]}", true},
        {"another machine's id", "{\"host\":\"i-7\",\"tenure\":1,\"seq\":%d,\"fence\":%lld,\"tasks\":[]}", false},
        {"no list of tasks", "{\"host\":\"i-000980\",\"tenure\":1,\"seq\":%d,\"fence\":%lld}", false},
        {"tasks not a list", "{\"tenure\":1,\"seq\":%d,\"fence\":%lld,\"tasks\":{}}", false},
        {"task without a name", "{\"tenure\":1,\"seq\":%d,\"fence\":%lld,\"tasks\":[{\"try\":5}]}", false},
        {"task without an attempt",
         "{\"tenure\":1,\"seq\":%d,\"fence\":%lld,\"tasks\":[{\"task\":\"req-10001/0\",\"state\":\"ended\"}]}", false},
        {"sequence not a number", "{\"tenure\":1,\"seq\":\"%d\",\"fence\":%lld,\"tasks\":[]}", false},
        {"no incarnation", "{\"seq\":%d,\"fence\":%lld,\"tasks\":[]}", false},
    };
    store_lock();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct machine *machine = worker_add_machine("i-000980", "req-10001", WORKER_ALLOCATION("i-000980"), false);
        struct allocation *allocation = machine->allocations->pdata[0];
        assert_true(
            worker_apply_message(machine, 1, 1, fencing_token, WORKER_LISTED_TASK("running"), CHANNEL_HEARTBEAT));
        machine->liveness.last_heard.tv_sec -= 20;
        char json[300];
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
        g_snprintf(json, sizeof json, rows[i].heartbeat, 2, (long long)fencing_token);
#pragma GCC diagnostic pop
        cJSON *message = cJSON_Parse(json);
        assert_non_null(message);
        struct heartbeat heartbeat = codec_read_heartbeat(message);
        bool applied = reconciliation_apply(machine, &heartbeat, CHANNEL_HEARTBEAT);
        if (applied != rows[i].applied || allocation->released != rows[i].applied ||
            (clock_seconds_since(machine->liveness.last_heard) < 10) != rows[i].applied)
            fail_msg("%s: applied is %d, released is %d", rows[i].description, applied, allocation->released);
        cJSON_Delete(message);
        worker_remove_machine("req-10001");
    }
    store_unlock();
}

int main(void) {
    if (!shard_owner_start_with_store(&settings)) return 1;
    store_lock();
    shard_owner_put("job/req-10001", WORKER_JOB("req-10001", "batch", "2"));
    store_unlock();
    const struct CMUnitTest tests[] = {cmocka_unit_test(releases_only_what_is_proven_absent),
                                       cmocka_unit_test(answer_proves_absence_after_a_later_heartbeat),
                                       cmocka_unit_test(takeover_waits_for_its_fencing_token),
                                       cmocka_unit_test(raised_fencing_token_clears_unknown_outcome),
                                       cmocka_unit_test(late_copies_are_ignored),
                                       cmocka_unit_test(first_answer_starts_heartbeat_timeout),
                                       cmocka_unit_test(counts_ignored_responses),
                                       cmocka_unit_test(start_in_flight_keeps_its_allocation),
                                       cmocka_unit_test(malformed_heartbeats_are_ignored)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
