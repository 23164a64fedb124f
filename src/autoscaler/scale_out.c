#include "scale_out.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../allocations/allocations.h"
#include "../clock/clock.h"
#include "../cloud/cloud.h"
#include "../liveness/liveness.h"
#include "../logging/logging.h"
#include "../machine_types/machine_types.h"
#include "../membership/membership.h"
#include "../placement/placement.h"
#include "../preemption/preemption.h"
#include "../priority/priority.h"
#include "../provisioning/provisioning.h"
#include "../quota/quota.h"
#include "../schema_version/schema_version.h"

static const struct settings *cfg;

bool scale_out_type_fits(const struct job_spec *j, const struct machine_type *f) {
    return (!j->machine_types || g_strv_contains((const char *const *)j->machine_types, f->type_name)) &&
           j->vcpus <= f->vcpus + 1e-6 && j->gpus <= f->gpus + 1e-6 && j->memory_gb <= f->memory_gb + 1e-6;
}

bool planned_machine_take(struct planned_machine *v, const struct job *j, const char *site) {
    const struct job_spec *s = &j->spec;
    if ((v->o.spot && !s->allows_spot) || (v->foreign && s->allows_spot) || (v->kept && s->kind != JOB_GANG))
        return false;
    if ((site && strcmp(site, v->o.zone) != 0) || (s->zone && strcmp(s->zone, v->o.zone) != 0)) return false;
    if (s->machine_types && !g_strv_contains((const char *const *)s->machine_types, v->o.type_name)) return false;
    if (s->vcpus > v->cpu + 1e-6 || s->gpus > v->gpu + 1e-6 || s->memory_gb > v->mem + 1e-6) return false;
    v->cpu -= s->vcpus;
    v->gpu -= s->gpus;
    v->mem -= s->memory_gb;
    return true;
}

void planned_machine_add(GArray *vms, const char *type_name, const char *site, bool spot) {
    const struct machine_type *f = machine_types_find(type_name);
    if (!f) return;
    struct planned_machine v = {{"", "", spot, 0, 0, 0}, f->vcpus, f->gpus, f->memory_gb, false, false};
    g_strlcpy(v.o.type_name, type_name, sizeof v.o.type_name);
    g_strlcpy(v.o.zone, site, sizeof v.o.zone);
    g_array_append_val(vms, v);
}

/* Machines of the shard by zone, counted once a plan; what the plan orders counts as well. */
static int zone_count[SETTINGS_ZONES], zone_lot = 1;
static int *zone_of(const char *site) {
    int z = settings_zone(cfg, site);
    return z < 0 ? NULL : &zone_count[z];
}
static int here_in(const char *site) {
    const int *n = zone_of(site);
    return n ? *n : 0;
}

/* The cheapest type that fits, its kind, and a zone that has not just refused. */
static bool choose(int k, const struct job *j, const char *site, bool dear, struct rental_request *o) {
    for (int spot = j->spec.allows_spot ? 1 : 0; spot >= (j->spec.allows_spot && !dear ? 1 : 0); spot--) {
        double best = 0;
        bool found = false;
        for (int i = 0; i < machine_types_count(); i++) {
            const struct machine_type *f = &machine_types_all()[i];
            if (!scale_out_type_fits(&j->spec, f)) continue;
            double price = spot ? f->spot_price : f->hourly_price;
            for (int z = 0; z < f->n_zones; z++) {
                const char *s = f->zones[z];
                if ((site && strcmp(site, s) != 0) || (j->spec.zone && strcmp(j->spec.zone, s) != 0)) continue;
                if (!cloud_may_rent(f->type_name, s, spot == 1) || liveness_zone_unreachable(k, s)) continue;
                /* Among equal prices, the zone where this shard has least; a whole order goes to one, calls are scarce.
                 */
                double cost = price * (1 + 0.001 * (here_in(s) / zone_lot));
                if (found && cost >= best) continue;
                found = true;
                best = cost;
                g_strlcpy(o->type_name, f->type_name, sizeof o->type_name);
                g_strlcpy(o->zone, s, sizeof o->zone);
                o->spot = spot == 1;
            }
        }
        if (found) return true;
    }
    return false;
}

