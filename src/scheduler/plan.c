/* Which jobs a scheduling round plans, in the order of priority. */
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

#define PREEMPT_AGAIN_S 3 /* time for what was preempted to stop */

int64_t planning_last_attempt(int shard) {
    return attempt_number(shard_states[shard].fencing_token, shard_states[shard].attempt_counter);
}

int64_t planning_next_attempt(int shard) {
    shard_states[shard].attempt_counter++;
    return planning_last_attempt(shard);
}

void planning_place_task(struct planning_pass *pass, struct job *job, int task, struct machine *machine,
                         int64_t attempt) {
    struct planned_task plan = {.machine = machine, .job = job, .task = task, .attempt = attempt};
    g_array_append_val(pass->round->plans, plan);
    placement_reserve(machine, &job->spec);
    pass->usage[job->spec.team].vcpus += job->spec.vcpus;
    pass->usage[job->spec.team].gpus += job->spec.gpus;
}

bool planning_may_preempt(const struct priority_entry *entry) {
    const struct job *job = entry->job;
    return (entry->within_guarantee || job->priority > PRIORITY_IDLE) && !quarantine_job_suspect(job) &&
           clock_seconds_since(job->preempted_at) > PREEMPT_AGAIN_S;
}

static bool waits_to_retry(const struct job *job) { return clock_seconds_since(job->retry_at) < 0; }

/* Of a job that fails wherever it runs one task at a time is tried, or the gang that it is. */
static int tasks_to_place(const struct job *job) {
    int missing = allocations_missing_tasks(job);
    if (!quarantine_job_suspect(job) || job->spec.kind == JOB_GANG) return missing;
    return allocations_count(job) > 0 ? 0 : MIN(missing, 1);
}

static bool unconstrained(const struct job_spec *spec) {
    return spec->kind == JOB_ARRAY && !spec->machine_types && !spec->zone && !spec->single_zone && !spec->spread;
}

static bool asks_for_as_much(const struct job_spec *spec, const struct job_spec *other) {
    return other->allows_spot >= spec->allows_spot && other->vcpus <= spec->vcpus && other->gpus <= spec->gpus &&
           other->memory_gb <= spec->memory_gb;
}

static bool surely_no_room(const struct no_room *no_room, const struct job_spec *spec) {
    if (!unconstrained(spec)) return false;
    for (guint i = 0; i < no_room->n; i++)
        if (asks_for_as_much(spec, no_room->specs[i])) return true;
    return false;
}

static void note_no_room(struct no_room *no_room, const struct job_spec *spec) {
    if (unconstrained(spec) && no_room->n < NO_ROOM_SPECS_MAX) no_room->specs[no_room->n++] = spec;
}

/* What each team's tasks take of this shard: all of the team's, unless it is divided. What is over is proven released.
 */
static void count_usage(int shard, struct team_usage *usage) {
    const GPtrArray *lists[] = {jobs_active_of(shard), jobs_ended_of(shard)};
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

/* Counts what is missing of each job. Of one that lacks nothing, no task is unplaced. */
static int *count_missing(const GArray *order) {
    int *missing = g_new0(int, order->len + 1);
    for (guint i = 0; i < order->len; i++) {
        struct job *job = g_array_index(order, struct priority_entry, i).job;
        missing[i] = tasks_to_place(job);
        if (missing[i] <= 0) job->unplaced = false;
    }
    return missing;
}

/* The amounts that the smallest tasks of what waits ask for. */
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

/* Only machines with room for the smallest of what waits are examined for each task. */
static GPtrArray *find_machines_with_room(GPtrArray *machines, const GArray *order, const int *missing) {
    GPtrArray *with_room = g_ptr_array_new();
    struct job_spec smallest = smallest_request(order, missing);
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        if (machine->round.schedulable && placement_fits(machine, &smallest)) g_ptr_array_add(with_room, machine);
    }
    return with_room;
}

static struct free_room count_free(const GPtrArray *machines_with_room) {
    struct free_room free = {0, 0};
    for (guint i = 0; i < machines_with_room->len; i++) {
        const struct machine *machine = machines_with_room->pdata[i];
        free.vcpus += machine->type->vcpus - machine->round.used_vcpus;
        free.gpus += machine->type->gpus - machine->round.used_gpus;
    }
    return free;
}

