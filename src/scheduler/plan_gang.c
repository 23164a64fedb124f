/* Plans gangs, which are placed as a whole or not at all. */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "../allocations/allocations.h"
#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../quarantine/quarantine.h"
#include "planning.h"

/* The state of a pass before a gang's tasks are placed, for undo_plans. */
struct plan_savepoint {
    guint n_planned_tasks;
    struct team_usage usage;
};

static struct plan_savepoint take_savepoint(const struct planning_pass *pass, const struct job *job) {
    return (struct plan_savepoint){pass->round->planned_tasks->len, pass->usage[job->spec.team]};
}

/* Undoes the plans of the gang's tasks since the savepoint. */
static void undo_plans(struct planning_pass *pass, const struct job *job, struct plan_savepoint saved) {
    GArray *planned = pass->round->planned_tasks;
    for (guint i = saved.n_planned_tasks; i < planned->len; i++)
        placement_release(g_array_index(planned, struct planned_task, i).machine, &job->spec);
    g_array_set_size(planned, saved.n_planned_tasks);
    pass->usage[job->spec.team] = saved.usage;
}

/* Places all tasks of the gang in the zone (NULL: in any zone). If a task finds no room, places none. */
static bool place_all_tasks(struct planning_pass *pass, struct job *job, const char *zone) {
    struct plan_savepoint saved = take_savepoint(pass, job);
    int64_t attempt = planning_next_attempt(pass->round->shard);
    for (int task = 0; task < job->spec.tasks; task++) {
        struct machine *machine =
            placement_choose_machine(pass->machines_with_room, job, zone, &pass->rules, pass->round->planned_tasks);
        if (!machine) {
            undo_plans(pass, job, saved);
            return false;
        }
        planning_place_task(pass, job, task, machine, attempt);
    }
    return true;
}

/* Places the gang in the first zone that has room for all of it, or in several if it is not bound to one. */
static bool place_gang(struct planning_pass *pass, struct job *job) {
    if (!job->spec.single_zone) return place_all_tasks(pass, job, NULL);
    for (int i = 0; i < scheduler_settings->n_zones; i++)
        if (place_all_tasks(pass, job, scheduler_settings->zones[i])) return true;
    return false;
}

/* Returns whether the machine still lists the task under this attempt, so that it would ignore a new start. */
static bool lists_attempt(const struct machine *machine, const struct job *job, int task, int64_t attempt) {
    char name[G_SIZEOF_MEMBER(struct unknown_task, task_name)];
    snprintf(name, sizeof name, "%s/%d", job->spec.job_id, task);
    for (guint i = 0; i < machine->agent.unknown_tasks->len; i++) {
        const struct unknown_task *unknown = &g_array_index(machine->agent.unknown_tasks, struct unknown_task, i);
        if (unknown->attempt == attempt && strcmp(unknown->task_name, name) == 0) return true;
    }
    return false;
}

/* Places all tasks without an allocation under the gang's present attempt. If a task finds no room, places none. */
static bool place_lost_tasks(struct planning_pass *pass, struct job *job, int64_t attempt) {
    struct plan_savepoint saved = take_savepoint(pass, job);
    g_autofree uint8_t *allocated = allocations_task_bits(job);
    for (int task = 0; task < job->spec.tasks; task++) {
        if (task_bits_get(allocated, task)) continue;
        struct machine *machine =
            placement_choose_machine(pass->machines_with_room, job, NULL, &pass->rules, pass->round->planned_tasks);
        if (!machine || lists_attempt(machine, job, task, attempt)) {
            undo_plans(pass, job, saved);
            return false;
        }
        planning_place_task(pass, job, task, machine, attempt);
    }
    return true;
}

/* Replaces the tasks that a gang lost before its start, so that its other tasks need not fetch their image and wait
 * again. */
static bool replace_lost_tasks(struct planning_pass *pass, struct job *job) {
    int64_t attempt = allocations_open_gang_attempt(job);
    int lost = job->spec.tasks - allocations_count(job);
    if (!attempt || !preemption_quota_allows(&pass->usage[job->spec.team], job, lost)) return false;
    if (!place_lost_tasks(pass, job, attempt)) return false;
    log_info("gang %s: %d of its %d tasks replaced under the same attempt", job->spec.job_id, lost, job->spec.tasks);
    return true;
}

/* Reserves the zone's free room for the gang, and returns the number of its tasks that fit there. When jobs later in
 * the order took such room piece by piece, gangs of eight waited for minutes. */
static int reserve_room(const struct planning_pass *pass, const struct job *job, const char *zone) {
    int reserved = 0;
    for (guint i = 0; i < pass->machines->len && reserved < job->spec.tasks; i++) {
        struct machine *machine = pass->machines->pdata[i];
        if (!machine->round.schedulable || (zone && strcmp(zone, machine->zone) != 0) ||
            !placement_allowed(machine, job, NULL, NULL))
            continue;
        struct resources free = resources_free(machine);
        int tasks = MIN(resources_tasks_that_fit(&free, &job->spec), job->spec.tasks - reserved);
        for (int task = 0; task < tasks; task++) placement_reserve(machine, &job->spec);
        reserved += tasks;
    }
    return reserved;
}

/* Reserves the free room for a gang that does not fit, and preempts other tasks for the rest of the gang if preemption
 * makes enough room. */
static void make_room_for_gang(struct planning_pass *pass, const struct priority_entry *entry) {
    struct job *job = entry->job;
    struct gang_zone best_zone = preemption_gang_zone(entry, pass->machines);
    bool enough_with_preemption = best_zone.tasks_with_preemption >= job->spec.tasks;
    /* If preemption cannot make enough room, the gang waits in the zone in which machines are rented for it. */
    const char *zone = !enough_with_preemption && job->zone ? job->zone : best_zone.name;
    int reserved = reserve_room(pass, job, zone);
    /* Preempting tasks for a part of the gang would be useless: a gang starts as a whole. */
    if (!enough_with_preemption || !planning_may_preempt(entry)) return;
    bool any_preempted = false;
    for (int task = reserved; task < job->spec.tasks; task++)
        any_preempted |= preemption_make_room(entry, pass->machines, zone, pass->usage);
    if (any_preempted) job->preempted_at = clock_now();
}

/* Plans a gang without any allocation. Returns true if it found no room. */
static bool plan_new_gang(struct planning_pass *pass, const struct priority_entry *entry) {
    struct job *job = entry->job;
    if (job->n_reported_done == job->spec.tasks) return false;
    if (!preemption_quota_allows(&pass->usage[job->spec.team], job, job->spec.tasks)) return false;
    if (place_gang(pass, job)) return false;
    if (!quarantine_job_suspect(job)) make_room_for_gang(pass, entry);
    return true;
}

bool planning_schedule_gang(struct planning_pass *pass, const struct priority_entry *entry) {
    struct job *job = entry->job;
    int allocated = allocations_count(job);
    if (allocated == 0) return plan_new_gang(pass, entry);
    if (allocated == job->spec.tasks || replace_lost_tasks(pass, job)) return false;
    /* Some tasks are lost or were never allocated: stop the others, so that a new attempt can follow. */
    for (guint i = 0; i < job->allocations->len; i++) allocations_request_stop(job->allocations->pdata[i], 0);
    return false;
}
