/* The planning pass: plans the tasks of a round, job by job in the order of priority. */
#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>

#include "../allocations/allocations.h"
#include "../allocations/attempt.h"
#include "../clock/clock.h"
#include "../machines/machines.h"
#include "../quarantine/quarantine.h"
#include "../quota/quota.h"
#include "planning.h"

#define PREEMPTION_INTERVAL_S 3 /* between preemptions for one job, so that preempted tasks can stop */

int64_t planning_last_attempt(int shard) {
    return attempt_number(owned_shard_states[shard].fencing_token, owned_shard_states[shard].attempt_counter);
}

int64_t planning_next_attempt(int shard) {
    owned_shard_states[shard].attempt_counter++;
    return planning_last_attempt(shard);
}

void planning_place_task(struct planning_pass *pass, struct job *job, int task, struct machine *machine,
                         int64_t attempt) {
    struct planned_task plan = {.machine = machine, .job = job, .task = task, .attempt = attempt};
    g_array_append_val(pass->round->planned_tasks, plan);
    placement_reserve(machine, &job->spec);
    pass->usage[job->spec.team].vcpus += job->spec.vcpus;
    pass->usage[job->spec.team].gpus += job->spec.gpus;
}

bool planning_may_preempt(const struct priority_entry *entry) {
    const struct job *job = entry->job;
    return (entry->within_guarantee || job->effective_priority > PRIORITY_IDLE) && !quarantine_job_suspect(job) &&
           clock_seconds_since(job->preempted_at) > PREEMPTION_INTERVAL_S;
}

static bool is_retry_delayed(const struct job *job) { return clock_seconds_since(job->retry_at) < 0; }

/* Returns how many tasks of the job this round may place. A suspect job is tried with one task at a time, or as a whole
 * if it is a gang. */
static int tasks_to_place(const struct job *job) {
    int missing = allocations_missing_tasks(job);
    if (!quarantine_job_suspect(job) || job->spec.kind == JOB_GANG) return missing;
    return allocations_count(job) > 0 ? 0 : MIN(missing, 1);
}

static bool is_unconstrained(const struct job_spec *spec) {
    return spec->kind == JOB_ARRAY && !spec->machine_types && !spec->zone && !spec->single_zone && !spec->spread;
}

/* Returns whether a task of `spec` needs at least the resources of a task of `other`, and may use spot machines only if
 * a task of `other` may. */
static bool requests_at_least(const struct job_spec *spec, const struct job_spec *other) {
    return other->allows_spot >= spec->allows_spot && other->vcpus <= spec->vcpus && other->gpus <= spec->gpus &&
           other->memory_gb <= spec->memory_gb;
}

static bool is_unplaceable(const struct unplaceable_specs *unplaceable, const struct job_spec *spec) {
    if (!is_unconstrained(spec)) return false;
    for (guint i = 0; i < unplaceable->n; i++)
        if (requests_at_least(spec, unplaceable->specs[i])) return true;
    return false;
}

static void add_unplaceable(struct unplaceable_specs *unplaceable, const struct job_spec *spec) {
    if (is_unconstrained(spec) && unplaceable->n < UNPLACEABLE_SPECS_MAX) unplaceable->specs[unplaceable->n++] = spec;
}

/* Sums each team's usage of this shard, which is the team's whole usage unless the team is divided. Released
 * allocations do not count: their tasks are proven to be absent or ended. */
static void sum_team_usage(int shard, struct team_usage *usage) {
    const GPtrArray *lists[] = {jobs_active_in_shard(shard), jobs_ended_in_shard(shard)};
    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        for (guint k = 0; k < lists[i]->len; k++) {
            const struct job *job = lists[i]->pdata[k];
            if (job->spec.team < 0) continue;
            int tasks = allocations_count(job);
            usage[job->spec.team].vcpus += tasks * job->spec.vcpus;
            usage[job->spec.team].gpus += tasks * job->spec.gpus;
        }
    }
}

/* Counts the tasks to place for each job, and clears `unplaced` of the jobs without any. The caller frees the array. */
static int *count_missing(const GArray *order) {
    int *missing = g_new0(int, order->len + 1);
    for (guint i = 0; i < order->len; i++) {
        struct job *job = g_array_index(order, struct priority_entry, i).job;
        missing[i] = tasks_to_place(job);
        if (missing[i] <= 0) job->unplaced = false;
    }
    return missing;
}

/* Returns the smallest amount of each resource that any missing task requests. */
static struct job_spec smallest_request(const GArray *order, const int *missing) {
    struct job_spec smallest = {.vcpus = INFINITY, .gpus = INFINITY, .memory_gb = INFINITY};
    for (guint i = 0; i < order->len; i++) {
        if (missing[i] <= 0) continue;
        const struct job_spec *spec = &g_array_index(order, struct priority_entry, i).job->spec;
        smallest.vcpus = MIN(smallest.vcpus, spec->vcpus);
        smallest.gpus = MIN(smallest.gpus, spec->gpus);
        smallest.memory_gb = MIN(smallest.memory_gb, spec->memory_gb);
    }
    return smallest;
}

/* Finds the machines with room for the smallest request; only these are examined for each task. The caller frees the
 * array. */
