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

#define SUSPICION_S 4.0       /* how long a first failure to answer has all machines probed */
#define PROBE_INTERVAL_S 1.5  /* of each machine */
#define ZONE_PROBES_PER_S 4.0 /* of the machines of an unreachable zone */
#define QUIET_INTERVALS 1.1   /* intervals without a heartbeat, and the machine is probed */
#define SAVE_LEAD_S 6         /* beyond what a checkpoint takes: for the stop to reach the worker */
#define HEARD_ZONE_MACHINES 4 /* a zone with so many machines that are up ... */
#define HEARD_ZONE_PERCENT 80 /* ... and this part of them heard shows that we hear */

const struct settings *liveness_settings;

void liveness_init(const struct settings *settings) {
    liveness_settings = settings;
    zones_reset();
}

/* If most are silent it is more likely us than them; not so if one zone is silent and another is heard well. */
static bool workers_heard(const struct liveness_summary *summary, const struct zone_contact *contacts) {
    if (summary->heard * 2 >= summary->up - 1) return true;
    for (int i = 0; i < liveness_settings->n_zones; i++) {
        if (contacts[i].up >= HEARD_ZONE_MACHINES && contacts[i].heard * 100 >= contacts[i].up * HEARD_ZONE_PERCENT)
            return true;
    }
    return false;
}

/* Of an unreachable zone a few machines are probed, in turn: each that does not answer costs a sender its time limit.
 */
static double probe_interval_s(const struct machine *machine, const struct shard_check *check) {
    int zone = settings_zone(liveness_settings, machine->zone);
    if (zone < 0 || !zones_unreachable(check->shard, zone)) return PROBE_INTERVAL_S;
    return fmax(PROBE_INTERVAL_S, check->contacts[zone].up / ZONE_PROBES_PER_S);
}

/* Where a machine has just failed to answer, all are probed soon: what took it may have taken a hundred at once. */
static double quiet_s(int shard) {
    if (clock_seconds_since(shard_states[shard].suspicion_at) < SUSPICION_S) return SUSPICION_S / 2;
    return clock_to_seconds(liveness_settings->heartbeat_interval) * QUIET_INTERVALS;
}

/* A silence may be just that of a heartbeat on its way round the controllers. */
static void probe_if_quiet(struct machine *machine, const struct shard_check *check) {
    if (!machine->liveness.up || clock_seconds_since(machine->liveness.last_heard) <= quiet_s(check->shard) ||
        clock_seconds_since(machine->commands.last_probe) <= probe_interval_s(machine, check))
        return;
    machine->commands.last_probe = clock_now();
    machine->commands.needs_token_probe = true;
}

/* Outside of unreachable zones, where return_checks_unreachable notes them in time. */
static void note_risk_of_unanswered(const struct machine *machine, const struct shard_check *check) {
    int zone = settings_zone(liveness_settings, machine->zone);
    if (machine->liveness.up && machine->liveness.unanswered_probes &&
        (zone < 0 || !zones_unreachable(check->shard, zone)))
        return_checks_note_replicas_at_risk(machine);
}

static void check_reasons_to_return(struct machine *machine, const struct shard_check *check) {
    bool *return_wanted = &machine->retirement.return_wanted;
    if (return_checks_responses_lost(machine)) {
        log_info("machine %s: its heartbeats arrive, our responses don't reach it; returning it", machine->id);
        *return_wanted = true;
    }
    if (return_checks_unreachable(machine, check)) {
        log_info("machine %s: unreachable for %.0f s, returning it", machine->id,
                 clock_seconds_since(machine->liveness.last_heard));
        *return_wanted = true;
    }
    if (return_checks_faulty(machine)) {
        log_info("machine %s: cordoned, different jobs fail on it, returning it", machine->id);
        *return_wanted = true;
    }
    if (return_checks_never_came_up(machine)) {
        log_info("machine %s: never came up, returning it", machine->id);
        *return_wanted = true;
    }
    if (return_checks_stop_ignored(machine)) {
        log_info("machine %s: does not stop a cancelled task, returning it", machine->id);
        *return_wanted = true;
    }
}

static void request_checkpoint(struct allocation *allocation) {
    allocations_request_stop(allocation, allocation->job->spec.checkpoint_flush_s + ALLOCATIONS_CHECKPOINT_GRACE_S);
}

/* A gang saves only if all its tasks are stopped at about the same time. */
static void save_task(struct allocation *allocation) {
    if (allocation->job->spec.kind != JOB_GANG) {
        request_checkpoint(allocation);
        return;
    }
    for (guint i = 0; i < allocation->job->allocations->len; i++)
        request_checkpoint(allocation->job->allocations->pdata[i]);
}

/* Tasks that save checkpoints run on for as long as there is the time to save. */
static void follow_preemption_notice(struct machine *machine) {
    if (machine->liveness.preemption_notice_s < 0) return;
    double left_s = machine->liveness.preemption_notice_s - clock_seconds_since(machine->liveness.notice_received);
    for (guint i = 0; i < machine->allocations->len; i++) {
        struct allocation *allocation = machine->allocations->pdata[i];
        const struct job_spec *spec = &allocation->job->spec;
        if (!allocation->stop_requested && spec->checkpoint_s > 0 && left_s < spec->checkpoint_flush_s + SAVE_LEAD_S)
            save_task(allocation);
    }
    if (machine->allocations->len == 0) machine->retirement.return_wanted = true;
}

static void follow_drain(struct machine *machine) {
    struct machine_retirement *retirement = &machine->retirement;
    if (!retirement->draining) return;
    if (machine->allocations->len == 0) {
        log_info("machine %s: drained, returning it", machine->id);
        retirement->return_wanted = true;
    } else if (clock_has_elapsed(retirement->drain_since, liveness_settings->tuning.drain_reopen)) {
        log_info("machine %s: still busy, drain cancelled", machine->id);
        retirement->draining = false;
    }
}

void liveness_check_machines(int shard, const struct liveness_summary *summary) {
    struct zone_contact contacts[SETTINGS_ZONES];
    for (guint i = 0; i < jobs_active_of(shard)->len; i++)
        ((struct job *)jobs_active_of(shard)->pdata[i])->replicas_at_risk = 0;
    zones_check(shard, contacts);
    struct shard_check check = {shard, contacts, workers_heard(summary, contacts)};
    for (guint i = 0; i < machines_of_shard(shard)->len; i++) {
        struct machine *machine = machines_of_shard(shard)->pdata[i];
        if (machines_leaving(machine)) continue;
        probe_if_quiet(machine, &check);
        note_risk_of_unanswered(machine, &check);
        check_reasons_to_return(machine, &check);
        follow_preemption_notice(machine);
        follow_drain(machine);
    }
}

/* A time that was never set stays so. */
static void count_anew(struct timespec *since) {
    if (since->tv_sec || since->tv_nsec) *since = clock_now();
}

/* A controller that came back after a minute once took the silence of all its machines for theirs: the first that were
 * heard again made the others alone seem silent. */
void liveness_reset_silence(void) {
    for (guint i = 0; i < machines_all()->len; i++) {
        struct machine *machine = machines_all()->pdata[i];
        count_anew(&machine->liveness.last_heard);
        count_anew(&machine->liveness.last_heartbeat);
        count_anew(&machine->owned_since); /* a boot that was over meanwhile has not been heard of */
        machine->liveness.unanswered_probes = 0;
    }
}
