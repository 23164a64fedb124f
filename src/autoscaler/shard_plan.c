#include "shard_plan.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

#include "../allocations/allocations.h"
#include "../clock/clock.h"
#include "../liveness/liveness.h"
#include "../machine_types/machine_types.h"
#include "../placement/placement.h"
#include "../preemption/preemption.h"
#include "../priority/priority.h"
#include "../provisioning/provisioning.h"
#include "rental_choice.h"

#define TRANSFER_WAIT_S 4 /* for so long another shard's machine is waited for */

static const struct settings *settings;

void shard_plan_init(const struct settings *chosen) { settings = chosen; }

/* GPUs that work off the backlog of work that may use spot machines: all spot ones, and those on which such work runs.
 */
static double backlog_gpus(const struct machine *machine) {
    if (machine->spot) {
        const struct machine_type *type = machine_types_find(machine->type_name);
        return type ? type->gpus : 0;
    }
    double gpus = 0;
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct job_spec *spec = &((const struct allocation *)machine->allocations->pdata[i])->job->spec;
        if (spec->allows_spot) gpus += spec->gpus;
    }
    return gpus;
}

static void count_booting(struct shard_plan *plan, const struct machine *machine) {
    /* Nobody knows when a machine of an unreachable zone is heard. */
    if (liveness_zone_unreachable(plan->shard, machine->zone)) return;
    /* Nor when an overdue one comes, if ever. More than a few at a time are not replaced: a spell of slow boots must
     * not multiply the bill. */
    if (provisioning_overdue(machine) && plan->n_overdue++ < provisioning_replacements_max(plan->n_up)) return;
    planned_machine_add(plan->machines, machine->type_name, machine->zone, machine->spot);
    plan->booting = true;
}

static void count_steady(struct shard_plan *plan, const struct machine *machine) {
    plan->n_steady++;
    /* Whole ones are kept for gangs that lack others. */
    if (allocations_count_on_machine(machine) == 0 && machine->round.schedulable) {
        struct planned_machine *planned = planned_machine_add(plan->machines, machine->type_name, machine->zone, false);
        if (planned) planned->kept_for_gangs = true;
    }
    if (machine != plan->reception_machine &&
        placement_occupancy(machine, (int)settings->tuning.occupancy_window) < settings->tuning.admission_threshold)
        plan->below_admission = true;
}

static void count_machine(struct shard_plan *plan, const struct machine *machine) {
    rental_choice_count(machine->zone);
    if (machines_leaving(machine)) return;
    plan->n_present++;
    plan->backlog_gpus += backlog_gpus(machine);
    if (!machine->liveness.up) {
        count_booting(plan, machine);
    } else if (!machine->spot && !machine->retirement.draining && machine->liveness.preemption_notice_s < 0) {
        count_steady(plan, machine);
    }
}

static void count_unregistered(struct shard_plan *plan) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, machines_unregistered());
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct unregistered_machine *machine = value;
        if (machine->shard != plan->shard) continue;
        planned_machine_add(plan->machines, machine->type_name, machine->zone, machine->spot);
        plan->n_present++;
        plan->booting = true;
    }
}

static void count_machines(struct shard_plan *plan) {
    const GPtrArray *machines = machines_of_shard(plan->shard);
    for (guint i = 0; i < machines->len; i++) plan->n_up += ((const struct machine *)machines->pdata[i])->liveness.up;
    for (guint i = 0; i < machines->len; i++) count_machine(plan, machines->pdata[i]);
    count_unregistered(plan);
}

/* Seconds for which tasks that need on-demand machines have found no place. */
static double longest_wait_s(const GArray *jobs) {
    double longest_s = 0;
    for (guint i = 0; i < jobs->len; i++) {
        const struct job *job = g_array_index(jobs, struct priority_entry, i).job;
        if (job->unplaced && !job->spec.allows_spot)
            longest_s = fmax(longest_s, clock_seconds_since(job->eligible_since));
    }
    return longest_s;
}

/* What another shard is about to transfer needs no rental; if it doesn't come soon, it is rented after all. */
static void count_transfers(struct shard_plan *plan, const GArray *jobs) {
    if (longest_wait_s(jobs) >= TRANSFER_WAIT_S) return;
    for (guint i = 0; i < machines_all()->len; i++) {
        const struct machine *machine = machines_all()->pdata[i];
        if (machine->shard == plan->shard || machine->shard < 0 || !preemption_clears_machine(machine) ||
            machine->rebalance.target_shard >= 0)
            continue;
        struct planned_machine *planned = planned_machine_add(plan->machines, machine->type_name, machine->zone, false);
        if (planned) planned->foreign = true;
    }
}

static int waiting_tasks(const GArray *jobs) {
    int n = 0;
    for (guint i = 0; i < jobs->len; i++) {
        const struct job *job = g_array_index(jobs, struct priority_entry, i).job;
        if (job->unplaced) n += allocations_missing_tasks(job);
    }
    return n;
}

struct shard_plan shard_plan_begin(int shard, const GArray *jobs) {
    struct shard_plan plan = {.shard = shard, .reception_machine = placement_reception(shard)};
    plan.machines = g_array_new(FALSE, FALSE, sizeof(struct planned_machine));
    rental_choice_begin(waiting_tasks(jobs));
    count_machines(&plan);
    count_transfers(&plan, jobs);
    plan.first_requested = plan.machines->len;
    return plan;
}

void shard_plan_clear(struct shard_plan *plan) {
    g_array_free(plan->machines, TRUE);
    plan->machines = NULL;
}

int shard_plan_room(const struct shard_plan *plan) {
    return (int)settings->tuning.machines_per_shard - plan->n_present - plan->n_requested;
}

struct planned_machine *shard_plan_request(struct shard_plan *plan, const struct rental_request *request, int weight) {
    struct planned_machine *planned =
        planned_machine_add(plan->machines, request->type_name, request->zone, request->spot);
    if (planned) planned->request.weight = weight;
    rental_choice_count(request->zone);
    return planned;
}
