#include "candidates.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../clock/clock.h"
#include "../liveness/liveness.h"
#include "../machine_types/machine_types.h"
#include "../machines/machines.h"
#include "../quarantine/quarantine.h"
#include "fit.h"
#include "occupancy.h"

#define OVERDUE_HEARTBEAT_INTERVALS 2
#define HEARTBEAT_DELAY_MAX_S 1 /* how much longer than its interval a heartbeat may take */

static const struct settings *placement_settings;

double placement_heartbeat_overdue_s(void) {
    return clock_to_seconds(placement_settings->heartbeat_interval) * OVERDUE_HEARTBEAT_INTERVALS +
           HEARTBEAT_DELAY_MAX_S;
}

static bool is_older(const struct machine *machine, const struct machine *other) {
    if (machine->created_at != other->created_at) return machine->created_at < other->created_at;
    return strcmp(machine->id, other->id) < 0;
}

struct machine *placement_reception_machine(int shard) {
    const GPtrArray *machines = machines_of_shard(shard);
    struct machine *oldest = NULL;
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        if (machine->spot || machines_leaving(machine) || !machine->liveness.up ||
            machine->liveness.preemption_notice_s >= 0)
            continue;
        if (!oldest || is_older(machine, oldest)) oldest = machine;
    }
    return oldest;
}

struct placement_rules placement_rules(int shard) {
    const struct settings_tuning *tuning = &placement_settings->tuning;
    return (struct placement_rules){tuning->reception_threshold, tuning->admission_threshold,
                                    placement_reception_machine(shard)};
}

/* Adds up the resources in use by the machine's allocations. A released allocation uses none, and marks the machine
 * dirty so that this round writes the release. */
static void count_used(struct machine *machine) {
    struct machine_round *round = &machine->round;
    round->used_vcpus = round->used_gpus = round->used_memory_gb = 0;
    round->used_tasks = 0;
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        if (allocation->released) {
            round->dirty = true;
        } else {
            placement_reserve(machine, &allocation->job->spec);
        }
    }
}

/* Returns whether the machine stays in its shard: it is not draining, being returned, transferred or reclaimed. */
static bool remains_in_shard(const struct machine *machine) {
    return !machines_leaving(machine) && !machine->retirement.draining && machine->rebalance.target_shard < 0 &&
           machine->liveness.preemption_notice_s < 0;
}

/* Returns whether the machine accepts directives and the outcome of earlier directives is known. */
static bool accepts_directives(const struct machine *machine) {
    return !machine->commands.needs_token_raise && !machine->commands.start_outcome_unknown &&
           machine->liveness.ignored_responses == 0 && machine->agent.reported_token >= machines_fencing_token(machine);
}

static bool is_schedulable(const struct machine *machine, int shard, double overdue_s) {
    return machine->liveness.up && machine->page >= 0 && machine->type && remains_in_shard(machine) &&
           accepts_directives(machine) && !quarantine_machine_faulty(machine) &&
           clock_seconds_since(machine->liveness.last_heartbeat) < overdue_s &&
           machine->allocations->len < MACHINE_TASKS_MAX && machine->agent.listed_tasks < MACHINE_LISTED_TASKS_MAX &&
           !liveness_zone_unreachable(shard, machine->zone);
}

void placement_prepare_machines(int shard) {
    const GPtrArray *machines = machines_of_shard(shard);
    double overdue_s = placement_heartbeat_overdue_s();
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        if (!machines_owned(machine)) continue;
        if (!machine->type) machine->type = machine_types_find(machine->type_name);
        machine->round.dirty = machine->round.leaves_page = false;
        machine->round.next_fencing_token = 0;
        machine->round.next_page = -1;
        machine->round.occupancy =
            placement_occupancy(machine, (int)placement_settings->tuning.occupancy_window_heartbeats);
        count_used(machine);
        machine->round.schedulable = is_schedulable(machine, shard, overdue_s);
    }
}

void placement_init(const struct settings *settings) { placement_settings = settings; }
