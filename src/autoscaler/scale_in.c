#include "scale_in.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <string.h>

#include "../allocations/allocations.h"
#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../membership/membership.h"
#include "../placement/placement.h"
#include "../preemption/preemption.h"
#include "../provisioning/provisioning.h"

static const struct settings *cfg;

/* Where a replica could go on at once: room, and the image at hand. */
static struct machine *replica_target(const struct allocation *b) {
    const struct job *j = b->job;
    for (guint i = 0; i < machines_of_shard(b->machine->shard)->len; i++) {
        struct machine *m = machines_of_shard(b->machine->shard)->pdata[i];
        if (m == b->machine || !m->round.schedulable || m->retirement.draining || !placement_fits(m, &j->spec))
            continue;
        if (!g_hash_table_contains(m->images, j->spec.image) || (m->round.used_gpus <= 0 && m->round.used_vcpus <= 0))
            continue;
        /* In its own zone it takes its own place among a spread job's tasks. */
        struct job alone = *j;
        if (strcmp(m->zone, b->machine->zone) == 0) alone.spec.spread = alone.spec.single_zone = false;
        if (placement_allowed(m, &alone, alone.spec.single_zone ? b->machine->zone : NULL, NULL)) return m;
    }
    return NULL;
}

/* The paper's commanded moves, for tasks that lose next to nothing by them: those that save, and replicas that start
 * again at once where their image is. Without them a drain that holds a replica would be paid for until it gives up.
 * All or none: a machine that keeps one task is not given back. */
static void move_off(struct machine *m) {
    placement_prepare_machines(m->shard);
    for (guint b = 0; b < m->allocations->len; b++) {
        struct allocation *x = m->allocations->pdata[b];
        const struct job_spec *s = &x->job->spec;
        if (!x->stop_requested && preemption_recently_started(x)) return;
        if (x->stop_requested || (s->kind == JOB_ARRAY && s->checkpoint_s > 0)) continue;
        struct machine *to = s->kind == JOB_SERVICE && x->state == TASK_RUNNING ? replica_target(x) : NULL;
        if (!to) return;
        placement_reserve(to, s);
    }
    for (guint b = 0; b < m->allocations->len; b++) {
        struct allocation *x = m->allocations->pdata[b];
        allocations_request_stop(x, x->job->spec.checkpoint_s > 0 ? x->job->spec.checkpoint_flush_s + 2 : 0);
    }
}

struct candidate {
    struct machine *m;
    double occ;
};

static int least_first(gconstpointer a, gconstpointer b) {
    double d = ((const struct candidate *)a)->occ - ((const struct candidate *)b)->occ;
    return d < 0 ? -1 : d > 0;
}

int scale_in_drains(int n, double headroom, double margin, double admission, int draining) {
    /* Each drain takes its machine's part out of the capacity, and the next needs the margin anew. */
    int allowed = headroom > margin * admission ? (int)ceil((headroom - margin * admission) / admission - 1e-9) : 0;
    return CLAMP(MAX(n / 16, 1) - draining, 0, allowed);
}

/* One ledger for each kind: headroom on cheap machines is none for work that may not use them. */
void scale_in_run(int k, bool spot) {
    struct machine *reception = placement_reception(k);
    GArray *order = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    double occupied = 0;
    int n = 0, draining = 0, unsteady = 0;
    for (guint i = 0; i < machines_of_shard(k)->len; i++) {
        struct machine *m = machines_of_shard(k)->pdata[i];
        if (m->spot != spot || !machines_owned(m) || !m->liveness.up || machines_leaving(m)) continue;
        struct candidate c = {m, placement_occupancy(m, (int)cfg->tuning.window)};
        occupied += c.occ;
        if (m->retirement.draining) {
            draining++;
            continue;
        }
        n++;
        bool short_of = m->occupancy.n_samples < (int)cfg->tuning.window;
        unsteady += short_of;
        /* One rented for waiting tasks stays until it has had its first. */
        if (m == reception || short_of || m->liveness.preemption_notice_s >= 0 ||
            (!m->had_task && clock_time_of_day() - m->created_at < provisioning_give_up_s(m)))
            continue;
        g_array_append_val(order, c);
    }
    double h =
        placement_headroom(n, occupied, spot ? cfg->tuning.admission : cfg->tuning.reception, cfg->tuning.admission);
    int drains = scale_in_drains(n, h, cfg->tuning.margin, cfg->tuning.admission, draining);
    /* Nothing is returned before each machine shows its rows; in a large fleet some have always just booted, and while
     * they are few only they wait for their own. */
    if (unsteady * 16 <= n && drains > 0 && !shard_states[k].fit_nowhere) {
        g_array_sort(order, least_first);
        for (guint i = 0; i < order->len && drains > 0; i++, drains--) {
            struct machine *m = g_array_index(order, struct candidate, i).m;
            m->retirement.draining = true;
            m->retirement.drain_since = clock_now();
            if (!spot) move_off(m);
            log_info("machine %s: draining (shard %d, %s, machines %d, occupancy %.2f, headroom %.2f)", m->id, k,
                     spot ? "spot" : "on-demand", n--, occupied, h);
            h -= cfg->tuning.admission;
        }
    }
    g_array_free(order, TRUE);
}

/* The periodic line of a shard: what waits, what there is, what is left. */
void scale_in_log_status(int k) {
    int up[2] = {0, 0}, booting[2] = {0, 0}, draining = 0, waiting[4] = {0, 0, 0, 0};
    double gpus[2] = {0, 0}, used[2] = {0, 0}, filler = 0, occupied = 0;
    for (guint i = 0; i < machines_of_shard(k)->len; i++) {
        struct machine *m = machines_of_shard(k)->pdata[i];
        if (m->retirement.returning || m->retirement.released) continue;
        (m->liveness.up ? up : booting)[m->spot]++;
        draining += m->retirement.draining;
        if (!m->liveness.up || !m->type) continue;
        gpus[m->spot] += m->type->gpus;
        occupied += placement_occupancy(m, (int)cfg->tuning.window);
        for (guint b = 0; b < m->allocations->len; b++) {
            if (((struct allocation *)m->allocations->pdata[b])->released) continue;
            const struct job_spec *s = &((struct allocation *)m->allocations->pdata[b])->job->spec;
            used[m->spot] += s->gpus;
            if (!m->spot && s->allows_spot) filler += s->gpus;
        }
    }
    GPtrArray *jobs = jobs_active_of(k);
    for (guint i = 0; i < jobs->len; i++) {
        struct job *j = jobs->pdata[i];
        waiting[j->priority] += MAX(0, allocations_missing_tasks(j));
    }
    log_info(
        "shard %d: pending %d/%d/%d/%d tasks (production to idle), up %d on-demand %d spot, booting %d+%d, draining "
        "%d, "
        "gpus allocated %.0f of %.0f on-demand (%.0f by preemptible work), %.0f of %.0f spot, occupancy %.2f, headroom "
        "%.2f",
        k, waiting[3], waiting[2], waiting[1], waiting[0], up[0], up[1], booting[0], booting[1], draining, used[0],
        gpus[0], filler, used[1], gpus[1], occupied,
        placement_headroom(up[0] + up[1] - draining, occupied, cfg->tuning.reception, cfg->tuning.admission));
}

void scale_in_init(const struct settings *s) { cfg = s; }
