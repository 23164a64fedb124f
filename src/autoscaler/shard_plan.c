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

#define TRANSFER_WAIT_S 4 /* how long a job waits for a transfer from another shard before a machine is rented */

static const struct settings *settings;

void shard_plan_init(const struct settings *loaded_settings) { settings = loaded_settings; }

/* Returns the number of the machine's GPUs that process the backlog of jobs that allow spot machines: all GPUs of a
 * spot machine; on an on-demand machine, only the GPUs that these jobs use. */
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
    /* A machine in an unreachable zone is not counted: it is not known when the machine will be reachable. */
    if (liveness_zone_unreachable(plan->shard, machine->zone)) return;
    /* An overdue machine may never come up and is not counted, so that a replacement is rented. Only a few are replaced
     * at a time: a period of slow boots must not multiply the costs. */
    if (provisioning_overdue(machine) && plan->n_overdue_booting++ < provisioning_replacements_max(plan->n_up)) return;
    planned_machine_add(plan->machines, machine->type_name, machine->zone, machine->spot);
    plan->any_booting = true;
}

static void count_serving(struct shard_plan *plan, const struct machine *machine) {
    plan->n_on_demand_serving++;
    /* Empty machines are reserved for gangs that need further machines. */
    if (allocations_count_on_machine(machine) == 0 && machine->round.schedulable) {
        struct planned_machine *planned = planned_machine_add(plan->machines, machine->type_name, machine->zone, false);
        if (planned) planned->reserved_for_gangs = true;
    }
    if (machine != plan->reception_machine &&
        placement_occupancy(machine, (int)settings->tuning.occupancy_window_heartbeats) <
            settings->tuning.admission_threshold)
        plan->other_below_admission = true;
}

static void count_registered(struct shard_plan *plan, const struct machine *machine) {
    rental_choice_count_machine(machine->zone);
    if (machines_leaving(machine)) return;
    plan->n_present++;
    plan->backlog_gpus += backlog_gpus(machine);
    if (!machine->liveness.up) {
        count_booting(plan, machine);
    } else if (!machine->spot && !machine->retirement.draining && machine->liveness.preemption_notice_s < 0) {
        count_serving(plan, machine);
    }
}

static void count_unregistered(struct shard_plan *plan) {
    GHashTableIter iterator;
    gpointer unregistered;
    g_hash_table_iter_init(&iterator, machines_unregistered());
    while (g_hash_table_iter_next(&iterator, NULL, &unregistered)) {
        const struct unregistered_machine *machine = unregistered;
        if (machine->shard != plan->shard) continue;
        planned_machine_add(plan->machines, machine->type_name, machine->zone, machine->spot);
        plan->n_present++;
        plan->any_booting = true;
    }
}

static void count_machines(struct shard_plan *plan) {
    const GPtrArray *machines = machines_of_shard(plan->shard);
    for (guint i = 0; i < machines->len; i++) plan->n_up += ((const struct machine *)machines->pdata[i])->liveness.up;
    for (guint i = 0; i < machines->len; i++) count_registered(plan, machines->pdata[i]);
    count_unregistered(plan);
}

/* Returns the longest wait in seconds among unplaced jobs that need on-demand machines. */
static double longest_wait_s(const GArray *jobs) {
    double longest_s = 0;
    for (guint i = 0; i < jobs->len; i++) {
        const struct job *job = g_array_index(jobs, struct priority_entry, i).job;
        if (job->unplaced && !job->spec.allows_spot)
            longest_s = fmax(longest_s, clock_seconds_since(job->eligible_since));
    }
    return longest_s;
}

/* Counts machines that other shards may transfer soon, since these need no rental. Once a job has waited for
 * TRANSFER_WAIT_S, machines are rented after all. */
static void count_transfers(struct shard_plan *plan, const GArray *jobs) {
    if (longest_wait_s(jobs) >= TRANSFER_WAIT_S) return;
    for (guint i = 0; i < machines_all()->len; i++) {
        const struct machine *machine = machines_all()->pdata[i];
        if (machine->shard == plan->shard || machine->shard < 0 || !preemption_machine_clearable(machine) ||
            machine->rebalance.target_shard >= 0)
            continue;
        struct planned_machine *planned = planned_machine_add(plan->machines, machine->type_name, machine->zone, false);
        if (planned) planned->in_other_shard = true;
    }
}

static int waiting_tasks(const GArray *jobs) {
    int n_tasks = 0;
    for (guint i = 0; i < jobs->len; i++) {
        const struct job *job = g_array_index(jobs, struct priority_entry, i).job;
        if (job->unplaced) n_tasks += allocations_missing_tasks(job);
    }
    return n_tasks;
}

struct shard_plan shard_plan_begin(int shard, const GArray *jobs) {
    struct shard_plan plan = {.shard = shard, .reception_machine = placement_reception_machine(shard)};
    plan.machines = g_array_new(FALSE, FALSE, sizeof(struct planned_machine));
    rental_choice_begin_plan(waiting_tasks(jobs));
    count_machines(&plan);
    count_transfers(&plan, jobs);
    plan.first_requested = plan.machines->len;
    return plan;
}

void shard_plan_clear(struct shard_plan *plan) {
    g_array_free(plan->machines, TRUE);
    plan->machines = NULL;
}

int shard_plan_remaining_machines(const struct shard_plan *plan) {
    return (int)settings->tuning.machines_per_shard - plan->n_present - plan->n_requested;
}

struct planned_machine *shard_plan_add_request(struct shard_plan *plan, const struct rental_request *request,
                                               int weight) {
    struct planned_machine *planned =
        planned_machine_add(plan->machines, request->type_name, request->zone, request->spot);
    if (planned) planned->request.weight = weight;
    rental_choice_count_machine(request->zone);
    return planned;
}