/* For a gang that stays together: the zone in which what is there or on its way takes most of it. */
static void fullest_zone(int k, const GArray *vms, const struct job *j, char *site, size_t n) {
    int best = 0;
    for (int z = 0; z < cfg->n_zones; z++) {
        int fit = 0;
        for (guint y = 0; y < vms->len; y++) {
            struct planned_machine v = g_array_index(vms, struct planned_machine, y);
            if (v.foreign) continue;
            while (fit < j->spec.tasks && planned_machine_take(&v, j, cfg->zones[z])) fit++;
        }
        /* Pieces in a zone that the cloud adds nothing to are no beginning. */
        struct rental_request o;
        if (fit <= best || (fit < j->spec.tasks && !choose(k, j, cfg->zones[z], true, &o))) continue;
        best = fit;
        g_strlcpy(site, cfg->zones[z], n);
    }
}

/* One more machine in the plan. */
static void add_order(GArray *vms, const struct rental_request *o, int weight) {
    planned_machine_add(vms, o->type_name, o->zone, o->spot);
    g_array_index(vms, struct planned_machine, vms->len - 1).o.weight = weight;
    if (zone_of(o->zone)) ++*zone_of(o->zone);
}

/* The design's weak point: headroom is a sum, so scattered pieces starve gangs while no rental fires. A shard that runs
 * gangs keeps one whole machine in SPARE_IN, there or booting, beyond what waits; as few as drain at a time. */
#define SPARE_IN 7
#define SPARE_S 100 /* for so long after the last of them came */
static void rent_spares(int k, GArray *vms, const GArray *order, int steady, int most) {
    struct job *like = NULL;
    for (guint i = 0; i < order->len && !like; i++) {
        struct job *j = g_array_index(order, struct priority_entry, i).job;
        if (j->spec.kind == JOB_GANG && !j->spec.allows_spot && clock_time_of_day() - j->ready < SPARE_S) like = j;
    }
    int whole = 0;
    for (guint y = 0; y < vms->len; y++) {
        const struct planned_machine *v = &g_array_index(vms, struct planned_machine, y);
        const struct machine_type *f = machine_types_find(v->o.type_name);
        whole += f && !v->foreign && !v->o.spot && v->cpu >= f->vcpus - 1e-6 && v->gpu >= f->gpus - 1e-6;
    }
    for (int n = MIN(steady / SPARE_IN - whole, most); like && n > 0; n--) {
        struct rental_request o;
        memset(&o, 0, sizeof o);
        if (!choose(k, like, NULL, true, &o)) return;
        add_order(vms, &o, 1);
    }
}

/* What a shard has, and what the plan makes of it. */
struct shard_plan {
    int shard;
    GArray *vms;     /* struct planned_machine: there with room, on their way, and requested */
    guint first_new; /* those from here on are requested by this plan */
    int have, requested, steady, up;
    int overdue;           /* machines that should have come up by now */
    bool roomy;            /* another machine than the reception is below the admission threshold */
    bool booting;          /* machines are on their way */
    double backlog, slots; /* work that may use cheap machines, in GPU seconds, and the GPUs that work it off */
    struct machine *reception;
};

