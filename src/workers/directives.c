#include "directives.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

#include "../clock/clock.h"
#include "../dependencies/dependencies.h"
#include "../logging/logging.h"
#include "../machines/machines.h"
#include "../membership/membership.h"
#include "../store/store.h"
#include "codec.h"
#include "pending_starts.h"

bool directives_awaits_start(const struct allocation *allocation) {
    const struct machine *machine = allocation->machine;
    return !allocation->released && !allocation->stop_requested && !allocation->was_listed && !allocation->inherited &&
           allocation->job->state == JOB_QUEUED && !dependencies_unmet(allocation->job) &&
           !machine->retirement.returning && !machine->retirement.return_wanted;
}

/* A probe in flight does not count, because a probe carries no starts. Machines are probed even while the outcome of
 * their last start is unknown; when they were not, hanging machines in this state were detected 5 s later. */
bool directives_start_in_flight(const struct machine *machine) {
    return machine->commands.in_flight && !machine->commands.probe_in_flight;
}

bool directives_response_start_in_flight(const struct machine *machine) {
    return machine->commands.response_start_incarnation > 0;
}

void directives_note_message(struct machine *machine, enum worker_channel channel, int64_t incarnation,
                             int64_t sequence) {
    struct machine_commands *commands = &machine->commands;
    bool is_later_heartbeat = channel == CHANNEL_HEARTBEAT && incarnation == commands->response_start_incarnation &&
                              sequence > commands->response_start_sequence;
    if (is_later_heartbeat || incarnation > commands->response_start_incarnation)
        commands->response_start_incarnation = commands->response_start_sequence = 0;
}

static void note_response_start(struct machine *machine) {
    machine->commands.response_start_incarnation = machine->agent.incarnation;
    machine->commands.response_start_sequence = machine->agent.sequence;
}

void directives_task_name(const struct allocation *allocation, char *name, size_t n) {
    snprintf(name, n, "%s/%d", allocation->job->spec.job_id, allocation->task);
}

static void log_directives(const struct machine *machine, enum worker_channel channel, const cJSON *directives) {
    if (cJSON_GetArraySize(directives) == 0) return;
    g_autofree char *text = codec_describe_directives(directives);
    log_info("machine %s: %s %lld/%lld, token %lld, worker shows %lld, last read of the store %.2f s ago: %s",
             machine->id, channel == CHANNEL_HEARTBEAT ? "response to heartbeat" : "command after message",
             (long long)machine->agent.incarnation, (long long)machine->agent.sequence,
             (long long)machines_current_token(machine), (long long)machine->agent.reported_token,
             clock_seconds_since(store_last_read_sent()), text);
}

void directives_add_unknown_stops(const struct machine *machine, cJSON *directives) {
    for (guint i = 0; i < machine->agent.unknown_tasks->len; i++) {
        const struct unknown_task *unknown = &g_array_index(machine->agent.unknown_tasks, struct unknown_task, i);
        codec_add_directive(directives, &(struct directive){DIRECTIVE_STOP, unknown->task_name, unknown->attempt, 0});
    }
}

/* Adds directives for tasks without an allocation: a stop, or a forget if the attempt has ended. A delayed start of an
 * ended attempt has no effect as long as the worker lists the attempt, and runs it again afterwards. */
static void add_for_unknown_tasks(const struct machine *machine, cJSON *directives) {
    for (guint i = 0; i < machine->agent.unknown_tasks->len && i < MACHINE_TASKS_MAX; i++) {
        const struct unknown_task *unknown = &g_array_index(machine->agent.unknown_tasks, struct unknown_task, i);
        if (unknown->ended && !pending_starts_ruled_out(machine, unknown->attempt)) continue;
        enum directive_kind kind = unknown->ended ? DIRECTIVE_FORGET : DIRECTIVE_STOP;
        codec_add_directive(directives, &(struct directive){kind, unknown->task_name, unknown->attempt, 0});
    }
}

/* Returns whether the allocation's stop is sent over the channel. Each response to a heartbeat repeats the stop; a
 * command repeats it only if its grace period is zero. */
static bool stop_due(const struct allocation *allocation, enum worker_channel channel) {
    return allocation->was_listed &&
           (channel == CHANNEL_HEARTBEAT || !allocation->stop_sent || allocation->grace_s <= 0);
}

static void add_for_allocation(struct allocation *allocation, bool may_start, enum worker_channel channel,
                               cJSON *directives) {
    struct machine *machine = allocation->machine;
    char task[TASK_NAME_SIZE];
    directives_task_name(allocation, task, sizeof task);
    if (allocation->stop_requested) {
        struct directive stop = {DIRECTIVE_STOP, task, allocation->attempt, allocation->grace_s};
        if (stop_due(allocation, channel)) codec_add_directive(directives, &stop);
        allocation->stop_sent = true;
    } else if (may_start && directives_awaits_start(allocation)) {
        codec_add_directive(directives, &(struct directive){DIRECTIVE_RUN, task, allocation->attempt, 0});
        if (channel == CHANNEL_HEARTBEAT) {
            allocation->starts_sent++;
            note_response_start(machine);
        } else {
            pending_starts_add(machine, allocation->attempt);
        }
    }
}

/* A worker that has not shown the machine's current fencing token gets only the stops of unknown tasks, which include
 * tasks of cancelled jobs; it gets all other directives once it shows the token. */
cJSON *directives_build(struct machine *machine, enum worker_channel channel) {
    cJSON *directives = cJSON_CreateArray();
    bool shows_token = machine->agent.reported_token >= machines_fencing_token(machine);
    bool may_start = membership_may_start_tasks();
    add_for_unknown_tasks(machine, directives);
    for (guint i = 0; shows_token && i < machine->allocations->len && i < MACHINE_TASKS_MAX; i++) {
        struct allocation *allocation = machine->allocations->pdata[i];
        if (!allocation->released) add_for_allocation(allocation, may_start, channel, directives);
    }
    log_directives(machine, channel, directives);
    return directives;
}
