/* What a heartbeat or a direct answer proves of a machine and its allocations. */
#include "workers/reconciliation.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <time.h>

#include "../../tests/standin/owned.h"
#include "../../tests/standin/site.h"
#include "../../tests/standin/store.h"
#include "../../tests/standin/worker_messages.h"
#include "clock/clock.h"
#include "membership/membership.h"
#include "workers/codec.h"

static struct settings cfg;

/* When an allocation counts as absent. Each row: messages in order, then whether it is released. */
static void releases_only_what_is_proven_absent(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    static const struct {
        const char *what, *first, *second;
        int incarnation, sequence, less; /* of the second message; less: fencing token below ours */
        enum worker_channel channel;
        bool unknown, inherited, released;
        int start_incarnation; /* in which a response to a heartbeat carried starts */
    } rows[] = {
        {"seen, then not listed", LISTED("running"), "", 1, 3, 0, CHANNEL_HEARTBEAT, false, false, true, 0},
        {"seen, then not listed by an older heartbeat", LISTED("running"), "", 1, 1, 0, CHANNEL_HEARTBEAT, false, false,
         false, 0},
        {"under a former owner's fencing token", LISTED("running"), "", 1, 3, 1, CHANNEL_HEARTBEAT, false, false, false,
         0},
        {"not listed by a direct answer, a start may be on its way", LISTED("running"), "", 1, 3, 0, CHANNEL_COMMAND,
         false, false, false, 1},
        {"not listed by a direct answer, and no response carried a start", LISTED("running"), "", 1, 3, 0,
         CHANNEL_COMMAND, false, true, true, 0},
        {"the same, while a direct command is under way", LISTED("running"), "", 1, 3, 0, CHANNEL_COMMAND, true, true,
         false, 0},
        {"a direct answer in an incarnation after the one with starts", LISTED("running"), "", 2, 1, 0, CHANNEL_COMMAND,
         false, false, true, 1},
        {"a command may still be under way", LISTED("running"), "", 1, 3, 0, CHANNEL_HEARTBEAT, true, false, false, 0},
        {"never seen: it is started again, not released", "", "", 1, 3, 0, CHANNEL_HEARTBEAT, false, false, false, 0},
        {"a former owner's, and not there: released, not started", "", "", 1, 3, 0, CHANNEL_HEARTBEAT, false, true,
         true, 0},
        {"a former owner's, but under an older fencing token", NULL, "", 1, 3, 1, CHANNEL_HEARTBEAT, false, true, false,
         0},
        {"ended", LISTED("running"), LISTED("ended"), 1, 3, 0, CHANNEL_HEARTBEAT, false, false, true, 0},
        {"a new incarnation has killed it", LISTED("running"), "", 2, 1, 0, CHANNEL_HEARTBEAT, false, false, true, 0},
        {"a state not known to us may run", LISTED("running"), LISTED("resting"), 1, 3, 0, CHANNEL_HEARTBEAT, false,
         false, false, 0},
    };
    store_lock();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char id[32];
        g_snprintf(id, sizeof id, "i-%06zu", 100 + i);
        char at[48];
        g_snprintf(at, sizeof at, "0@%s+0", id);
        struct machine *machine = worker_machine(id, "req-10001", at, rows[i].inherited);
        struct allocation *allocation = machine->allocations->pdata[0];
        if (rows[i].first) assert_true(worker_message(machine, 1, 2, fencing_token, rows[i].first, CHANNEL_HEARTBEAT));
        machine->commands.start_incarnation = rows[i].start_incarnation;
        if (rows[i].unknown) {
            machine->commands.outcome_unknown = true;
            machine->commands.unknown_token = fencing_token;
            machine->commands.unknown_incarnation = 1;
        }
        worker_message(machine, rows[i].incarnation, rows[i].sequence, fencing_token - rows[i].less, rows[i].second,
                       rows[i].channel);
        if (allocation->released != rows[i].released)
            fail_msg("%s: released is %d", rows[i].what, allocation->released);
        worker_machine_gone("req-10001");
    }
    store_unlock();
}

/* A takeover with a start still in flight: nothing is directed or released until the worker shows our
 * fencing token. */
