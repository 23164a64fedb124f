#include "return_checks.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <time.h>

#include "../clock/clock.h"
#include "../membership/membership.h"
#include "../provisioning/provisioning.h"
#include "../quarantine/quarantine.h"
#include "internal.h"
#include "silence.h"

#define IGNORED_RESPONSES_LIMIT 3 /* a machine that has ignored this many responses is returned */
#define UNANSWERED_PROBES_MIN 2   /* probes in a row */
#define UNANSWERED_SILENCE_S 5.0  /* silence that is required in addition to the unanswered probes */
#define FAULTY_GRACE_S 5.0        /* during this time, failures on other machines may show that a job is at fault */
#define OWNED_MIN_S 20            /* a new owner may need this long to hear from a machine that has booted */
#define STOP_LEAD_S 4             /* time to record the return and call the cloud, after a few earlier returns */
#define ZONE_BRIEF_OUTAGE_S 5     /* a zone that was unreachable for less may be reachable again at once */
#define BOOT_DEFAULT_S 60         /* nominal boot time if the machine type is not known */
#define BOOT_TIME_FACTOR 1.5      /* a boot may take this multiple of its nominal time */

bool return_checks_responses_lost(const struct machine *machine) {
    return machine->liveness.up && machine->liveness.ignored_responses >= IGNORED_RESPONSES_LIMIT;
}

void return_checks_note_replicas_at_risk(const struct machine *machine) {
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        allocation->job->replicas_at_risk += !allocation->released && allocation->job->spec.kind == JOB_SERVICE;
    }
}

/* Returns whether the machine may run tasks: it has listed a task, or an earlier owner of the shard allocated a task to
 * it. */
static bool runs_tasks(const struct machine *machine) {
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        if (!allocation->released && (allocation->was_listed || allocation->inherited)) return true;
    }
    return false;
}

/* Returns whether a machine of an unreachable zone is kept for now. Its tasks run on for a while, and the zone may be
 * reachable again before they end. Its replicas are noted as at risk early enough for other machines to boot. */
static bool is_kept_in_unreachable_zone(const struct machine *machine, const struct zone_contact *contact) {
    double survival_s = zones_task_survival_s(machine->zone);
    double boot_s = machine->type ? machine->type->startup_s : BOOT_DEFAULT_S;
    if (contact->shortest_silence_s >= survival_s) return false;
    if (contact->shortest_silence_s >
        fmax(ZONE_BRIEF_OUTAGE_S, survival_s - BOOT_TIME_FACTOR * boot_s - ZONE_BRIEF_OUTAGE_S))
        return_checks_note_replicas_at_risk(machine);
    /* If tasks are allocated but none is known to run, the start may not have arrived: the machine is returned, so that
     * the tasks start elsewhere. */
    return runs_tasks(machine) || machine->allocations->len == 0 || contact->shortest_silence_s < ZONE_BRIEF_OUTAGE_S;
}

/* Unanswered probes reveal an unreachable machine before the silence limit does. They count only if an outage of the
 * whole zone would have been detected earlier. */
static bool probes_unanswered(const struct machine *machine, const struct zone_contact *contact) {
    double zone_silence_s = zones_silence_limit_s(contact->up, clock_to_seconds(liveness_settings->heartbeat_interval));
    return machine->liveness.unanswered_probes >= UNANSWERED_PROBES_MIN &&
           clock_seconds_since(machine->liveness.last_heard) > UNANSWERED_SILENCE_S &&
           zone_silence_s < UNANSWERED_SILENCE_S - 1;
}

/* Returns whether the machine was not heard for the silence limit, or sent no heartbeat for that limit plus a lease. */
static bool silent_for_long(const struct machine *machine) {
    return clock_seconds_since(machine->liveness.last_heard) > silence_limit_s() ||
           clock_seconds_since(machine->liveness.last_heartbeat) >
               clock_to_seconds(liveness_settings->worker_lease) + silence_limit_s();
}

static bool counts_as_unreachable(const struct machine *machine, const struct shard_check *check) {
    int zone = settings_zone(liveness_settings, machine->zone);
    if (zone < 0) return silent_for_long(machine);
    const struct zone_contact *contact = &check->contacts[zone];
    if (zones_unreachable(check->shard, zone)) return !is_kept_in_unreachable_zone(machine, contact);
    /* When a zone becomes reachable again, its machines are heard one after the other. Without this wait, 65 healthy
     * machines were returned when the first one answered. */
    if (zones_seconds_since_reachable(check->shard, zone) < silence_limit_s()) return false;
    return silent_for_long(machine) || probes_unanswered(machine, contact);
}

bool return_checks_unreachable(const struct machine *machine, const struct shard_check *check) {
    return machine->liveness.up && counts_as_unreachable(machine, check) && check->workers_heard;
}

/* A faulty machine gets no new tasks. It is returned after FAULTY_GRACE_S, unless its jobs turn out to be at fault. */
bool return_checks_faulty(struct machine *machine) {
    if (!machine->liveness.up) return false;
    if (!quarantine_machine_faulty(machine)) {
        machine->faulty_since = (struct timespec){0, 0};
        return false;
    }
    if (!machine->faulty_since.tv_sec) machine->faulty_since = clock_now();
    return clock_seconds_since(machine->faulty_since) > FAULTY_GRACE_S;
}

bool return_checks_never_came_up(const struct machine *machine) {
    return !machine->liveness.up && clock_time_of_day() - machine->created_at > provisioning_boot_timeout_s(machine) &&
           clock_seconds_since(machine->owned_since) > OWNED_MIN_S;
}

bool return_checks_stop_overdue(double cancelled_s, double heartbeat_s, double lease_s, double cancel_s) {
    double margin_s = cancel_s - lease_s;
    double lead_s = fmin(fmax(STOP_LEAD_S, margin_s / 4), margin_s / 2);
    /* A worker that has sent no heartbeat for the length of a lease has ended the task itself. */
    return cancelled_s > cancel_s - lead_s && heartbeat_s < lease_s;
}

/* Every response to a heartbeat repeats the stop and renews the lease, so the lease does not end the task either. A
 * machine that sends heartbeats but does not stop the task is returned even if other tasks run there. */
bool return_checks_stop_ignored(const struct machine *machine) {
    if (!machine->liveness.up) return false;
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        if (!allocation->released && allocation->was_listed && allocation->job->state == JOB_CANCELLED &&
            return_checks_stop_overdue(
                clock_seconds_since(allocation->job->ended_at), clock_seconds_since(machine->liveness.last_heartbeat),
                clock_to_seconds(liveness_settings->worker_lease), clock_to_seconds(liveness_settings->cancel_timeout)))
            return true;
    }
    return false;
}
