/* What a round allocates, and what makes way for it. */
#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../allocations/allocations.h"
#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../preemption/preemption.h"
#include "../priority/priority.h"
#include "../quarantine/quarantine.h"
#include "../quota/quota.h"
#include "round.h"

static int64_t next_attempt(int k) { return shard_states[k].fencing_token * 1048576 + ++shard_states[k].next; }

static void plan_task(struct scheduling_round *r, struct machine *m, struct job *j, int task, int64_t attempt,
                      struct team_usage *u) {
    struct planned_task p = {m, j, task, attempt};
    g_array_append_val(r->plans, p);
    placement_reserve(m, &j->spec, 1);
    u[j->spec.team].cpu += j->spec.vcpus;
    u[j->spec.team].gpu += j->spec.gpus;
}

/* A gang: all of it or nothing, in one zone if it asks for that. */
static bool plan_gang(struct scheduling_round *r, struct job *j, GPtrArray *mine, const struct placement_rules *rules,
                      struct team_usage *u) {
    if (!preemption_quota_left(&u[j->spec.team], j, j->spec.tasks)) return true;
    for (int z = 0; z < (j->spec.single_zone ? scheduler_settings->n_zones : 1); z++) {
        const char *zone = j->spec.single_zone ? scheduler_settings->zones[z] : NULL;
        guint from = r->plans->len;
        struct team_usage before = u[j->spec.team];
        int64_t attempt = next_attempt(r->shard);
        int t;
        for (t = 0; t < j->spec.tasks; t++) {
            struct machine *m = placement_choose(mine, j, zone, rules, r->plans);
            if (!m) break;
            plan_task(r, m, j, t, attempt, u);
        }
        if (t == j->spec.tasks) return true;
        for (guint i = from; i < r->plans->len; i++) {
            struct planned_task *p = &g_array_index(r->plans, struct planned_task, i);
            placement_reserve(p->machine, &j->spec, -1);
        }
        g_array_set_size(r->plans, from);
        u[j->spec.team] = before;
    }
    return false;
}

static bool holds_ended(const struct machine *m, const char *job_id, int task, int64_t attempt) {
    char name[96];
    snprintf(name, sizeof name, "%s/%d", job_id, task);
    for (guint i = 0; i < m->agent.unknown_tasks->len; i++) {
        const struct unknown_task *s = &g_array_index(m->agent.unknown_tasks, struct unknown_task, i);
        if (s->attempt == attempt && strcmp(s->task, name) == 0) return true;
    }
    return false;
}

/* Replaces what a gang lost before its start, so that the others need not fetch and wait again. */
static bool replace_gang_tasks(struct scheduling_round *r, struct job *j, GPtrArray *mine,
                               const struct placement_rules *rules, struct team_usage *u) {
    int64_t attempt = allocations_open_gang_attempt(j);
    int missing = j->spec.tasks - allocations_count(j);
    if (!attempt || !preemption_quota_left(&u[j->spec.team], j, missing)) return false;
    guint from = r->plans->len;
    struct team_usage before = u[j->spec.team];
    uint8_t *booked = allocations_task_bits(j);
    bool replaced = true;
    for (int t = 0; t < j->spec.tasks && replaced; t++) {
        if (jobs_bit(booked, t)) continue;
        struct machine *m = placement_choose(mine, j, NULL, rules, r->plans);
        /* A machine that still holds this very attempt would do nothing. */
        if (m && !holds_ended(m, j->spec.job_id, t, attempt)) {
            plan_task(r, m, j, t, attempt, u);
            continue;
        }
        for (guint i = from; i < r->plans->len; i++)
            placement_reserve(g_array_index(r->plans, struct planned_task, i).machine, &j->spec, -1);
        g_array_set_size(r->plans, from);
        u[j->spec.team] = before;
        replaced = false;
    }
    g_free(booked);
    if (!replaced) return false;
    log_info("gang %s: %d of its %d tasks replaced under the same attempt", j->spec.job_id, missing, j->spec.tasks);
    return true;
}

