#include "liveness.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <time.h>

#include "../allocations/allocations.h"
#include "../clock/clock.h"
#include "../logging/logging.h"
#include "internal.h"
#include "return_checks.h"
#include "silence.h"
#include "zones.h"

#define SUSPICION_WINDOW_S 4.0    /* after a machine's first unanswered probe, its shard's machines are probed sooner */
#define PROBE_INTERVAL_S 1.5      /* between two probes of one machine */
#define ZONE_PROBES_PER_S 4.0     /* to all machines of an unreachable zone together */
#define PROBE_AFTER_INTERVALS 1.1 /* heartbeat intervals of silence after which a machine is probed */
#define CHECKPOINT_STOP_LEAD_S 6  /* for the stop to reach the worker before it saves the checkpoint */
#define HEARD_ZONE_MACHINES_MIN 4 /* in a zone with fewer machines up, hearing most machines proves nothing */
#define HEARD_ZONE_PERCENT_MIN 80 /* percentage of these machines that has to be heard recently */

const struct settings *liveness_settings;

void liveness_init(const struct settings *settings) {
    liveness_settings = settings;
    zones_reset();
}

/* Returns whether this controller hears enough machines to treat the silent machines as unreachable. If most machines
 * are silent, the controller itself is probably isolated, unless it still hears most machines of one zone: then the
 * other zones are unreachable. */
static bool controller_hears_workers(const struct liveness_summary *summary, const struct zone_contact *contacts) {
    if (summary->heard * 2 >= summary->up - 1) return true;
    for (int i = 0; i < liveness_settings->n_zones; i++) {
        if (contacts[i].up >= HEARD_ZONE_MACHINES_MIN &&
            contacts[i].heard * 100 >= contacts[i].up * HEARD_ZONE_PERCENT_MIN)
            return true;
    }
    return false;
}

/* Returns the time between two probes of the machine. Probes to an unreachable zone are limited to ZONE_PROBES_PER_S,
 * because each unanswered probe blocks a sender thread until its timeout. */
static double probe_interval_s(const struct machine *machine, const struct shard_check *check) {
    int zone = settings_zone(liveness_settings, machine->zone);
    if (zone < 0 || !zones_unreachable(check->shard, zone)) return PROBE_INTERVAL_S;
    return fmax(PROBE_INTERVAL_S, check->contacts[zone].up / ZONE_PROBES_PER_S);
}

/* Returns the silence after which a machine of the shard is probed. It is shorter for SUSPICION_WINDOW_S after a
 * machine did not answer a probe, because the same failure may have hit a hundred machines at once. */
static double probe_after_s(int shard) {
    if (clock_seconds_since(owned_shard_states[shard].machine_suspected_at) < SUSPICION_WINDOW_S)
        return SUSPICION_WINDOW_S / 2;
    return clock_to_seconds(liveness_settings->heartbeat_interval) * PROBE_AFTER_INTERVALS;
}

/* Probes a silent machine directly, since its heartbeat may be delayed on its way through other controllers. */
static void probe_if_silent(struct machine *machine, const struct shard_check *check) {
    if (!machine->liveness.up || clock_seconds_since(machine->liveness.last_heard) <= probe_after_s(check->shard) ||
        clock_seconds_since(machine->commands.last_probe) <= probe_interval_s(machine, check))
        return;
    machine->commands.last_probe = clock_now();
    machine->commands.needs_token_probe = true;
}

/* Counts the replicas of a machine that has not answered a probe as at risk. For machines of unreachable zones,
 * return_checks_unreachable does so later. */
static void note_replicas_of_unanswering_machine(const struct machine *machine, const struct shard_check *check) {
    int zone = settings_zone(liveness_settings, machine->zone);
    if (machine->liveness.up && machine->liveness.unanswered_probes &&
        (zone < 0 || !zones_unreachable(check->shard, zone)))
        return_checks_note_replicas_at_risk(machine);
}