static void count_machine(struct shard_plan *p, struct machine *m) {
    if (zone_of(m->zone)) ++*zone_of(m->zone);
    if (machines_leaving(m)) return;
    p->have++;
    const struct machine_type *f = machine_types_find(m->type_name);
    if (f && m->spot) p->slots += f->gpus;
    for (guint b = 0; !m->spot && b < m->allocations->len; b++) {
        const struct job_spec *s = &((struct allocation *)m->allocations->pdata[b])->job->spec;
        if (s->allows_spot) p->slots += s->gpus;
    }
    if (!m->liveness.up) {
        if (liveness_zone_unreachable(p->shard, m->zone)) return; /* nobody knows when it is heard */
        /* Nor when this one comes, if ever. More than a few at a time are not replaced: a spell of slow boots must not
         * multiply the bill. */
        if (provisioning_overdue(m) && p->overdue++ < provisioning_replacements_max(p->up)) return;
        planned_machine_add(p->vms, m->type_name, m->zone, m->spot);
        p->booting = true;
        return;
    }
    if (m->spot || m->retirement.draining || m->liveness.preemption_notice_s >= 0) return;
    p->steady++;
    /* Whole ones are kept for gangs that lack others. */
    if (allocations_on_machine(m) == 0 && m->round.schedulable) {
        guint before = p->vms->len;
        planned_machine_add(p->vms, m->type_name, m->zone, false);
        if (p->vms->len > before) g_array_index(p->vms, struct planned_machine, before).kept = true;
    }
    if (m != p->reception && placement_occupancy(m, (int)cfg->tuning.window) < cfg->tuning.admission) p->roomy = true;
}

static void count_machines(struct shard_plan *p) {
    memset(zone_count, 0, sizeof zone_count);
    for (guint i = 0; i < machines_of_shard(p->shard)->len; i++)
        p->up += ((struct machine *)machines_of_shard(p->shard)->pdata[i])->liveness.up;
    for (guint i = 0; i < machines_of_shard(p->shard)->len; i++)
        count_machine(p, machines_of_shard(p->shard)->pdata[i]);
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, machines_unregistered());
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct unregistered_machine *u = v;
        if (u->shard != p->shard) continue;
        planned_machine_add(p->vms, u->type_name, u->zone, u->spot);
        p->have++;
        p->booting = true;
    }
}

#define TRANSFER_S 4 /* for so long another shard's machine is waited for */

/* What another shard is about to transfer needs no rental; if it doesn't come soon, it is rented after all. */
static void count_transfers(struct shard_plan *p, const GArray *order) {
    double waited = 0;
    for (guint i = 0; i < order->len; i++) {
        const struct job *j = g_array_index(order, struct priority_entry, i).job;
        if (j->unplaced && !j->spec.allows_spot) waited = MAX(waited, clock_seconds_since(j->eligible_since));
    }
    for (guint i = 0; i < machines_all()->len && waited < TRANSFER_S; i++) {
        const struct machine *m = machines_all()->pdata[i];
        if (m->shard == p->shard || m->shard < 0 || !preemption_clears_machine(m) || m->rebalance.to >= 0) continue;
        guint before = p->vms->len;
        planned_machine_add(p->vms, m->type_name, m->zone, false);
        if (p->vms->len > before) g_array_index(p->vms, struct planned_machine, before).foreign = true;
    }
}

/* A spread job's next task asks for a zone that has none of them yet; NULL: any. */
static const char *spread_zone(const struct job *j) {
    if (!j->spec.spread || j->allocations->len == 0) return NULL;
    for (int z = 0; z < cfg->n_zones; z++) {
        int here = 0;
        for (guint b = 0; b < j->allocations->len; b++)
            here += strcmp(((struct allocation *)j->allocations->pdata[b])->machine->zone, cfg->zones[z]) == 0;
        if (here == 0) return cfg->zones[z];
    }
    return NULL;
}

/* Whether the job's next task may have an ordinary machine. Work that may use cheap machines gets dear ones only for
 * what the present ones can't work off in a part of the time in which its users want it done. */
static bool may_be_dear(struct shard_plan *p, const struct job *j, bool within) {
    if (!j->spec.allows_spot) return true;
    p->backlog += MAX(j->spec.runtime_s, 1) * j->spec.gpus;
    double wanted = settings_objective_within(cfg, OBJECTIVE_FINISHED, j->spec.job_class, 120);
    return within || (p->slots > 0 && p->backlog / p->slots > cfg->tuning.spot_backlog * wanted);
}