/* A chunk's record has room for the entry, however long the names are. */
static bool record_full(const struct job *j, int in_chunk, const struct machine *m) {
    double bits = MIN(j->spec.tasks, allocations_next_chunk_size(j)) / 4.0;
    return (in_chunk + 1) * ((double)strlen(m->id) + 15) + bits + 64 > allocations_value_bytes_max();
}

#define PLANS_MAX 600
#define PREEMPT_AGAIN_S 3 /* time for what was stopped to make way */

static bool may_preempt(const struct job *j, bool within) {
    return (within || j->priority > PRIORITY_IDLE) && !quarantine_job_suspect(j) &&
           clock_seconds_since(j->preempted_at) > PREEMPT_AGAIN_S;
}

/* What found no room in this round. Room only shrinks while a round plans, so that what asks for as much or more finds
 * none either: with hundreds of jobs waiting, each looking at all machines, an owner once did nothing else. */
struct no_room {
    const struct job_spec *asked[8];
    guint n;
};

static bool unconstrained(const struct job_spec *s) {
    return s->kind == JOB_ARRAY && !s->machine_types && !s->zone && !s->single_zone && !s->spread;
}

static bool surely_no_room(const struct no_room *none, const struct job_spec *s) {
    for (guint i = 0; unconstrained(s) && i < none->n; i++) {
        const struct job_spec *a = none->asked[i];
        if (a->allows_spot >= s->allows_spot && a->vcpus <= s->vcpus && a->gpus <= s->gpus &&
            a->memory_gb <= s->memory_gb)
            return true;
    }
    return false;
}

static void note_no_room(struct no_room *none, const struct job_spec *s) {
    if (unconstrained(s) && none->n < G_N_ELEMENTS(none->asked)) none->asked[none->n++] = s;
}

#define PREEMPTIONS_MAX 32 /* tasks that a round makes room for, of one job */

/* Makes lower work make way for tasks of the job; true if any does. */
static bool make_way(struct job *j, bool within, int tasks, GPtrArray *mine, const struct team_usage *u) {
    if (!may_preempt(j, within)) return false;
    int made = 0;
    while (made < MIN(tasks, PREEMPTIONS_MAX) && preemption_make_room(j, within, mine, NULL, u)) made++;
    if (made > 0) j->preempted_at = clock_now();
    return made > 0;
}

static int allocations_in_chunk(const struct job *j, int chunk, int chunk_size) {
    int n = 0;
    for (guint b = 0; b < j->allocations->len; b++)
        n += ((struct allocation *)j->allocations->pdata[b])->task / chunk_size == chunk;
    return n;
}

/* Arrays and services, task by task. True if a task found no place. */
static bool plan_tasks(struct scheduling_round *r, struct job *j, bool within, int missing, GPtrArray *mine,
                       GPtrArray *room, const struct placement_rules *rules, struct team_usage *u) {
    int chunk_size = allocations_next_chunk_size(j), chunk = -1, in_chunk = 0;
    bool unplaced = false;
    struct machine *last = NULL;
    uint8_t *busy = allocations_task_bits(j);
    for (int done = 0; done <= j->spec.tasks / 8; done++) busy[done] |= j->reported_done[done];
    for (int t = 0; t < j->spec.tasks && missing > 0; t++) {
        if (jobs_bit(busy, t)) continue;
        if (!preemption_quota_left(&u[j->spec.team], j, 1)) break;
        if (r->plans->len >= PLANS_MAX) {
            r->more = true;
            break;
        }
        /* What was best for a task is best for the next one like it, as long as it has room. */
        bool again = last && !j->spec.spread && placement_fits(last, &j->spec);
        struct machine *m = again ? last : placement_choose(room, j, NULL, rules, r->plans);
        last = m;
        if ((!m || preemption_fetch_too_slow(j, m)) && make_way(j, within, missing, mine, u)) break;
        if (!m) {
            unplaced = true;
            break;
        }
        if (t / chunk_size != chunk) {
            chunk = t / chunk_size;
            in_chunk = allocations_in_chunk(j, chunk, chunk_size);
        }
        if (record_full(j, in_chunk++, m)) {
            t = (chunk + 1) * chunk_size - 1;
            continue;
        }
        plan_task(r, m, j, t, next_attempt(r->shard), u);
        missing--;
    }
    g_free(busy);
    return unplaced;
}

