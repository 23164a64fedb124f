#include "placement.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../clock/clock.h"
#include "../liveness/liveness.h"
#include "../machine_types/machine_types.h"
#include "../quarantine/quarantine.h"

static const struct settings *cfg;

bool placement_fits(const struct machine *m, const struct job_spec *j) {
    const struct machine_type *f = m->type;
    if (!f || m->round.used_tasks >= MACHINE_TASKS_MAX) return false;
    return m->round.used_vcpus + j->vcpus <= f->vcpus + 1e-6 && m->round.used_gpus + j->gpus <= f->gpus + 1e-6 &&
           m->round.used_memory_gb + j->memory_gb <= f->memory_gb + 1e-6;
}

const char *placement_zone(const struct job *j) {
    for (guint i = 0; j->spec.single_zone && i < j->allocations->len; i++) {
        const struct allocation *b = j->allocations->pdata[i];
        if (!b->released) return b->machine->zone;
    }
    return NULL;
}

bool placement_allowed(const struct machine *m, const struct job *j, const char *together_site, GArray *plans) {
    const struct job_spec *s = &j->spec;
    if (m->spot && !s->allows_spot) return false;
    if (s->machine_types && !g_strv_contains((const char *const *)s->machine_types, m->type_name)) return false;
    if (s->zone && strcmp(s->zone, m->zone) != 0) return false;
    if (s->single_zone && together_site && strcmp(together_site, m->zone) != 0) return false;
    if (s->spread) {
        /* Tasks that are ending count until they are proven gone. */
        int here = 0;
        for (guint i = 0; i < j->allocations->len; i++) {
            const struct allocation *b = j->allocations->pdata[i];
            here += !b->released && strcmp(b->machine->zone, m->zone) == 0;
        }
        for (guint i = plans ? plans->len : 0; i-- > 0;) {
            struct planned_task *p = &g_array_index(plans, struct planned_task, i);
            if (p->job != j) break; /* a job's plans follow one another, and these are the last */
            here += strcmp(p->machine->zone, m->zone) == 0;
        }
        if (here >= (s->tasks + 1) / 2) return false;
    }
    return true;
}

double placement_occupancy(const struct machine *m, int window) {
    double sum[3] = {0, 0, 0}, most = 0;
    int n = MIN(m->occupancy.n_samples, window);
    if (n == 0) return 0;
    for (int i = 0; i < n; i++)
        for (int k = 0; k < 3; k++)
            sum[k] += m->occupancy.samples[(m->occupancy.n_samples - 1 - i) % MACHINE_OCCUPANCY_SAMPLES][k];
    for (int k = 0; k < 3; k++) most = MAX(most, sum[k] / n);
    return most;
}

double placement_headroom(int n, double occupied, double reception, double admission) {
    return n == 0 ? 0 : reception + (n - 1) * admission - occupied;
}

static unsigned long machines_examined;
unsigned long placement_machines_examined(void) { return machines_examined; }

struct machine *placement_choose(GPtrArray *machines, const struct job *j, const char *zone,
                                 const struct placement_rules *r, GArray *plans) {
    struct machine *best = NULL;
    double best_score = 0;
    const char *together = NULL;
    if (j->spec.single_zone) {
        together = placement_zone(j);
        if (!together && plans && plans->len) {
            struct planned_task *p = &g_array_index(plans, struct planned_task, plans->len - 1);
            if (p->job == j) together = p->machine->zone;
        }
    }
    for (guint i = 0; i < machines->len; i++) {
        struct machine *m = machines->pdata[i];
        machines_examined++;
        if (!m->round.schedulable || (zone && strcmp(zone, m->zone) != 0)) continue;
        if (!placement_fits(m, &j->spec) || !placement_allowed(m, j, together, plans)) continue;
        bool reception = m == r->reception_machine;
        /* Reception first under its threshold, then the least occupied under the admission threshold. */
        double score = reception && m->round.occupancy < r->reception ? 3
                       : m->round.occupancy < r->admission            ? 2 - m->round.occupancy
                                                                      : 0.5 - m->round.occupancy / 4;
        if (!reception && m->round.occupancy >= r->admission) score = 0.2;
        /* An empty machine is opened last: headroom in scattered pieces starves gangs and can't be given back. */
        if (m->round.used_gpus <= 0 && m->round.used_vcpus <= 0) score -= 5;
        /* Cheap machines for those who may use them; then an image at hand, which is worth more than the order
         * among machines that all have room: a fetch lasts longer than the whole wait a user accepts. */
        if (j->spec.allows_spot) score += m->spot ? 40 : 0;
        if (g_hash_table_contains(m->images, j->spec.image)) score += 10;
        /* Where others have failed last, and where this job has, after these. */
        score -= 60.0 * quarantine_machine_failures(m) + (quarantine_failed_on(j, m) ? 120.0 : 0);
        if (!best || score > best_score) {
            best = m;
            best_score = score;
        }
    }
    return best;
}

void placement_reserve(struct machine *m, const struct job_spec *s, int sign) {
    m->round.used_vcpus += sign * s->vcpus;
    m->round.used_gpus += sign * s->gpus;
    m->round.used_memory_gb += sign * s->memory_gb;
    m->round.used_tasks += sign;
}

struct machine *placement_reception(int k) {
    struct machine *best = NULL;
    for (guint i = 0; i < machines_of_shard(k)->len; i++) {
        struct machine *m = machines_of_shard(k)->pdata[i];
        if (m->spot || machines_leaving(m) || !m->liveness.up || m->liveness.preemption_notice_s >= 0) continue;
        if (!best || m->created_at < best->created_at ||
            (m->created_at == best->created_at && strcmp(m->id, best->id) < 0))
            best = m;
    }
    return best;
}

void placement_prepare_machines(int k) {
    double quiet = clock_to_seconds(cfg->heartbeat_interval) * 2 + 1;
    for (guint i = 0; i < machines_of_shard(k)->len; i++) {
        struct machine *m = machines_of_shard(k)->pdata[i];
        if (!machines_owned(m)) continue;
        if (!m->type) m->type = machine_types_find(m->type_name);
        m->round.dirty = m->round.leaves_page = false;
        m->round.next_token = 0;
        m->round.next_page = -1;
        m->round.occupancy = placement_occupancy(m, (int)cfg->tuning.window);
        m->round.used_vcpus = m->round.used_gpus = m->round.used_memory_gb = 0;
        m->round.used_tasks = 0;
        for (guint b = 0; b < m->allocations->len; b++) {
            struct allocation *x = m->allocations->pdata[b];
            if (x->released) {
                m->round.dirty = true;
                continue;
            }
            m->round.used_vcpus += x->job->spec.vcpus;
            m->round.used_gpus += x->job->spec.gpus;
            m->round.used_memory_gb += x->job->spec.memory_gb;
            m->round.used_tasks++;
        }
        m->round.schedulable = m->liveness.up && m->page >= 0 && m->type && !machines_leaving(m) &&
                               !m->retirement.draining && m->rebalance.to < 0 && m->liveness.preemption_notice_s < 0 &&
                               !m->commands.needs_token_raise && !m->commands.outcome_unknown &&
                               m->liveness.ignored_responses == 0 && !quarantine_machine_faulty(m) &&
                               m->agent.seen_token >= machines_fencing_token(m) &&
                               clock_seconds_since(m->liveness.last_heartbeat) < quiet &&
                               m->allocations->len < MACHINE_TASKS_MAX && !liveness_zone_unreachable(k, m->zone);
    }
}

void placement_init(const struct settings *s) { cfg = s; }
