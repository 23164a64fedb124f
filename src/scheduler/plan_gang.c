/* Gangs, which are placed as a whole or not at all. */
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

/* The state of a pass before a gang's tasks are placed. */
struct plan_mark {
    guint plans;
    struct team_usage usage;
};

static struct plan_mark mark_plans(const struct planning_pass *pass, const struct job *job) {
    return (struct plan_mark){pass->round->plans->len, pass->usage[job->spec.team]};
}

/* Takes back the gang's tasks that were placed since the mark. */
static void undo_plans(struct planning_pass *pass, const struct job *job, struct plan_mark mark) {
    GArray *plans = pass->round->plans;
    for (guint i = mark.plans; i < plans->len; i++)
        placement_release(g_array_index(plans, struct planned_task, i).machine, &job->spec);
    g_array_set_size(plans, mark.plans);
    pass->usage[job->spec.team] = mark.usage;
}

/* Places all tasks, in the zone (NULL: in any), or none. */
static bool place_all_tasks(struct planning_pass *pass, struct job *job, const char *zone) {
    struct plan_mark mark = mark_plans(pass, job);
    int64_t attempt = planning_next_attempt(pass->round->shard);
    for (int task = 0; task < job->spec.tasks; task++) {
        struct machine *machine =
            placement_choose(pass->machines_with_room, job, zone, &pass->rules, pass->round->plans);
        if (!machine) {
            undo_plans(pass, job, mark);
            return false;
        }
        planning_place_task(pass, job, task, machine, attempt);
    }
    return true;
}

/* Places the gang in the first zone that has room for all of it, or anywhere if it may be in several. */
static bool place_gang(struct planning_pass *pass, struct job *job) {
    if (!job->spec.single_zone) return place_all_tasks(pass, job, NULL);
    for (int i = 0; i < scheduler_settings->n_zones; i++)
        if (place_all_tasks(pass, job, scheduler_settings->zones[i])) return true;
    return false;
}

/* The machine still lists the task under this very attempt, and would do nothing on being told to start it. */
static bool lists_attempt(const struct machine *machine, const struct job *job, int task, int64_t attempt) {
    char name[G_SIZEOF_MEMBER(struct unknown_task, task)];
    snprintf(name, sizeof name, "%s/%d", job->spec.job_id, task);
    for (guint i = 0; i < machine->agent.unknown_tasks->len; i++) {
        const struct unknown_task *unknown = &g_array_index(machine->agent.unknown_tasks, struct unknown_task, i);
        if (unknown->attempt == attempt && strcmp(unknown->task, name) == 0) return true;
    }
    return false;
}

/* Places the tasks that have no allocation under the gang's attempt, or none of them. */
static bool place_lost_tasks(struct planning_pass *pass, struct job *job, int64_t attempt) {
    struct plan_mark mark = mark_plans(pass, job);
    g_autofree uint8_t *allocated = allocations_task_bits(job);
    for (int task = 0; task < job->spec.tasks; task++) {
        if (task_bits_get(allocated, task)) continue;
        struct machine *machine =
            placement_choose(pass->machines_with_room, job, NULL, &pass->rules, pass->round->plans);
        if (!machine || lists_attempt(machine, job, task, attempt)) {
            undo_plans(pass, job, mark);
            return false;
        }
        planning_place_task(pass, job, task, machine, attempt);
    }
    return true;
}

/* Replaces what a gang lost before its start, so that the others need not fetch and wait again. */
static bool replace_lost_tasks(struct planning_pass *pass, struct job *job) {
    int64_t attempt = allocations_open_gang_attempt(job);
    int lost = job->spec.tasks - allocations_count(job);
    if (!attempt || !preemption_quota_left(&pass->usage[job->spec.team], job, lost)) return false;
    if (!place_lost_tasks(pass, job, attempt)) return false;
    log_info("gang %s: %d of its %d tasks replaced under the same attempt", job->spec.job_id, lost, job->spec.tasks);
    return true;
}

/* Keeps the room that there is in the zone for the gang, and returns for how many of its tasks: taken piece by piece by
 * what comes after it in order, it once made gangs of eight wait for minutes. */
static int reserve_room(const struct planning_pass *pass, const struct job *job, const char *zone) {
    int kept = 0;
    for (guint i = 0; i < pass->machines->len && kept < job->spec.tasks; i++) {
        struct machine *machine = pass->machines->pdata[i];
        if (!machine->round.schedulable || (zone && strcmp(zone, machine->zone) != 0) ||
            !placement_allowed(machine, job, NULL, NULL))
            continue;
        struct resources free = resources_free(machine);
        int tasks = MIN(resources_tasks_that_fit(&free, &job->spec), job->spec.tasks - kept);
        for (int k = 0; k < tasks; k++) placement_reserve(machine, &job->spec);
        kept += tasks;
    }
    return kept;
}

/* The gang finds no room: what there is is kept for it, and work is preempted for the rest. */
static void gather_room(struct planning_pass *pass, const struct priority_entry *entry) {
    struct job *job = entry->job;
    struct gang_zone chosen = preemption_gang_zone(entry, pass->machines);
    bool enough_with_preemption = chosen.with_preemption >= job->spec.tasks;
    const char *zone = !enough_with_preemption && job->zone ? job->zone : chosen.name;
    int kept = reserve_room(pass, job, zone);
    /* Only if all of it gets room by that: a gang that lacks one place runs as little as one that lacks all. */
    if (!enough_with_preemption || !planning_may_preempt(entry)) return;
    bool any = false;
    for (int task = kept; task < job->spec.tasks; task++)
        any |= preemption_make_room(entry, pass->machines, zone, pass->usage);
    if (any) job->preempted_at = clock_now();
}

/* A gang of which nothing is allocated. True if it found no room. */
static bool plan_new_gang(struct planning_pass *pass, const struct priority_entry *entry) {
    struct job *job = entry->job;
    if (job->n_reported_done == job->spec.tasks) return false;
    if (!preemption_quota_left(&pass->usage[job->spec.team], job, job->spec.tasks)) return false;
    if (place_gang(pass, job)) return false;
    if (!quarantine_job_suspect(job)) gather_room(pass, entry);
    return true;
}

bool planning_gang(struct planning_pass *pass, const struct priority_entry *entry) {
    struct job *job = entry->job;
    int allocated = allocations_count(job);
    if (allocated == 0) return plan_new_gang(pass, entry);
    if (allocated == job->spec.tasks || replace_lost_tasks(pass, job)) return false;
    /* A part of it is lost, or never got allocated: the rest stops, and a new attempt follows. */
    for (guint i = 0; i < job->allocations->len; i++) allocations_request_stop(job->allocations->pdata[i], 0);
    return false;
}