static void takeover_waits_for_its_fencing_token(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    store_lock();
    struct machine *machine = worker_machine("i-000900", "req-10001", ALLOCATED("i-000900"), true);
    struct allocation *allocation = machine->allocations->pdata[0];
    worker_message(machine, 1, 1, fencing_token - 1, "", CHANNEL_HEARTBEAT);
    assert_false(allocation->released);
    assert_int_equal(worker_directives(machine, "run"), 0);
    worker_message(machine, 1, 2, fencing_token, LISTED("fetching"),
                   CHANNEL_HEARTBEAT); /* the former owner's command came before our fencing token */
    assert_int_equal(worker_directives(machine, "run"), 0);
    assert_int_equal(allocation->state, TASK_FETCHING);
    /* Not allocated and running: stopped. Not allocated and ended: forgotten. */
    worker_message(machine, 1, 3, fencing_token, LISTED("running") ",{\"task\":\"req-10001/1\",\"try\":4,\"state\":\"running\"},"
                                    "{\"task\":\"req-10001/1\",\"try\":3,\"state\":\"ended\",\"cause\":\"done\"}", CHANNEL_HEARTBEAT);
    assert_int_equal(worker_directives(machine, "stop"), 1);
    assert_int_equal(worker_directives(machine, "forget"), 1);
    worker_machine_gone("req-10001");
    store_unlock();
}

/* A raise of the machine's fencing token is the proof that an unanswered command can't come any more. */
static void raised_fencing_token_settles_an_unknown_outcome(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    store_lock();
    struct machine *machine = worker_machine("i-000901", "req-10001", ALLOCATED("i-000901"), false);
    struct allocation *allocation = machine->allocations->pdata[0];
    worker_message(machine, 1, 1, fencing_token, "", CHANNEL_HEARTBEAT);
    machine->commands.outcome_unknown = true;
    machine->commands.unknown_token = fencing_token;
    machine->commands.unknown_incarnation = 1;
    allocation->stop_requested = true;
    worker_message(machine, 1, 2, fencing_token, "", CHANNEL_HEARTBEAT);
    assert_true(machine->commands.outcome_unknown);
    assert_false(allocation->released);
    char json[300];
    g_snprintf(json, sizeof json, "{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[[\"i-000901\",\"\",0,0,0,%lld,1,\"\"]]}",
               (long long)fencing_token + 7);
    owned_put("fleet/0/0", json);
    assert_int_equal(machines_fencing_token(machine), fencing_token + 7);
    assert_true(machines_find("i-000901")->allocations->pdata[0] == allocation); /* what is known of it stays */
    worker_message(machine, 1, 3, fencing_token + 7, "", CHANNEL_HEARTBEAT);
    assert_false(machine->commands.outcome_unknown);
    assert_true(allocation->released);
    worker_machine_gone("req-10001");
    store_unlock();
}

/* Copies of heartbeats, from seconds to minutes late, before and after a change of owner. */
static void late_copies_change_nothing(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    store_lock();
    struct machine *machine = worker_machine("i-000920", "req-10001", ALLOCATED("i-000920"), false);
    struct allocation *allocation = machine->allocations->pdata[0];
    assert_true(worker_message(machine, 2, 8, fencing_token, LISTED("running"), CHANNEL_HEARTBEAT));
    machine->liveness.last_heard.tv_sec -= 20;
    struct timespec heard = machine->liveness.last_heard;
    static const struct {
        int incarnation, sequence, less;
        const char *tasks;
    } copies[] = {{2, 8, 0, ""}, {2, 7, 0, ""}, {1, 99, 0, ""}, {2, 5, 1, LISTED("ended")}};
    for (size_t i = 0; i < G_N_ELEMENTS(copies); i++)
        assert_false(worker_message(machine, copies[i].incarnation, copies[i].sequence, fencing_token - copies[i].less,
                                    copies[i].tasks, CHANNEL_HEARTBEAT));
    assert_false(allocation->released);
    assert_int_equal(machine->agent.incarnation, 2);
    assert_int_equal(machine->agent.sequence, 8);
    assert_int_equal(machine->liveness.last_heard.tv_sec, heard.tv_sec);
    /* To an owner that knows nothing of the machine yet the copy is new, but its fencing token is old. */
    machine->owned_token = 0;
    machine->agent.incarnation = machine->agent.sequence = 0;
    assert_true(machines_owned(machine));
    heard = machine->liveness.last_heard;
    machine->liveness.up = false;
    worker_message(machine, 2, 4, fencing_token - 1, "", CHANNEL_HEARTBEAT);
    assert_false(allocation->released);
    assert_false(machine->liveness.up);
    assert_true(machine->liveness.last_heard.tv_sec == heard.tv_sec &&
                machine->liveness.last_heard.tv_nsec == heard.tv_nsec);
    assert_true(machine->commands.needs_token_probe); /* it is probed */
    worker_message(machine, 2, 9, fencing_token, LISTED("running"), CHANNEL_HEARTBEAT);
    assert_true(machine->liveness.up);
    assert_false(allocation->released);
    worker_machine_gone("req-10001");
    store_unlock();
}

