#include "rebalancing.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../allocations/allocations.h"
#include "../autoscaler/scale_out.h"
#include "../clock/clock.h"
#include "../cloud/cloud.h"
#include "../logging/logging.h"
#include "../machine_types/machine_types.h"
#include "../membership/membership.h"
#include "../placement/placement.h"
#include "../preemption/preemption.h"
#include "../priority/priority.h"
#include "../quarantine/quarantine.h"
#include "../quota/quota.h"

static const struct settings *cfg;

/* Not in a round that allocates on it or releases from it: the plan is not in its list yet. A machine was once passed
 * together with a task of its old shard's, which then counted nowhere against the team's limit. */
bool rebalancing_allowed(const struct machine *m) {
    return m->rebalance.to >= 0 && m->allocations->len == 0 && m->page >= 0 && !m->round.dirty &&
           !m->commands.outcome_unknown && !m->commands.in_flight && !m->commands.needs_token_raise &&
           !m->retirement.return_wanted && !m->retirement.returning && !m->retirement.released;
}

/* A spread job's part in the zone is used up. */
static bool zone_full(const struct job *j, const char *site) {
    int here = 0;
    for (guint i = 0; i < j->allocations->len; i++)
        here += strcmp(((struct allocation *)j->allocations->pdata[i])->machine->zone, site) == 0;
    return j->spec.spread && here >= (j->spec.tasks + 1) / 2;
}

/* Nothing fits beside what is allocated: most machines of a busy shard, not worth a closer look. */
static bool full(const struct machine *m) {
    const struct machine_type *f = machine_types_find(m->type_name);
    double cpu = 0, gpu = 0;
    for (guint b = 0; f && b < m->allocations->len; b++) {
        const struct allocation *x = m->allocations->pdata[b];
        if (x->released) continue;
        cpu += x->job->spec.vcpus;
        gpu += x->job->spec.gpus;
    }
    return f && (cpu >= f->vcpus - 1e-6 || (f->gpus > 0 && gpu >= f->gpus - 1e-6));
}

/* Whether the machines have room for so many tasks of the job; they are counted in. Each machine is looked at once: an
 * array of 25,000 tasks, each looking at all machines, once took more processor time than all else. */
static bool takes_all(GArray *vms, const struct job *j, int tasks) {
    const char *site = placement_zone(j);
    for (guint y = 0; y < vms->len && tasks > 0; y++) {
        struct planned_machine *v = &g_array_index(vms, struct planned_machine, y);
        if (zone_full(j, v->o.zone)) continue;
        while (tasks > 0 && planned_machine_take(v, j, site)) tasks--;
    }
    return tasks <= 0;
}

/* The first job of another shard that waits for a machine none of its own can give: every controller mirrors all
 * records, so that the donor sees it without being asked. */
static bool needy_job(int s, bool reclaimable, struct priority_entry *entry) {
    GArray *vms = g_array_new(FALSE, FALSE, sizeof(struct planned_machine));
    for (guint i = 0; i < machines_all()->len; i++) {
        struct machine *m = machines_all()->pdata[i];
        if ((m->shard != s && m->rebalance.to != s) || m->retirement.returning || (m->spot && !reclaimable) ||
            (m->shard == s && full(m)))
            continue;
        guint before = vms->len;
        planned_machine_add(vms, m->type_name, m->zone, m->spot);
        if (vms->len == before) continue;
        struct planned_machine *v = &g_array_index(vms, struct planned_machine, before);
        for (guint b = 0; b < m->allocations->len && m->shard == s; b++) {
            if (((struct allocation *)m->allocations->pdata[b])->released) continue;
            const struct job_spec *x = &((struct allocation *)m->allocations->pdata[b])->job->spec;
            v->cpu -= x->vcpus;
            v->gpu -= x->gpus;
            v->mem -= x->memory_gb;
        }
    }
    bool found = false;
    GArray *order = priority_order_shard(s);
    for (guint i = 0; i < order->len && !found; i++) {
        struct job *j = g_array_index(order, struct priority_entry, i).job;
        if (j->spec.allows_spot != reclaimable || quarantine_job_suspect(j) ||
            clock_seconds_since(j->eligible_since) < 0.4)
            continue;
        /* A dear machine that nobody needs is given back rather than kept for work that nobody expects by a time. */
        if (reclaimable && !priority_has_objective(j)) continue;
        const struct settings_team *t = &cfg->teams[j->spec.team];
        int left = allocations_missing_tasks(j), tasks = j->spec.kind == JOB_ARRAY ? 1 : left;
        if (left <= 0 || !quota_waits_for_machines(j, tasks) ||
            (t->gpus_max > 0 && preemption_over_guarantee(j->spec.team) + t->gpus + tasks * j->spec.gpus > t->gpus_max))
            continue;
        if (!takes_all(vms, j, left)) {
            found = true;
            *entry = g_array_index(order, struct priority_entry, i);
        }
    }
    g_array_free(order, TRUE);
    g_array_free(vms, TRUE);
    return found;
}

