#include "reconciliation.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "../clock/clock.h"
#include "../events/events.h"
#include "../logging/logging.h"
#include "../provisioning/provisioning.h"
#include "listed_tasks.h"
#include "pending_starts.h"

#define RENTAL_RECORDING_MAX_S 5.0  /* longest time from a machine's rental until its record is written */
#define TOKEN_PROBE_INTERVAL_S 1.5  /* shortest time between probes of a machine that shows an older fencing token */
#define IGNORED_AFTER_STARTS_SENT 2 /* after this many, a start whose task is not listed counts as ignored */

/* If a worker's lease expires before this fraction of its duration has passed since the last heartbeat, the response to
 * that heartbeat did not reach the worker. */
#define EARLY_EXPIRY_FRACTION 0.7

static const struct settings *settings;

void reconciliation_init(const struct settings *new_settings) { settings = new_settings; }

/* Returns whether the message has the required members and does not come from another machine, which may have got this
 * machine's recorded address meanwhile. If another machine's list of tasks, or a malformed list, were applied, the
 * allocations that it does not list would be released. */
static bool is_well_formed(const struct machine *machine, const struct heartbeat *heartbeat) {
    return heartbeat->incarnation >= 0 && heartbeat->sequence >= 0 &&
           (!heartbeat->machine_id || strcmp(heartbeat->machine_id, machine->id) == 0) &&
           listed_tasks_valid(heartbeat->tasks);
}

/* Returns whether the message is newer than the last one applied. If it is not, it is a delayed or repeated copy. */
static bool is_newer(const struct machine_agent *agent, const struct heartbeat *heartbeat) {
    return heartbeat->incarnation > agent->incarnation ||
           (heartbeat->incarnation == agent->incarnation && heartbeat->sequence > agent->sequence);
}

/* Handles a message that shows an older fencing token than the machine's current one. Either the current token has not
 * reached the machine, or the message is a copy, perhaps minutes old, from before the token did. Such a message proves
 * neither that the machine is alive nor anything about its tasks, and gives no occupancy sample. A probe makes a live
 * machine adopt the current token at once. If heartbeats keep arriving with the older token, this controller's
 * responses do not reach the machine. */
static void handle_older_token(struct machine *machine, const struct heartbeat *heartbeat,
                               enum worker_channel channel) {
    if (channel == CHANNEL_HEARTBEAT) {
        if (machine->liveness.heartbeat_acknowledged) machine->liveness.ignored_responses++;
        if (clock_seconds_since(machine->commands.last_probe) > TOKEN_PROBE_INTERVAL_S) {
            machine->commands.last_probe = clock_now();
            machine->commands.needs_token_probe = machine->commands.send_pending = true;
            events_publish(EVENT_DISPATCH);
        }
    }
    listed_tasks_collect_cancelled(machine, heartbeat->tasks);
}

/* Counts heartbeats which show that this controller's responses do not reach the worker: its lease expired although its
 * heartbeat was answered, or starts that were sent IGNORED_AFTER_STARTS_SENT times are not carried out. */
static void count_ignored_responses(struct machine *machine, const struct heartbeat *heartbeat, bool new_incarnation) {
    int ignored_starts = 0;
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        ignored_starts += !allocation->was_listed && !allocation->stop_requested &&
                          allocation->starts_sent >= IGNORED_AFTER_STARTS_SENT;
    }
    struct machine_liveness *liveness = &machine->liveness;
    if (new_incarnation && liveness->heartbeat_acknowledged &&
        clock_seconds_since(liveness->last_heartbeat) <
            clock_to_seconds(settings->worker_lease) * EARLY_EXPIRY_FRACTION) {
        liveness->ignored_responses += 2;
    } else if (ignored_starts && cJSON_GetArraySize(heartbeat->tasks) < ignored_starts) {
        liveness->ignored_responses++;
    } else {
        liveness->ignored_responses = 0;
    }
}

/* Records the boot time of a machine that has just come up, if this controller has owned the machine since its rental.
 * Only such a controller knows that the machine was not up before. */
static void record_boot(const struct machine *machine) {
    double boot_s = clock_time_of_day() - machine->created_at;
    if (!machine->had_task && boot_s < clock_seconds_since(machine->owned_since) + RENTAL_RECORDING_MAX_S)
        provisioning_record_boot(machine->type_name, boot_s);
}