static void take_free(struct free_room *free, const struct job *job, int tasks) {
    free->vcpus -= tasks * job->spec.vcpus;
    free->gpus -= tasks * job->spec.gpus;
}

static void pass_init(struct planning_pass *pass, struct scheduling_round *round) {
    int shard = round->shard;
    *pass = (struct planning_pass){
        .round = round,
        .order = priority_order_shard(shard),
        .machines = machines_of_shard(shard),
        .rules = placement_rules(shard),
    };
    count_usage(shard, pass->usage);
    quota_refresh();
    preemption_refresh();
    pass->missing = count_missing(pass->order);
    pass->machines_with_room = find_machines_with_room(pass->machines, pass->order, pass->missing);
    pass->free = count_free(pass->machines_with_room);
}

static void pass_clear(struct planning_pass *pass) {
    g_free(pass->missing);
    g_array_free(pass->order, TRUE);
    g_ptr_array_free(pass->machines_with_room, TRUE);
}

/* The budget carries no more, and the next round goes on. What surely has no room needs machines already now: at a
 * start from nothing they were once asked for half a minute late. */
static void mark_unplaced(struct planning_pass *pass, guint from) {
    for (guint i = from; i < pass->order->len; i++) {
        struct job *job = g_array_index(pass->order, struct priority_entry, i).job;
        if (pass->missing[i] <= 0 || waits_to_retry(job) || quarantine_job_suspect(job)) continue;
        take_free(&pass->free, job, pass->missing[i]);
        job->unplaced = pass->free.vcpus < 0 || pass->free.gpus < 0;
        shard_states[pass->round->shard].fit_nowhere |= job->unplaced;
    }
}

static void plan_job(struct planning_pass *pass, const struct priority_entry *entry, int missing) {
    struct job *job = entry->job;
    bool *fit_nowhere = &shard_states[pass->round->shard].fit_nowhere;
    take_free(&pass->free, job, missing);
    if (!planning_may_preempt(entry) && surely_no_room(&pass->no_room, &job->spec)) {
        job->unplaced = !quarantine_job_suspect(job);
        *fit_nowhere |= job->unplaced;
        return;
    }
    guint plans_before = pass->round->plans->len;
    job->unplaced = job->spec.kind == JOB_GANG ? planning_gang(pass, entry) : planning_array(pass, entry, missing);
    pass->jobs_planned += pass->round->plans->len > plans_before;
    pass->held_back[job->spec.team] |= quota_reserves_for(job);
    if (job->unplaced) note_no_room(&pass->no_room, &job->spec);
    if (quarantine_job_suspect(job)) job->unplaced = false; /* it waits for room, and has none rented */
    *fit_nowhere |= job->unplaced;
}

/* The job waits for something else than room. */
static bool passed_over(const struct planning_pass *pass, const struct job *job, int missing) {
    return missing <= 0 || waits_to_retry(job) || (pass->held_back[job->spec.team] && quota_counts_scarce(job));
}

/* Only machines of what stays planned are written: those of a gang's attempts that came to nothing are not. */
static void mark_machines_dirty(const GArray *plans) {
    for (guint i = 0; i < plans->len; i++) g_array_index(plans, struct planned_task, i).machine->round.dirty = true;
}

void scheduling_round_plan_jobs(struct scheduling_round *round) {
    struct planning_pass pass;
    pass_init(&pass, round);
    shard_states[round->shard].fit_nowhere = false;
    for (guint i = 0; i < pass.order->len; i++) {
        const struct priority_entry *entry = &g_array_index(pass.order, struct priority_entry, i);
        if (passed_over(&pass, entry->job, pass.missing[i])) continue;
        if (pass.jobs_planned >= round->writes_left || round->plans->len >= PLANS_MAX) {
            round->more_waits = true;
            mark_unplaced(&pass, i);
            break;
        }
        plan_job(&pass, entry, pass.missing[i]);
    }
    mark_machines_dirty(round->plans);
    pass_clear(&pass);
}