/* A machine that took long to boot and is first heard by a direct answer. */
static void first_answer_starts_the_heartbeat_clock(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    store_lock();
    struct machine *machine = worker_machine("i-000950", "req-10001", ALLOCATED("i-000950"), false);
    machine->liveness.up = false;
    machine->liveness.last_heartbeat.tv_sec -= 300;
    worker_message(machine, 1, 1, fencing_token, "", CHANNEL_COMMAND);
    assert_true(machine->liveness.up);
    assert_true(clock_seconds_since(machine->liveness.last_heartbeat) < 5);
    machine->liveness.last_heartbeat.tv_sec -= 300;
    worker_message(machine, 1, 2, fencing_token, "", CHANNEL_COMMAND); /* once up, only heartbeats count */
    assert_true(clock_seconds_since(machine->liveness.last_heartbeat) > 200);
    worker_machine_gone("req-10001");
    store_unlock();
}

/* Heartbeats arrive, responses and directives don't: not silent, yet of no use. */
static void counts_ignored_responses(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    static const struct {
        const char *what;
        int less, starts_sent, incarnation_step;
        int ignored; /* after four more heartbeats */
    } rows[] = {
        {"all is well", 0, 0, 0, 0},
        {"the fencing token is not taken up", 1, 0, 0, 4},
        {"a start sent twice is not taken up", 0, 2, 0, 4},
        {"a start sent once may be under way", 0, 1, 0, 0},
        {"its incarnation rises though it was answered", 0, 0, 1, 8},
    };
    store_lock();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct machine *machine = worker_machine("i-000930", "req-10001", ALLOCATED("i-000930"), false);
        struct allocation *allocation = machine->allocations->pdata[0];
        worker_message(machine, 1, 1, fencing_token, rows[i].starts_sent ? "" : LISTED("running"), CHANNEL_HEARTBEAT);
        machine->liveness.heartbeat_acknowledged = true;
        allocation->starts_sent = rows[i].starts_sent;
        for (int n = 0; n < 4; n++) {
            machine->liveness.last_heartbeat = clock_now();
            worker_message(machine, 1 + rows[i].incarnation_step * (n + 1), 2 + n, fencing_token - rows[i].less,
                           rows[i].starts_sent ? "" : LISTED("running"), CHANNEL_HEARTBEAT);
        }
        if (machine->liveness.ignored_responses != rows[i].ignored)
            fail_msg("%s: %d", rows[i].what, machine->liveness.ignored_responses);
        worker_machine_gone("req-10001");
    }
    store_unlock();
}