static bool plan_group(struct scheduling_round *r, struct job *j, bool within, GPtrArray *mine, GPtrArray *room,
                       const struct placement_rules *rules, struct team_usage *u) {
    int booked = allocations_count(j);
    if (booked == 0) {
        if (j->n_reported_done == j->spec.tasks || plan_gang(r, j, room, rules, u)) return false;
        if (quarantine_job_suspect(j)) return true;
        int now, with;
        const char *zone = preemption_gang_zone(j, within, mine, &now, &with);
        if (with < j->spec.tasks && j->zone) zone = j->zone;
        /* What room there is in its zone is kept for it: taken piece by piece by what comes after it in order, it once
         * made gangs of eight wait for minutes. */
        guint kept = 0;
        for (guint i = 0; i < mine->len && kept < (guint)j->spec.tasks; i++) {
            struct machine *m = mine->pdata[i];
            if (!m->round.schedulable || (zone && strcmp(zone, m->zone) != 0) || !placement_allowed(m, j, NULL, NULL))
                continue;
            for (int n = preemption_tasks_that_fit(m, &j->spec); n > 0 && kept < (guint)j->spec.tasks; n--, kept++)
                placement_reserve(m, &j->spec, 1);
        }
        /* Only if all of it gets room by that: a gang that lacks one place runs as little as one that lacks all. */
        if (with >= j->spec.tasks && may_preempt(j, within)) {
            bool any = false;
            for (int t = (int)kept; t < j->spec.tasks; t++) any |= preemption_make_room(j, within, mine, zone, u);
            if (any) j->preempted_at = clock_now();
        }
        return true;
    }
    if (booked == j->spec.tasks || replace_gang_tasks(r, j, room, rules, u)) return false;
    /* A part of it is gone, or never got allocated: the rest makes way for a new attempt. */
    for (guint b = 0; b < j->allocations->len; b++) allocations_request_stop(j->allocations->pdata[b], 0);
    return false;
}

/* What each team's tasks take of this shard: all of the team's, unless it is divided. What is over is proven gone. */
static void count_usage(int k, struct team_usage *u) {
    GPtrArray *lists[] = {jobs_active_of(k), jobs_ended_of(k)};
    for (size_t l = 0; l < G_N_ELEMENTS(lists); l++)
        for (guint i = 0; i < lists[l]->len; i++) {
            const struct job *j = lists[l]->pdata[i];
            if (j->spec.team < 0) continue;
            int n = allocations_count(j);
            u[j->spec.team].cpu += n * j->spec.vcpus;
            u[j->spec.team].gpu += n * j->spec.gpus;
        }
}

/* Only what waits is looked at, and only machines with room for the smallest of it. */
static GPtrArray *machines_with_room(GPtrArray *mine, const GArray *order, const int *missing) {
    GPtrArray *room = g_ptr_array_new();
    struct job_spec smallest = {.vcpus = INFINITY, .gpus = INFINITY, .memory_gb = INFINITY};
    for (guint i = 0; i < order->len; i++) {
        const struct job_spec *spec = &g_array_index(order, struct ranked_job, i).job->spec;
        if (missing[i] <= 0) continue;
        smallest.vcpus = MIN(smallest.vcpus, spec->vcpus);
        smallest.gpus = MIN(smallest.gpus, spec->gpus);
        smallest.memory_gb = MIN(smallest.memory_gb, spec->memory_gb);
    }
    for (guint i = 0; i < mine->len; i++) {
        struct machine *m = mine->pdata[i];
        if (m->round.schedulable && placement_fits(m, &smallest)) g_ptr_array_add(room, m);
    }
    return room;
}

/* What is free on the machines with room, less what the jobs looked at so far ask for. */
struct free_room {
    double cpu, gpu;
};

static struct free_room count_free(const GPtrArray *room) {
    struct free_room free = {0, 0};
    for (guint i = 0; i < room->len; i++) {
        const struct machine *m = room->pdata[i];
        free.cpu += m->type->vcpus - m->round.used_vcpus;
        free.gpu += m->type->gpus - m->round.used_gpus;
    }
    return free;
}