static GPtrArray *find_machines_with_room(GPtrArray *machines, const GArray *order, const int *missing) {
    GPtrArray *with_room = g_ptr_array_new();
    struct job_spec smallest = smallest_request(order, missing);
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        if (machine->round.schedulable && placement_fits(machine, &smallest)) g_ptr_array_add(with_room, machine);
    }
    return with_room;
}

static struct free_capacity sum_free_capacity(const GPtrArray *machines_with_room) {
    struct free_capacity capacity = {0, 0};
    for (guint i = 0; i < machines_with_room->len; i++) {
        const struct machine *machine = machines_with_room->pdata[i];
        capacity.vcpus += machine->type->vcpus - machine->round.used_vcpus;
        capacity.gpus += machine->type->gpus - machine->round.used_gpus;
    }
    return capacity;
}

static void subtract_capacity(struct free_capacity *capacity, const struct job *job, int tasks) {
    capacity->vcpus -= tasks * job->spec.vcpus;
    capacity->gpus -= tasks * job->spec.gpus;
}

static void pass_init(struct planning_pass *pass, struct scheduling_round *round) {
    int shard = round->shard;
    *pass = (struct planning_pass){
        .round = round,
        .order = priority_order_shard(shard),
        .machines = machines_of_shard(shard),
        .rules = placement_rules(shard),
    };
    sum_team_usage(shard, pass->usage);
    quota_refresh();
    preemption_refresh_team_usage();
    pass->missing_tasks = count_missing(pass->order);
    pass->machines_with_room = find_machines_with_room(pass->machines, pass->order, pass->missing_tasks);
    pass->capacity_left = sum_free_capacity(pass->machines_with_room);
}

static void pass_clear(struct planning_pass *pass) {
    g_free(pass->missing_tasks);
    g_array_free(pass->order, TRUE);
    g_ptr_array_free(pass->machines_with_room, TRUE);
}

/* Handles the jobs that are left to the next round because this round's budget is used up. Jobs that exceed the free
 * capacity are marked as unplaced now, so that machines are rented for these jobs without delay. Otherwise a deployment
 * that starts without machines requests them half a minute late. */
static void mark_unplaced(struct planning_pass *pass, guint first_entry) {
    for (guint i = first_entry; i < pass->order->len; i++) {
        struct job *job = g_array_index(pass->order, struct priority_entry, i).job;
        if (pass->missing_tasks[i] <= 0 || is_retry_delayed(job) || quarantine_job_suspect(job)) continue;
        subtract_capacity(&pass->capacity_left, job, pass->missing_tasks[i]);
        job->unplaced = pass->capacity_left.vcpus < 0 || pass->capacity_left.gpus < 0;
        owned_shard_states[pass->round->shard].has_unplaced_tasks |= job->unplaced;
    }
}

static void plan_job(struct planning_pass *pass, const struct priority_entry *entry, int missing) {
    struct job *job = entry->job;
    bool *has_unplaced_tasks = &owned_shard_states[pass->round->shard].has_unplaced_tasks;
    subtract_capacity(&pass->capacity_left, job, missing);
    if (!planning_may_preempt(entry) && is_unplaceable(&pass->unplaceable, &job->spec)) {
        job->unplaced = !quarantine_job_suspect(job);
        *has_unplaced_tasks |= job->unplaced;
        return;
    }
    guint plans_before = pass->round->planned_tasks->len;
    job->unplaced = job->spec.kind == JOB_GANG ? planning_schedule_gang(pass, entry)
                                               : planning_schedule_array(pass, entry, missing);
    pass->jobs_planned += pass->round->planned_tasks->len > plans_before;
    pass->scarce_quota_reserved[job->spec.team] |= quota_reserves_for(job);
    if (job->unplaced) add_unplaceable(&pass->unplaceable, &job->spec);
    if (quarantine_job_suspect(job)) job->unplaced = false; /* it waits for room, but no machine is rented for it */
    *has_unplaced_tasks |= job->unplaced;
}

/* Returns whether the job has no task to place, or has to wait for its retry or for quota that is reserved for another
 * job. */
static bool is_skipped(const struct planning_pass *pass, const struct job *job, int missing) {
    return missing <= 0 || is_retry_delayed(job) ||
           (pass->scarce_quota_reserved[job->spec.team] && quota_uses_scarce_capacity(job));
}

/* Marks the machines of the round's plans as changed. Gang plans that were undone change no machine. */
static void mark_machines_dirty(const GArray *plans) {
    for (guint i = 0; i < plans->len; i++) g_array_index(plans, struct planned_task, i).machine->round.dirty = true;
}

void scheduling_round_plan_jobs(struct scheduling_round *round) {
    struct planning_pass pass;
    pass_init(&pass, round);
    owned_shard_states[round->shard].has_unplaced_tasks = false;
    for (guint i = 0; i < pass.order->len; i++) {
        const struct priority_entry *entry = &g_array_index(pass.order, struct priority_entry, i);
        if (is_skipped(&pass, entry->job, pass.missing_tasks[i])) continue;
        if (pass.jobs_planned >= round->writes_left || round->planned_tasks->len >= PLANNED_TASKS_MAX) {
            round->has_deferred_work = true;
            mark_unplaced(&pass, i);
            break;
        }
        plan_job(&pass, entry, pass.missing_tasks[i]);
    }
    mark_machines_dirty(round->planned_tasks);
    pass_clear(&pass);
}