/* One task: a place on what is there or on its way, else one more machine. site: where the job's tasks have to be, set
 * by the first task of a job that stays together. from: the machines before it have no room for the job's tasks; looked
 * at anew for each task, they took most of a controller's processor time at 4,000 machines. */
static void rent_for_task(struct shard_plan *p, struct job *j, bool within, char *site, size_t n, guint *from) {
    static const int weights[] = {1, 2, 6, 8};
    const char *want = site[0] ? site : spread_zone(j);
    bool dear = may_be_dear(p, j, within);
    for (; *from < p->vms->len; ++*from) {
        struct planned_machine *vm = &g_array_index(p->vms, struct planned_machine, *from);
        if (!planned_machine_take(vm, j, want)) continue;
        if (j->spec.single_zone && !site[0]) g_strlcpy(site, vm->o.zone, n);
        return;
    }
    struct rental_request o;
    memset(&o, 0, sizeof o);
    if (p->have + p->requested >= (int)cfg->tuning.machines_per_shard || !choose(p->shard, j, want, dear, &o)) return;
    add_order(p->vms, &o, weights[j->priority]);
    p->requested++;
    if (j->spec.allows_spot && machine_types_find(o.type_name)) p->slots += machine_types_find(o.type_name)->gpus;
    planned_machine_take(&g_array_index(p->vms, struct planned_machine, p->vms->len - 1), j, want);
    if (j->spec.single_zone && !site[0]) g_strlcpy(site, o.zone, n);
}

#define TASKS_MAX 128 /* of a job that a plan looks at */

static void rent_for_job(struct shard_plan *p, struct job *j, bool within) {
    int left = j->spec.kind == JOB_GANG ? j->spec.tasks
                                        : (j->unplaced ? allocations_missing_tasks(j) : 0) + j->replicas_at_risk;
    char site[64] = "";
    if (placement_zone(j))
        g_strlcpy(site, placement_zone(j), sizeof site);
    else if (j->spec.single_zone)
        fullest_zone(p->shard, p->vms, j, site, sizeof site);
    guint from = 0;
    double gpus_max = quota_bound(j->spec.team, jobs_shard(j)).gpus, used = 0;
    for (int x = 0; x < left && x < TASKS_MAX; x++) {
        used += j->spec.gpus;
        if (used > gpus_max) break;
        rent_for_task(p, j, within, site, sizeof site, &from);
    }
    int gathered = j->spec.single_zone ? settings_zone(cfg, site) : -1;
    j->zone = gathered < 0 ? NULL : cfg->zones[gathered];
}

/* Pressure: no other machine under the admission threshold, or a lone reception past its own. */
static void rent_for_pressure(struct shard_plan *p) {
    if (p->requested > 0 || p->booting || !p->reception || p->roomy || p->have >= (int)cfg->tuning.machines_per_shard)
        return;
    double occupancy = placement_occupancy(p->reception, (int)cfg->tuning.window);
    struct job *like = NULL;
    for (guint b = 0; b < p->reception->allocations->len; b++) {
        struct allocation *x = p->reception->allocations->pdata[b];
        if (!x->job->spec.allows_spot) like = x->job;
    }
    struct rental_request o;
    memset(&o, 0, sizeof o);
    if (!like || (p->steady == 1 && occupancy <= cfg->tuning.reception) || !choose(p->shard, like, NULL, true, &o))
        return;
    planned_machine_add(p->vms, o.type_name, o.zone, o.spot);
}

#define ORDER_MAX 50 /* machines a call may ask for */

/* Adds up what the plan orders by type, zone and kind. */
static void collect_directives(const struct shard_plan *p, struct rental_request *out, int most, int *n) {
    for (guint y = p->first_new; y < p->vms->len; y++) {
        const struct rental_request *o = &g_array_index(p->vms, struct planned_machine, y).o;
        int i = 0;
        while (i < *n && !(out[i].shard == p->shard && out[i].spot == o->spot &&
                           !strcmp(out[i].type_name, o->type_name) && !strcmp(out[i].zone, o->zone)))
            i++;
        if (i == *n && *n < most) {
            out[i] = *o;
            out[i].shard = p->shard;
            out[i].count = 0;
            out[i].weight = 0;
            (*n)++;
        }
        if (i < *n && out[i].count < ORDER_MAX) {
            out[i].count++;
            out[i].weight += o->weight;
        }
    }
}