static void check_reasons_to_return(struct machine *machine, const struct shard_check *check) {
    bool *return_wanted = &machine->retirement.return_wanted;
    if (return_checks_responses_lost(machine)) {
        log_info("machine %s: heartbeats arrive but responses don't reach it, returning it", machine->id);
        *return_wanted = true;
    }
    if (return_checks_unreachable(machine, check)) {
        log_info("machine %s: unreachable for %.0f s, returning it", machine->id,
                 clock_seconds_since(machine->liveness.last_heard));
        *return_wanted = true;
    }
    if (return_checks_faulty(machine)) {
        log_info("machine %s: faulty, different jobs fail on it, returning it", machine->id);
        *return_wanted = true;
    }
    if (return_checks_never_came_up(machine)) {
        log_info("machine %s: never came up, returning it", machine->id);
        *return_wanted = true;
    }
    if (return_checks_stop_ignored(machine)) {
        log_info("machine %s: did not stop a cancelled task, returning it", machine->id);
        *return_wanted = true;
    }
}

static void request_stop_with_checkpoint(struct allocation *allocation) {
    allocations_request_stop(allocation, allocation->job->spec.checkpoint_flush_s + ALLOCATIONS_CHECKPOINT_GRACE_S);
}

/* Stops the task. A gang's tasks are all stopped together, since a gang can save a checkpoint only if they stop at
 * about the same time.
 */
static void stop_for_checkpoint(struct allocation *allocation) {
    if (allocation->job->spec.kind != JOB_GANG) {
        request_stop_with_checkpoint(allocation);
        return;
    }
    for (guint i = 0; i < allocation->job->allocations->len; i++)
        request_stop_with_checkpoint(allocation->job->allocations->pdata[i]);
}

/* After a preemption notice, lets tasks that save checkpoints run while there is still time to save a checkpoint, then
 * stops these tasks. Requests the return of the machine once it is empty. */
static void handle_preemption_notice(struct machine *machine) {
    if (machine->liveness.preemption_notice_s < 0) return;
    double remaining_s =
        machine->liveness.preemption_notice_s - clock_seconds_since(machine->liveness.notice_received_at);
    for (guint i = 0; i < machine->allocations->len; i++) {
        struct allocation *allocation = machine->allocations->pdata[i];
        const struct job_spec *spec = &allocation->job->spec;
        if (!allocation->stop_requested && spec->checkpoint_s > 0 &&
            remaining_s < spec->checkpoint_flush_s + CHECKPOINT_STOP_LEAD_S)
            stop_for_checkpoint(allocation);
    }
    if (machine->allocations->len == 0) machine->retirement.return_wanted = true;
}

/* Requests the return of a drained machine once it is empty. A drain that takes longer than tuning.drain_timeout is
 * cancelled. */
static void handle_drain(struct machine *machine) {
    struct machine_retirement *retirement = &machine->retirement;
    if (!retirement->draining) return;
    if (machine->allocations->len == 0) {
        log_info("machine %s: drained, returning it", machine->id);
        retirement->return_wanted = true;
    } else if (clock_has_elapsed(retirement->drain_since, liveness_settings->tuning.drain_timeout)) {
        log_info("machine %s: still busy, drain cancelled", machine->id);
        retirement->draining = false;
    }
}

void liveness_check_machines(int shard, const struct liveness_summary *summary) {
    struct zone_contact contacts[SETTINGS_ZONES_MAX];
    for (guint i = 0; i < jobs_active_in_shard(shard)->len; i++)
        ((struct job *)jobs_active_in_shard(shard)->pdata[i])->replicas_at_risk = 0;
    zones_update(shard, contacts);
    struct shard_check check = {shard, contacts, controller_hears_workers(summary, contacts)};
    for (guint i = 0; i < machines_of_shard(shard)->len; i++) {
        struct machine *machine = machines_of_shard(shard)->pdata[i];
        if (machines_leaving(machine)) continue;
        probe_if_silent(machine, &check);
        note_replicas_of_unanswering_machine(machine, &check);
        check_reasons_to_return(machine, &check);
        handle_preemption_notice(machine);
        handle_drain(machine);
    }
}

/* Sets the time to now, unless it was never set. */
static void restart_if_set(struct timespec *since) {
    if (since->tv_sec || since->tv_nsec) *since = clock_now();
}

/* Without this reset, a controller that had been paused for a minute counted its own pause as silence of all machines.
 * As soon as it heard the first machines again, it took the others for unreachable. */
void liveness_reset_silence(void) {
    for (guint i = 0; i < machines_all()->len; i++) {
        struct machine *machine = machines_all()->pdata[i];
        restart_if_set(&machine->liveness.last_heard);
        restart_if_set(&machine->liveness.last_heartbeat);
        restart_if_set(&machine->owned_since); /* a machine that booted during the pause has not been heard yet */
        machine->liveness.unanswered_probes = 0;
    }
}