/* A job of the shard waits for a machine, and is of the same rank as the other's or a higher one. */
static bool own_work_first(int k, const struct job *j) {
    GPtrArray *jobs = jobs_active_of(k);
    for (guint i = 0; i < jobs->len; i++) {
        const struct job *o = jobs->pdata[i];
        if (o->unplaced && o->priority >= j->priority) return true;
    }
    return false;
}

/* The same, but of the shard's jobs those count that are within their teams' guarantees. A divided team's job may lie
 * in a shard that has few machines: it waited there for ever, though within its guarantee, while the shard that had
 * them all had work beyond its guarantees waiting. */
static bool own_guarantee_first(int k, const struct job *j) {
    GArray *order = priority_order_shard(k);
    bool first = false;
    for (guint i = 0; i < order->len && !first; i++) {
        const struct priority_entry *o = &g_array_index(order, struct priority_entry, i);
        first = o->within_guarantee && o->job->unplaced && o->job->priority >= j->priority;
    }
    g_array_free(order, TRUE);
    return first;
}

/* The machine of shard K that is easiest to spare for the job: an empty one, else one whose tasks may all be stopped
 * for it. */
static struct machine *donation(int k, const struct priority_entry *entry) {
    const struct job *j = entry->job;
    bool within = entry->within_guarantee;
    struct machine *best = NULL, *reception = placement_reception(k);
    double best_cost = 0;
    const char *site = placement_zone(j);
    bool claims = within && quota_divided(j->spec.team);
    if (claims ? own_guarantee_first(k, j) : own_work_first(k, j)) return NULL;
    for (guint i = 0; i < machines_of_shard(k)->len; i++) {
        struct machine *m = machines_of_shard(k)->pdata[i];
        if (m == reception || m->round.dirty || clock_seconds_since(m->owned_since) < 5 || m->rebalance.to >= 0 ||
            !m->liveness.up || !machines_owned(m) || !m->type)
            continue;
        if (machines_leaving(m) || m->liveness.preemption_notice_s >= 0 || !m->address[0]) continue;
        if (clock_seconds_since(m->liveness.last_heard) > clock_to_seconds(cfg->heartbeat_interval) * 2 + 1 ||
            !scale_out_type_fits(&j->spec, m->type))
            continue;
        if (!placement_allowed(m, j, site, NULL)) continue;
        /* For work that could use cheap machines a dear one goes only if it is surplus here. */
        if (j->spec.allows_spot && !within && !m->spot && !m->retirement.draining) continue;
        if (j->spec.allows_spot && m->allocations->len == 0 && shard_states[k].fit_nowhere && !within) continue;
        bool all = true;
        for (guint b = 0; b < m->allocations->len; b++) all &= preemption_allowed(m->allocations->pdata[b], entry);
        if (!all || !quota_may_preempt_all(m, j->priority)) continue;
        double cost = m->allocations->len * 2.0;
        for (guint b = 0; b < m->allocations->len; b++) cost += preemption_recently_started(m->allocations->pdata[b]);
        cost += (g_hash_table_contains(m->images, j->spec.image) ? 0 : 3);
        if (best && cost >= best_cost) continue;
        best = m;
        best_cost = cost;
    }
    return best;
}

void rebalancing_plan(int k) {
    for (guint i = 0; i < machines_of_shard(k)->len; i++) {
        struct machine *m = machines_of_shard(k)->pdata[i];
        if (m->rebalance.to >= 0 && clock_seconds_since(m->rebalance.since) > 12) m->rebalance.to = -1;
    }
    /* A look at every other shard's needs is the dearest part of a round, and nothing passes faster than this. */
    if (clock_seconds_since(shard_states[k].rebalanced_at) < machines_all()->len * 0.0008) return;
    shard_states[k].rebalanced_at = clock_now();
    for (int s = 0; s < cfg->size; s++) {
        if (s == k || jobs_active_of(s)->len == 0) continue;
        struct machine *m = NULL;
        struct priority_entry entry = {0};
        for (int reclaimable = 0; reclaimable < 2 && !m; reclaimable++) {
            if (needy_job(s, reclaimable, &entry)) m = donation(k, &entry);
        }
        if (!m) continue;
        m->rebalance.to = s;
        m->rebalance.since = clock_now();
        log_info("machine %s: rebalancing from shard %d to shard %d for job %s", m->id, k, s, entry.job->spec.job_id);
        for (guint b = 0; b < m->allocations->len; b++) {
            struct allocation *x = m->allocations->pdata[b];
            if (!x->stop_requested) quota_note_preempted(x);
            allocations_request_stop(x, x->job->spec.checkpoint_s > 0 ? x->job->spec.checkpoint_flush_s + 1 : 0);
        }
    }
}

void rebalancing_init(const struct settings *s) { cfg = s; }