static void mark_alive(struct machine *machine, int64_t fencing_token, enum worker_channel channel) {
    struct machine_liveness *liveness = &machine->liveness;
    machine->agent.reported_token = fencing_token;
    liveness->last_heard = clock_now();
    liveness->unanswered_probes = 0;
    /* The machine's first message may be the answer to a probe, long after the rental. The timeout for its heartbeats
     * starts now: without this, one in sixteen machines was returned as soon as it came up, for lack of heartbeats. */
    if (channel == CHANNEL_HEARTBEAT || !liveness->up) liveness->last_heartbeat = liveness->last_heard;
    if (!liveness->up) {
        log_info("machine %s: up", machine->id);
        record_boot(machine);
    }
    liveness->up = true;
}

static void update_preemption_notice(struct machine *machine, const struct heartbeat *heartbeat) {
    struct machine_liveness *liveness = &machine->liveness;
    if (!heartbeat->has_preemption_notice) {
        liveness->preemption_notice_s = -1;
        return;
    }
    if (liveness->preemption_notice_s < 0)
        log_info("machine %s: preemption notice, reclaimed in %.0f s", machine->id, heartbeat->preemption_notice_s);
    liveness->preemption_notice_s = heartbeat->preemption_notice_s;
    liveness->notice_received_at = liveness->last_heard;
}

/* Clears the unknown outcome of a start once the worker shows a higher fencing token or incarnation, under which it no
 * longer carries that start out. */
static void clear_unknown_outcome(struct machine *machine, const struct heartbeat *heartbeat) {
    struct machine_commands *commands = &machine->commands;
    if (commands->start_outcome_unknown && !directives_start_in_flight(machine) &&
        (heartbeat->fencing_token > commands->unknown_start_token ||
         heartbeat->incarnation > commands->unknown_start_incarnation)) {
        commands->start_outcome_unknown = false;
        commands->needs_token_raise = false;
    }
}

/* Returns whether a task that was listed before or is inherited is absent if the message does not list it. A heartbeat
 * reflects all earlier responses of this controller. The answer to a command may not, and so proves absence only while
 * no response that carried a start is in flight. The fencing token and the incarnation in the message rule out starts
 * in responses of other owners and to earlier incarnations. So after a takeover the running tasks are known as soon as
 * the machine has answered a probe; waiting for heartbeats took 20 s after a network partition. */
static bool proves_absence(const struct machine *machine, enum worker_channel channel) {
    return channel == CHANNEL_HEARTBEAT || !directives_response_start_in_flight(machine);
}

static void reconcile_tasks(struct machine *machine, const cJSON *tasks, enum worker_channel channel) {
    bool listed[LISTED_TASKS_ALLOCATIONS_MAX] = {false};
    double gang_start_s = 2 * clock_to_seconds(settings->heartbeat_interval);
    bool released = listed_tasks_apply(machine, tasks, listed);
    if (proves_absence(machine, channel)) released |= listed_tasks_release_absent(machine, listed, gang_start_s);
    if (released) events_publish(EVENT_SCHEDULE);
}

bool reconciliation_apply(struct machine *machine, const struct heartbeat *heartbeat, enum worker_channel channel) {
    struct machine_agent *agent = &machine->agent;
    if (!is_well_formed(machine, heartbeat)) {
        log_debug("machine %s: malformed heartbeat", machine->id);
        return false;
    }
    directives_note_message(machine, channel, heartbeat->incarnation, heartbeat->sequence);
    if (!is_newer(agent, heartbeat)) return false;
    bool new_incarnation = agent->incarnation > 0 && heartbeat->incarnation > agent->incarnation;
    agent->incarnation = heartbeat->incarnation;
    agent->sequence = heartbeat->sequence;
    if (heartbeat->fencing_token < machines_fencing_token(machine)) {
        handle_older_token(machine, heartbeat, channel);
        return true;
    }
    if (channel == CHANNEL_HEARTBEAT) count_ignored_responses(machine, heartbeat, new_incarnation);
    mark_alive(machine, heartbeat->fencing_token, channel);
    update_preemption_notice(machine, heartbeat);
    clear_unknown_outcome(machine, heartbeat);
    pending_starts_remove_void(machine, heartbeat->fencing_token, heartbeat->incarnation);
    reconcile_tasks(machine, heartbeat->tasks, channel);
    return true;
}
