#include "dispatcher.h"

#include <glib.h>
#include <stdbool.h>

#include "../clock/clock.h"
#include "../events/events.h"
#include "../machines/machines.h"
#include "../membership/membership.h"
#include "../store/store.h"
#include "../sync/sync.h"
#include "codec.h"
#include "commands.h"
#include "directives.h"
#include "metrics.h"

#define DISPATCH_INTERVAL_S 1     /* longest wait for a wakeup between two passes over the machines */
#define DISPATCH_PAUSE_S 0.02     /* pause after each pass, so that directives due in the meantime are sent together */
#define STOP_RETRY_INTERVAL_S 2.0 /* shortest time between two COMMAND_STOP_CANCELLED to the same machine */
#define STOPS_PER_TASK_MAX 5      /* how many of these commands may name the same task */

static struct sync_wakeup wakeup;

void dispatcher_wake(void) { sync_wakeup_signal(&wakeup); }

/* Returns stops for the machine's tasks whose cancellation this controller has acknowledged to a user, or NULL if none
 * is due. Counts the stops in their allocations. */
static cJSON *build_cancellation_stops(struct machine *machine) {
    cJSON *directives = NULL;
    for (guint i = 0; i < machine->allocations->len && i < MACHINE_TASKS_MAX; i++) {
        struct allocation *allocation = machine->allocations->pdata[i];
        char task[TASK_NAME_SIZE];
        if (allocation->released || !allocation->job->cancel_acknowledged ||
            allocation->non_owner_stops_sent >= STOPS_PER_TASK_MAX)
            continue;
        directives_task_name(allocation, task, sizeof task);
        if (!directives) directives = cJSON_CreateArray();
        codec_add_directive(directives, &(struct directive){DIRECTIVE_STOP, task, allocation->attempt, 0});
        allocation->non_owner_stops_sent++;
    }
    return directives;
}

/* Called while the store is unreachable. The owner of the machine may then learn of a cancellation only when the store
 * is back, and a task that is still fetching its image would start running. The controller that acknowledged the
 * cancellation to the user therefore sends the stop itself, under the owner's fencing token. This only shortens the
 * delay: the owner keeps the cancellation deadline without it. */
static void stop_cancelled_on_unowned_machine(struct machine *machine) {
    if (!machine->address[0] || machine->allocations->len == 0 ||
        clock_seconds_since(machine->commands.non_owner_stops_sent_at) < STOP_RETRY_INTERVAL_S)
        return;
    cJSON *directives = build_cancellation_stops(machine);
    if (!directives) return;
    machine->commands.non_owner_stops_sent_at = clock_now();
    struct command *command = command_new_fenced(COMMAND_STOP_CANCELLED, machine);
    command->directives = directives;
    commands_push(QUEUE_DIRECTIVES, command);
}

/* Returns whether a command may be sent now to an owned machine for which a command may be due. */
static bool can_send_to(const struct machine *machine) {
    const struct machine_commands *commands = &machine->commands;
    if (!machine->address[0] || commands->in_flight || machine->retirement.released) return false;
    if (!commands->needs_token_probe && (commands->start_outcome_unknown || !machine->liveness.up)) return false;
    return membership_may_answer_workers();
}

/* Returns whether the machine must be probed before it is sent directives. This includes a machine that left a command
 * unanswered: directives to a hundred machines that hang at the same time would delay the directives to all other
 * machines. */
static bool needs_probe(const struct machine *machine) {
    return machine->commands.needs_token_probe || machine->liveness.unanswered_probes > 0 ||
           machine->agent.reported_token < machines_fencing_token(machine);
}

static bool has_start_due(const struct machine *machine) {
    for (guint i = 0; i < machine->allocations->len; i++)
        if (directives_awaits_start(machine->allocations->pdata[i])) return true;
    return false;
}

static void mark_in_flight(struct machine_commands *commands, const struct command *command) {
    commands->in_flight = true;
    commands->probe_in_flight = command->kind == COMMAND_TOKEN_PROBE;
    if (!command->has_start) return;
    commands->start_outcome_unknown = true;
    commands->unknown_start_token = command->fencing_token;
    commands->unknown_start_incarnation = command->incarnation;
}

/* Queues a command of this kind to the machine. Takes ownership of the directives. */
static void send_command(struct machine *machine, enum command_kind kind, cJSON *directives) {
    struct command *command = command_new_fenced(kind, machine);
    metrics_count(kind == COMMAND_TOKEN_PROBE ? METRIC_TOKEN_PROBES : METRIC_COMMANDS);
    command->has_start = codec_has_start(directives);
    command->owned_token = machine->owned_token;
    command->decided_at = clock_now();
    command->body = codec_write_command(command->fencing_token, command->incarnation, directives);
    cJSON_Delete(directives);
    mark_in_flight(&machine->commands, command);
    commands_push(kind == COMMAND_TOKEN_PROBE ? QUEUE_PROBES : QUEUE_DIRECTIVES, command);
}

static void send_due_command(struct machine *machine, bool may_start) {
    bool probe = needs_probe(machine);
    machine->commands.needs_token_probe = machine->commands.send_pending = false;
    cJSON *directives = probe ? cJSON_CreateArray() : directives_build(machine, CHANNEL_COMMAND);
    /* Starts that wait for a recent read of the store are checked again in every pass. */
    if (!may_start) machine->commands.send_pending = has_start_due(machine);
    if (probe || cJSON_GetArraySize(directives) > 0) {
        send_command(machine, probe ? COMMAND_TOKEN_PROBE : COMMAND_DIRECTIVES, directives);
    } else {
        cJSON_Delete(directives);
    }
}

static void dispatch(void) {
    store_lock();
    GPtrArray *machines = machines_all();
    bool may_start = membership_may_start_tasks();
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        if (store_unreachable() && machine->recorded && !machines_owned(machine))
            stop_cancelled_on_unowned_machine(machine);
        bool may_be_due = machine->commands.send_pending || machine->commands.needs_token_probe;
        if (may_be_due && machines_owned(machine) && can_send_to(machine)) send_due_command(machine, may_start);
    }
    store_unlock();
}

static void *dispatcher_main(void *unused) {
    (void)unused;
    for (;;) {
        sync_wakeup_wait(&wakeup, clock_from_seconds(DISPATCH_INTERVAL_S));
        dispatch();
        clock_sleep(clock_from_seconds(DISPATCH_PAUSE_S));
    }
    return NULL;
}

void dispatcher_init(void) {
    sync_wakeup_init(&wakeup);
    events_subscribe(EVENT_DISPATCH, dispatcher_wake);
}

void dispatcher_start(void) { sync_start_thread(dispatcher_main, NULL); }