/* What is on its way to the machine, and whether a heartbeat that does not list a seen task proves its absence. */
static void start_in_flight_keeps_its_allocation(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    static const struct {
        const char *what;
        bool in_flight, probe, unknown, released;
    } rows[] = {{"nothing", false, false, false, true},
                {"a start", true, false, true, false},
                {"a probe only", true, true, false, true},
                {"a probe, and a start in doubt from before", true, true, true, false}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        store_lock();
        struct machine *machine = worker_machine("i-000970", "req-10001", ALLOCATED("i-000970"), false);
        struct allocation *allocation = machine->allocations->pdata[0];
        worker_message(machine, 1, 1, fencing_token, LISTED("running"), CHANNEL_HEARTBEAT);
        machine->commands.in_flight = rows[i].in_flight;
        machine->commands.probe_in_flight = rows[i].probe;
        machine->commands.outcome_unknown = rows[i].unknown;
        machine->commands.unknown_token = fencing_token;
        machine->commands.unknown_incarnation = 1;
        worker_message(machine, 1, 2, fencing_token, "", CHANNEL_HEARTBEAT);
        bool released = allocation->released;
        worker_machine_gone("req-10001");
        store_unlock();
        if (released != rows[i].released) fail_msg("%s: %d", rows[i].what, released);
    }
}

/* Heartbeats that can't be read, or come from elsewhere, prove nothing: nothing is released, nobody is alive by them.
 */
static void unreadable_heartbeats_change_nothing(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    static const struct {
        const char *what, *heartbeat;
        bool newest;
    } rows[] = {
        {"good", "{\"host\":\"i-000980\",\"tenure\":1,\"seq\":%d,\"fence\":%lld,\"tasks\":[]}", true},
        {"another machine at the address", "{\"host\":\"i-7\",\"tenure\":1,\"seq\":%d,\"fence\":%lld,\"tasks\":[]}",
         false},
        {"no tasks", "{\"host\":\"i-000980\",\"tenure\":1,\"seq\":%d,\"fence\":%lld}", false},
        {"tasks that are no list", "{\"tenure\":1,\"seq\":%d,\"fence\":%lld,\"tasks\":{}}", false},
        {"a task without a name", "{\"tenure\":1,\"seq\":%d,\"fence\":%lld,\"tasks\":[{\"try\":5}]}", false},
        {"a task without an attempt",
         "{\"tenure\":1,\"seq\":%d,\"fence\":%lld,\"tasks\":[{\"task\":\"req-10001/0\",\"state\":\"ended\"}]}", false},
        {"a sequence that is no number", "{\"tenure\":1,\"seq\":\"%d\",\"fence\":%lld,\"tasks\":[]}", false},
        {"no incarnation", "{\"seq\":%d,\"fence\":%lld,\"tasks\":[]}", false},
    };
    store_lock();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct machine *machine = worker_machine("i-000980", "req-10001", ALLOCATED("i-000980"), false);
        struct allocation *allocation = machine->allocations->pdata[0];
        assert_true(worker_message(machine, 1, 1, fencing_token, LISTED("running"), CHANNEL_HEARTBEAT));
        machine->liveness.last_heard.tv_sec -= 20;
        char json[300];
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
        g_snprintf(json, sizeof json, rows[i].heartbeat, 2, (long long)fencing_token);
#pragma GCC diagnostic pop
        cJSON *message = cJSON_Parse(json);
        assert_non_null(message);
        struct heartbeat heartbeat = codec_read_heartbeat(message);
        bool newest = reconciliation_take(machine, &heartbeat, CHANNEL_HEARTBEAT);
        if (newest != rows[i].newest || allocation->released != rows[i].newest ||
            (clock_seconds_since(machine->liveness.last_heard) < 10) != rows[i].newest)
            fail_msg("%s: newest %d, released %d", rows[i].what, newest, allocation->released);
        cJSON_Delete(message);
        worker_machine_gone("req-10001");
    }
    store_unlock();
}

int main(void) {
    if (!owned_start_site(&cfg)) return 1;
    store_lock();
    owned_put("job/req-10001", WORKER_JOB("req-10001", "batch", "2"));
    store_unlock();
    const struct CMUnitTest tests[] = {cmocka_unit_test(releases_only_what_is_proven_absent),
                                       cmocka_unit_test(takeover_waits_for_its_fencing_token),
                                       cmocka_unit_test(raised_fencing_token_settles_an_unknown_outcome),
                                       cmocka_unit_test(late_copies_change_nothing),
                                       cmocka_unit_test(first_answer_starts_the_heartbeat_clock),
                                       cmocka_unit_test(counts_ignored_responses),
                                       cmocka_unit_test(start_in_flight_keeps_its_allocation),
                                       cmocka_unit_test(unreadable_heartbeats_change_nothing)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
