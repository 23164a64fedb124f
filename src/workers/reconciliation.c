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

#define RENTAL_S 5.0            /* a rental is recorded within that time */
#define PROBE_INTERVAL_S 1.5    /* between probes of a machine that shows an older fencing token */
#define START_REPEATS_IGNORED 2 /* a start that was sent so often has been ignored if its task is not listed */
#define EARLY_EXPIRY_PART 0.7   /* of the lease: it can't have expired so soon if our response had reached the worker */

static const struct settings *settings;

void reconciliation_init(const struct settings *chosen) { settings = chosen; }

/* One that names another machine, or whose tasks can't be read, proves nothing: taken for an empty list it would
 * release all that runs there. An address may have passed to another machine since it was recorded. */
static bool readable(const struct machine *machine, const struct heartbeat *heartbeat) {
    return heartbeat->incarnation >= 0 && heartbeat->sequence >= 0 &&
           (!heartbeat->machine_id || strcmp(heartbeat->machine_id, machine->id) == 0) &&
           listed_tasks_readable(heartbeat->tasks);
}

/* Otherwise it is a copy of what is known already, or of something older. */
static bool newer(const struct machine_agent *agent, const struct heartbeat *heartbeat) {
    return heartbeat->incarnation > agent->incarnation ||
           (heartbeat->incarnation == agent->incarnation && heartbeat->sequence > agent->sequence);
}

/* Our fencing token has not reached the machine, or this is a copy of a heartbeat from before it did, which may be
 * minutes old and proves nothing: no sign of life, no occupancy sample, nothing about its tasks. Probed directly, a
 * live one takes it up at once. One whose heartbeats arrive but which never does is out of our responses'
 * reach. */
static void take_outdated(struct machine *machine, const struct heartbeat *heartbeat, enum worker_channel channel) {
    if (channel == CHANNEL_HEARTBEAT) {
        if (machine->liveness.heartbeat_acknowledged) machine->liveness.ignored_responses++;
        if (clock_seconds_since(machine->commands.last_probe) > PROBE_INTERVAL_S) {
            machine->commands.last_probe = clock_now();
            machine->commands.needs_token_probe = machine->commands.wake = true;
            events_publish(EVENT_DISPATCH);
        }
    }
    listed_tasks_take_cancelled(machine, heartbeat->tasks);
}

/* Counts heartbeats that show nothing of our responses: the lease expired although each heartbeat was answered, or
 * directives that were sent twice are not taken up. */
static void count_ignored_responses(struct machine *machine, const struct heartbeat *heartbeat, bool new_incarnation) {
    int n_ignored_starts = 0;
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        n_ignored_starts +=
            !allocation->seen && !allocation->stop_requested && allocation->starts_sent >= START_REPEATS_IGNORED;
    }
    struct machine_liveness *liveness = &machine->liveness;
    if (new_incarnation && liveness->heartbeat_acknowledged &&
        clock_seconds_since(liveness->last_heartbeat) < clock_to_seconds(settings->lease) * EARLY_EXPIRY_PART) {
        liveness->ignored_responses += 2;
    } else if (n_ignored_starts && cJSON_GetArraySize(heartbeat->tasks) < n_ignored_starts) {
        liveness->ignored_responses++;
    } else {
        liveness->ignored_responses = 0;
    }
}

/* Only who owned it all the while since its rental knows that this is the first time that it is heard. */
static void record_boot(const struct machine *machine) {
    double boot_s = clock_time_of_day() - machine->created_at;
    if (!machine->had_task && boot_s < clock_seconds_since(machine->owned_since) + RENTAL_S)
        provisioning_record_boot(machine->type_name, boot_s);
}

static void take_sign_of_life(struct machine *machine, int64_t fencing_token, enum worker_channel channel) {
    struct machine_liveness *liveness = &machine->liveness;
    machine->agent.seen_token = fencing_token;
    liveness->last_heard = clock_now();
    liveness->unanswered_probes = 0;
    /* The first that is heard may be the answer to a probe, long after the rental: its heartbeats are due from now on.
     * One in sixteen machines was once returned the moment it came up, for not having sent one. */
    if (channel == CHANNEL_HEARTBEAT || !liveness->up) liveness->last_heartbeat = liveness->last_heard;
    if (!liveness->up) {
        log_info("machine %s: up", machine->id);
        record_boot(machine);
    }
    liveness->up = true;
}

static void take_preemption_notice(struct machine *machine, const struct heartbeat *heartbeat) {
    struct machine_liveness *liveness = &machine->liveness;
    if (!heartbeat->has_preemption_notice) {
        liveness->preemption_notice_s = -1;
        return;
    }
    if (liveness->preemption_notice_s < 0)
        log_info("machine %s: preemption notice, reclaimed in %.0f s", machine->id, heartbeat->preemption_notice_s);
    liveness->preemption_notice_s = heartbeat->preemption_notice_s;
    liveness->notice_received = liveness->last_heard;
}

/* A start whose outcome is unknown is not carried out any more once the worker shows a later fencing token or
 * incarnation. */
static void settle_unknown_outcome(struct machine *machine, const struct heartbeat *heartbeat) {
    struct machine_commands *commands = &machine->commands;
    if (commands->outcome_unknown && !directives_start_in_flight(machine) &&
        (heartbeat->fencing_token > commands->unknown_token ||
         heartbeat->incarnation > commands->unknown_incarnation)) {
        commands->outcome_unknown = false;
        commands->needs_token_raise = false;
    }
}

/* A heartbeat follows every response of ours. The answer to a command does not, unless no response to a heartbeat of
 * this incarnation carried a start: responses of others and of earlier incarnations are ruled out by the fencing token
 * and the incarnation that it shows. So a takeover knows what runs as soon as it has probed; waiting for heartbeats
 * took 20 s after a cut. */
static bool proves_absence(const struct machine *machine, enum worker_channel channel) {
    return channel == CHANNEL_HEARTBEAT || machine->commands.start_incarnation < machine->agent.incarnation;
}

static void reconcile_tasks(struct machine *machine, const cJSON *tasks, enum worker_channel channel) {
    bool listed[LISTED_TASKS_ALLOCATIONS_MAX] = {false};
    double gang_start_s = 2 * clock_to_seconds(settings->heartbeat_interval);
    bool released = listed_tasks_take(machine, tasks, listed);
    if (proves_absence(machine, channel)) released |= listed_tasks_release_absent(machine, listed, gang_start_s);
    if (released) events_publish(EVENT_SCHEDULE);
}

bool reconciliation_take(struct machine *machine, const struct heartbeat *heartbeat, enum worker_channel channel) {
    struct machine_agent *agent = &machine->agent;
    if (!readable(machine, heartbeat)) {
        log_debug("machine %s: malformed heartbeat", machine->id);
        return false;
    }
    if (!newer(agent, heartbeat)) return false;
    bool new_incarnation = agent->incarnation > 0 && heartbeat->incarnation > agent->incarnation;
    agent->incarnation = heartbeat->incarnation;
    agent->sequence = heartbeat->sequence;
    if (heartbeat->fencing_token < machines_fencing_token(machine)) {
        take_outdated(machine, heartbeat, channel);
        return true;
    }
    if (channel == CHANNEL_HEARTBEAT) count_ignored_responses(machine, heartbeat, new_incarnation);
    take_sign_of_life(machine, heartbeat->fencing_token, channel);
    take_preemption_notice(machine, heartbeat);
    settle_unknown_outcome(machine, heartbeat);
    reconcile_tasks(machine, heartbeat->tasks, channel);
    return true;
}