static void take_free(struct free_room *free, const struct job *j, int tasks) {
    free->cpu -= tasks * j->spec.vcpus;
    free->gpu -= tasks * j->spec.gpus;
}

static bool waits_to_retry(const struct job *j) { return clock_seconds_since(j->retry_at) < 0; }

/* The budget carries no more: the next round goes on. What surely has no room needs machines already now: at a start
 * from nothing they were once asked for half a minute late. */
static void mark_unplaced(int k, const GArray *order, guint from, const int *missing, struct free_room free) {
    for (guint i = from; i < order->len; i++) {
        struct job *j = g_array_index(order, struct ranked_job, i).job;
        if (missing[i] <= 0 || waits_to_retry(j) || quarantine_job_suspect(j)) continue;
        take_free(&free, j, missing[i]);
        j->unplaced = free.cpu < 0 || free.gpu < 0;
        shard_states[k].fit_nowhere |= j->unplaced;
    }
}

/* Of a job that fails wherever it runs one task at a time is tried, or the gang that it is. */
static int tasks_to_place(const struct job *j) {
    int missing = allocations_missing_tasks(j);
    if (!quarantine_job_suspect(j) || j->spec.kind == JOB_GANG) return missing;
    return allocations_count(j) > 0 ? 0 : MIN(missing, 1);
}

void scheduling_round_plan_jobs(struct scheduling_round *r, int k) {
    GArray *order = priority_order_shard(k);
    GPtrArray *mine = machines_of_shard(k);
    struct team_usage u[SETTINGS_TEAMS];
    memset(u, 0, sizeof u);
    struct placement_rules rules = {scheduler_settings->tuning.reception, scheduler_settings->tuning.admission,
                                    placement_reception(k)};
    count_usage(k, u);
    quota_refresh();
    preemption_refresh();
    bool held_back[SETTINGS_TEAMS] = {false};
    int *missing = g_new0(int, order->len + 1);
    for (guint i = 0; i < order->len; i++) {
        struct job *j = g_array_index(order, struct ranked_job, i).job;
        missing[i] = tasks_to_place(j);
        if (missing[i] <= 0) j->unplaced = false;
    }
    GPtrArray *room = machines_with_room(mine, order, missing);
    struct free_room free = count_free(room);
    shard_states[k].fit_nowhere = false;
    int jobs_planned = 0;
    struct no_room none = {.n = 0};
    for (guint i = 0; i < order->len; i++) {
        struct job *j = g_array_index(order, struct ranked_job, i).job;
        bool within = g_array_index(order, struct ranked_job, i).within;
        if (missing[i] <= 0 || waits_to_retry(j)) continue;
        if (held_back[j->spec.team] && quota_counts_scarce(j)) continue;
        if (jobs_planned >= r->writes_left || r->plans->len >= PLANS_MAX) {
            r->more = true;
            mark_unplaced(k, order, i, missing, free);
            break;
        }
        take_free(&free, j, missing[i]);
        guint before = r->plans->len;
        if (!may_preempt(j, within) && surely_no_room(&none, &j->spec)) {
            j->unplaced = !quarantine_job_suspect(j);
            shard_states[k].fit_nowhere |= j->unplaced;
            continue;
        }
        j->unplaced = j->spec.kind == JOB_GANG ? plan_group(r, j, within, mine, room, &rules, u)
                                               : plan_tasks(r, j, within, missing[i], mine, room, &rules, u);
        jobs_planned += r->plans->len > before;
        held_back[j->spec.team] |= quota_reserves_for(j);
        if (j->unplaced) note_no_room(&none, &j->spec);
        if (quarantine_job_suspect(j)) j->unplaced = false; /* it waits for room, and has none rented */
        if (j->unplaced) shard_states[k].fit_nowhere = true;
    }
    /* Only what stays planned is written: a gang's tries that came to nothing are not. */
    for (guint i = 0; i < r->plans->len; i++)
        g_array_index(r->plans, struct planned_task, i).machine->round.dirty = true;
    g_free(missing);
    g_array_free(order, TRUE);
    g_ptr_array_free(room, TRUE);
}
