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

#define IGNORED_RESPONSES_MAX 3
#define UNANSWERED_PROBES 2
#define UNANSWERED_S 5.0 /* silence that counts if so many probes went unanswered */
#define FAULTY_S 5.0     /* time for other machines to show that a job is at fault */
#define OWNED_S 20       /* an owner of less has not had the time to hear of a boot */
#define STOP_LEAD_S 4    /* time for the return's record, the call and a few that go before it */
#define ZONE_BRIEFLY_S 5 /* cut off for less than that, a zone may be back at once */
#define BOOT_DEFAULT_S 60
#define BOOT_LATENESS 1.5

bool return_checks_responses_lost(const struct machine *machine) {
    return machine->liveness.up && machine->liveness.ignored_responses >= IGNORED_RESPONSES_MAX;
}

void return_checks_note_replicas_at_risk(const struct machine *machine) {
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        allocation->job->replicas_at_risk += !allocation->released && allocation->job->spec.kind == JOB_SERVICE;
    }
}

static bool runs_tasks(const struct machine *machine) {
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        if (!allocation->released && (allocation->seen || allocation->inherited)) return true;
    }
    return false;
}

/* A machine of an unreachable zone. It may be back before its tasks' end; until then they run on. If it is not, their
 * replicas should find machines that have booted meanwhile. */
static bool zone_may_return(const struct machine *machine, const struct zone_contact *contact) {
    double survival_s = zones_task_survival_s(machine->zone);
    double boot_s = machine->type ? machine->type->startup_s : BOOT_DEFAULT_S;
    if (contact->newest_s >= survival_s) return false;
    if (contact->newest_s > fmax(ZONE_BRIEFLY_S, survival_s - BOOT_LATENESS * boot_s - ZONE_BRIEFLY_S))
        return_checks_note_replicas_at_risk(machine);
    /* Nothing runs there, and the start that was sent last may never have come: once the machine is returned, its tasks
     * start elsewhere. */
    return runs_tasks(machine) || machine->allocations->len == 0 || contact->newest_s < ZONE_BRIEFLY_S;
}

/* Probes without an answer tell a silence sooner; only where a cut of the whole zone would have shown before. */
static bool probes_unanswered(const struct machine *machine, const struct zone_contact *contact) {
    double zone_silence_s = zones_silence_s(contact->up, clock_to_seconds(liveness_settings->heartbeat_interval));
    return machine->liveness.unanswered_probes >= UNANSWERED_PROBES &&
           clock_seconds_since(machine->liveness.last_heard) > UNANSWERED_S && zone_silence_s < UNANSWERED_S - 1;
}

static bool silent_for_long(const struct machine *machine) {
    return clock_seconds_since(machine->liveness.last_heard) > silence_limit_s() ||
           clock_seconds_since(machine->liveness.last_heartbeat) >
               clock_to_seconds(liveness_settings->lease) + silence_limit_s();
}

static bool silent(const struct machine *machine, const struct shard_check *check) {
    int zone = settings_zone(liveness_settings, machine->zone);
    if (zone < 0) return silent_for_long(machine);
    const struct zone_contact *contact = &check->contacts[zone];
    if (zones_unreachable(check->shard, zone)) return !zone_may_return(machine, contact);
    /* When a zone is heard again, its machines come one after the other: 65 healthy ones were once returned in the
     * moment in which the first of them answered. */
    if (zones_reachable_again_s(check->shard, zone) < silence_limit_s()) return false;
    return silent_for_long(machine) || probes_unanswered(machine, contact);
}

bool return_checks_unreachable(const struct machine *machine, const struct shard_check *check) {
    return machine->liveness.up && silent(machine, check) && check->workers_heard;
}

/* It has got no work since that showed, and goes unless the jobs prove to be at fault. */
bool return_checks_faulty(struct machine *machine) {
    if (!machine->liveness.up) return false;
    if (!quarantine_machine_faulty(machine)) {
        machine->faulty_since = (struct timespec){0, 0};
        return false;
    }
    if (!machine->faulty_since.tv_sec) machine->faulty_since = clock_now();
    return clock_seconds_since(machine->faulty_since) > FAULTY_S;
}

bool return_checks_never_came_up(const struct machine *machine) {
    return !machine->liveness.up && clock_time_of_day() - machine->created_at > provisioning_boot_timeout_s(machine) &&
           clock_seconds_since(machine->owned_since) > OWNED_S;
}

bool return_checks_stop_overdue(double cancelled_s, double heartbeat_s, double lease_s, double cancel_s) {
    double margin_s = cancel_s - lease_s;
    double lead_s = fmin(fmax(STOP_LEAD_S, margin_s / 4), margin_s / 2);
    /* One that has sent no heartbeat for a lease has ended the task. */
    return cancelled_s > cancel_s - lead_s && heartbeat_s < lease_s;
}

/* Every response carries the stop, and renews the lease by which the task would otherwise end: a machine that sends
 * heartbeats and does not stop it has to go, whatever else runs there. */
bool return_checks_stop_ignored(const struct machine *machine) {
    if (!machine->liveness.up) return false;
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        if (!allocation->released && allocation->seen && allocation->job->state == JOB_CANCELLED &&
            return_checks_stop_overdue(
                clock_seconds_since(allocation->job->ended), clock_seconds_since(machine->liveness.last_heartbeat),
                clock_to_seconds(liveness_settings->lease), clock_to_seconds(liveness_settings->cancel)))
            return true;
    }
    return false;
}