static void rent_for_shard(int k, struct rental_request *out, int most, int *n) {
    struct shard_plan p = {.shard = k, .reception = placement_reception(k)};
    p.vms = g_array_new(FALSE, FALSE, sizeof(struct planned_machine));
    count_machines(&p);
    GArray *order = priority_order_shard(k);
    int waiting = 0;
    for (guint i = 0; i < order->len; i++) {
        const struct job *j = g_array_index(order, struct priority_entry, i).job;
        if (j->unplaced) waiting += allocations_missing_tasks(j);
    }
    zone_lot = CLAMP(waiting / 8, 1, 48);
    count_transfers(&p, order);
    p.first_new = p.vms->len;
    for (guint i = 0; i < order->len; i++) {
        const struct priority_entry *r = &g_array_index(order, struct priority_entry, i);
        if (r->job->unplaced || r->job->replicas_at_risk) rent_for_job(&p, r->job, r->within_guarantee);
    }
    rent_for_pressure(&p);
    rent_spares(k, p.vms, order, p.steady, MAX((int)cfg->tuning.machines_per_shard - p.have - p.requested, 0));
    collect_directives(&p, out, most, n);
    g_array_free(order, TRUE);
    g_array_free(p.vms, TRUE);
}

static int weightier(const void *a, const void *b) {
    return ((const struct rental_request *)b)->weight - ((const struct rental_request *)a)->weight;
}

/* Calls are scarce: first the order that helps most, by how many machines and for whom. A few machines for services go
 * before as many for arrays, but not before fifty. */
int scale_out_plan(struct rental_request *out, int most) {
    int n = 0;
    for (int k = 0; k < cfg->size; k++)
        if (membership_owns(k) && membership_may_answer() && clock_seconds_since(shard_states[k].owned_since) > 4)
            rent_for_shard(k, out, most, &n);
    qsort(out, (size_t)n, sizeof *out, weightier);
    return n;
}

/* If all controllers end between the record that drops a returned machine and the one that drops its allocations, these
 * name a machine that nobody can ask. That no record names it proves nothing, since records may be read in any order:
 * taken for gone, such machines once ran tasks that were started elsewhere. It is returned by its name; the cloud's
 * answer proves that it is gone, and a name that it does not know is ignored. */
static int unrecorded_machines(char ids[][64], int most, int *busy) {
    int n = 0;
    if (schema_version_store_unreadable() || !membership_may_answer()) return 0;
    for (guint i = 0; i < machines_all()->len && n < most; i++) {
        const struct machine *m = machines_all()->pdata[i];
        if (!machines_unrecorded(m)) continue;
        log_info("machine %s: tasks are allocated on it and no record names it, returning it", m->id);
        g_strlcpy(ids[n++], m->id, 64);
        (*busy)++;
    }
    return n;
}

/* Those with tasks first: until the cloud has answered, these can't start elsewhere. */
int scale_in_plan_returns(char ids[][64], int most, int *busy) {
    int n = 0;
    *busy = 0;
    for (int with_tasks = 1; with_tasks >= 0; with_tasks--)
        for (int k = 0; k < cfg->size; k++)
            for (guint i = 0; membership_owns(k) && i < machines_of_shard(k)->len && n < most; i++) {
                struct machine *m = machines_of_shard(k)->pdata[i];
                if (!m->retirement.returning || m->retirement.released || !machines_owned(m) ||
                    (allocations_on_machine(m) > 0) != with_tasks)
                    continue;
                g_strlcpy(ids[n++], m->id, 64);
                *busy += with_tasks;
            }
    return n + unrecorded_machines(ids + n, most - n, busy);
}

void scale_out_init(const struct settings *s) { cfg = s; }
