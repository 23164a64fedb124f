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

#define DISPATCH_INTERVAL_S 1 /* at least that often */
#define DISPATCH_PAUSE_S 0.02 /* between two passes: what comes meanwhile is sent together */
#define STOP_REPEAT_S 2.0     /* between stops of cancelled tasks on another's machine */
#define STOP_REQUESTS_MAX 5   /* of each task */

static struct sync_wakeup wakeup;

void dispatcher_wake(void) { sync_wakeup_signal(&wakeup); }

/* Stops of the machine's tasks whose cancellation was acknowledged to a user; NULL: none is due. */
static cJSON *due_stops(struct machine *machine) {
    cJSON *directives = NULL;
    for (guint i = 0; i < machine->allocations->len && i < MACHINE_TASKS_MAX; i++) {
        struct allocation *allocation = machine->allocations->pdata[i];
        char task[TASK_NAME_SIZE];
        if (allocation->released || !allocation->job->cancel_acknowledged ||
            allocation->stop_requests >= STOP_REQUESTS_MAX)
            continue;
        directives_task_name(allocation, task, sizeof task);
        if (!directives) directives = cJSON_CreateArray();
        codec_add_directive(directives, &(struct directive){DIRECTIVE_STOP, task, allocation->attempt, 0});
        allocation->stop_requests++;
    }
    return directives;
}

/* The owner of a cancelled job's machines may be the one that can't reach the store, and then may not learn of the
 * cancellation for as long as the store is away: a task that still fetches would begin by itself. Whoever acknowledged
 * the cancellation to the user directs the stop, under the owner's fencing token, as soon as the store is away. It is
 * only quicker: the owner's own bound holds without it. */
static void stop_cancelled_elsewhere(struct machine *machine) {
    if (!machine->address[0] || machine->allocations->len == 0 ||
        clock_seconds_since(machine->commands.stops_requested_at) < STOP_REPEAT_S)
        return;
    cJSON *directives = due_stops(machine);
    if (!directives) return;
    machine->commands.stops_requested_at = clock_now();
    struct command *command = command_new_fenced(COMMAND_STOP_CANCELLED, machine);
    command->directives = directives;
    commands_push(QUEUE_DIRECTIVES, command);
}

/* Whether the machine, which is owned and was woken, can be sent anything now. */
static bool can_be_sent(const struct machine *machine) {
    const struct machine_commands *commands = &machine->commands;
    if (!machine->address[0] || commands->in_flight || machine->retirement.released) return false;
    if (!commands->needs_token_probe && (commands->outcome_unknown || !machine->liveness.up)) return false;
    return membership_may_answer();
}

/* One that has just failed to answer is probed before it is directed anything: directives to a hundred that hang at
 * once would hold up everybody's. */
static bool needs_probe(const struct machine *machine) {
    return machine->commands.needs_token_probe || machine->liveness.unanswered_probes > 0 ||
           machine->agent.seen_token < machines_fencing_token(machine);
}

static bool awaits_start(const struct machine *machine) {
    for (guint i = 0; i < machine->allocations->len; i++)
        if (directives_awaits_start(machine->allocations->pdata[i])) return true;
    return false;
}

static void note_in_flight(struct machine_commands *commands, const struct command *command) {
    commands->in_flight = true;
    commands->probe_in_flight = command->kind == COMMAND_TOKEN_PROBE;
    if (!command->has_start) return;
    commands->outcome_unknown = true;
    commands->unknown_token = command->fencing_token;
    commands->unknown_incarnation = command->incarnation;
}

/* Takes the directives over. */
static void send_command(struct machine *machine, enum command_kind kind, cJSON *directives) {
    struct command *command = command_new_fenced(kind, machine);
    command->has_start = codec_has_start(directives);
    command->owned_token = machine->owned_token;
    command->decided_at = clock_now();
    command->body = codec_write_command(command->fencing_token, command->incarnation, directives);
    cJSON_Delete(directives);
    note_in_flight(&machine->commands, command);
    commands_push(kind == COMMAND_TOKEN_PROBE ? QUEUE_PROBES : QUEUE_DIRECTIVES, command);
}

static void send_what_is_due(struct machine *machine, bool may_start) {
    bool probe = needs_probe(machine);
    machine->commands.needs_token_probe = machine->commands.wake = false;
    cJSON *directives = probe ? cJSON_CreateArray() : directives_for(machine, CHANNEL_COMMAND);
    /* What must wait for a read of the store is sent as soon as there is one. */
    if (!may_start) machine->commands.wake = awaits_start(machine);
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
        if (store_unreachable() && machine->known && !machines_owned(machine)) stop_cancelled_elsewhere(machine);
        bool woken = machine->commands.wake || machine->commands.needs_token_probe;
        if (woken && machines_owned(machine) && can_be_sent(machine)) send_what_is_due(machine, may_start);
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
