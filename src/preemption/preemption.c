#include "preemption.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../placement/placement.h"
#include "../quota/quota.h"

static const struct settings *cfg;

bool preemption_quota_left(const struct team_usage *u, const struct job *j, int tasks) {
    const struct quota_bound most = quota_bound(j->spec.team, jobs_shard(j));
    return u->cpu + tasks * j->spec.vcpus <= most.vcpus + 1e-6 && u->gpu + tasks * j->spec.gpus <= most.gpus + 1e-6;
}

static double held_gpus[SETTINGS_TEAMS], held_cpus[SETTINGS_TEAMS];

/* Counted once a round: asked for every task on every machine, it once took most of a round's time. */
void preemption_refresh(void) {
    GPtrArray *jobs = jobs_active();
    for (int i = 0; i < cfg->n_teams; i++) held_gpus[i] = held_cpus[i] = 0;
    for (guint i = 0; i < jobs->len; i++) {
        const struct job *j = jobs->pdata[i];
        if (j->spec.team < 0) continue;
        held_gpus[j->spec.team] += j->allocations->len * j->spec.gpus;
        held_cpus[j->spec.team] += j->allocations->len * j->spec.vcpus;
    }
}

/* What a team holds beyond its guarantee, in GPUs (or CPUs where only those are guaranteed). */
double preemption_over_guarantee(int team) {
    if (team < 0) return 0;
    const struct settings_team *t = &cfg->teams[team];
    return t->gpus > 0 || t->cpus <= 0 ? held_gpus[team] - t->gpus : held_cpus[team] - t->cpus;
}

/* A task may be stopped for a job of higher rank, or, to give a team its guarantee, where its own team is
 * beyond its. The claim holds only while the claiming team is below its guarantee and the other stays at or
 * above: two teams that each had some work beyond once stopped one another's tasks for minutes. */
bool preemption_evictable(const struct allocation *x, const struct job *j, bool within) {
    if (x->released || x->stop_requested || x->job->spec.kind != JOB_ARRAY) return false;
    if (x->job->priority < j->priority) return true;
    return within && x->job->spec.team != j->spec.team &&
           preemption_over_guarantee(j->spec.team) + j->spec.gpus <= 1e-6 &&
           preemption_over_guarantee(x->job->spec.team) >= MAX(x->job->spec.gpus, 1e-3) && quota_may_preempt(x);
}

/* A task stopped soon after its start counts as never started to its user. */
bool preemption_recently_started(const struct allocation *b) {
    return b->state == TASK_UNSEEN || b->state == TASK_FETCHING ||
           (b->state == TASK_RUNNING && clock_seconds_since(b->state_since) < 32);
}

/* Stops lower-ranked tasks on one machine so that a task of the job fits there; the machine that already has the
 * image comes first, then the one that loses least. The room goes to the job in the round after their release, since
 * it is ranked before them. */
bool preemption_make_room(struct job *j, bool within, GPtrArray *mine, const char *zone, const struct team_usage *u) {
    struct machine *best = NULL;
    double best_cost = 0;
    const struct machine_type *f;
    if (!preemption_quota_left(&u[j->spec.team], j, 1)) return false;
    for (guint i = 0; i < mine->len; i++) {
        struct machine *m = mine->pdata[i];
        const char *together = placement_zone(j);
        if (!m->round.schedulable || !(f = m->type) || (zone && strcmp(zone, m->zone) != 0) ||
            !placement_allowed(m, j, together, NULL))
            continue;
        double cpu = m->round.used_vcpus, gpu = m->round.used_gpus, mem = m->round.used_memory_gb, cost = 0;
        for (guint b = 0; b < m->allocations->len; b++) {
            struct allocation *x = m->allocations->pdata[b];
            if (!preemption_evictable(x, j, within)) continue;
            cpu -= x->job->spec.vcpus;
            gpu -= x->job->spec.gpus;
            mem -= x->job->spec.memory_gb;
            cost += preemption_recently_started(x) ? 3 : 1;
        }
        if (cpu + j->spec.vcpus > f->vcpus + 1e-6 || gpu + j->spec.gpus > f->gpus + 1e-6 ||
            mem + j->spec.memory_gb > f->memory_gb + 1e-6)
            continue;
        if (!g_hash_table_contains(m->images, j->spec.image)) cost += 100;
        if (!best || cost < best_cost) {
            best = m;
            best_cost = cost;
        }
    }
    if (!best) return false;
    f = best->type;
    double quick = settings_objective_within(cfg, OBJECTIVE_WAIT, j->spec.job_class, 60);
    /* Those whose start has counted first, and of them the youngest: they lose least. */
    for (guint n = 2 * best->allocations->len; n-- > 0;) {
        struct allocation *x = best->allocations->pdata[n % best->allocations->len];
        if (placement_fits(best, &j->spec)) break;
        if (!preemption_evictable(x, j, within) || (n >= best->allocations->len && preemption_recently_started(x)))
            continue;
        quota_note_preempted(x);
        x->stop_requested = true;
        x->grace_s = x->job->spec.checkpoint_s > 0 && x->job->spec.checkpoint_flush_s + 1 < quick
                         ? x->job->spec.checkpoint_flush_s + 1
                         : 0;
        placement_release(best, &x->job->spec);
        log_info("task %s/%d on machine %s is preempted for job %s", x->job->spec.job_id, x->task, best->id,
                 j->spec.job_id);
    }
    placement_reserve(best, &j->spec); /* kept free for the rest of this round */
    best->commands.wake = true;
    return true;
}

static int times(double cpu, double gpu, double mem, const struct job_spec *s) {
    double n = s->vcpus > 0 ? (cpu + 1e-6) / s->vcpus : 1e6;
    if (s->gpus > 0) n = MIN(n, (gpu + 1e-6) / s->gpus);
    if (s->memory_gb > 0) n = MIN(n, (mem + 1e-6) / s->memory_gb);
    return n < 0 ? 0 : (int)MIN(n, 1e6);
}

int preemption_tasks_that_fit(const struct machine *m, const struct job_spec *s) {
    return times(m->type->vcpus - m->round.used_vcpus, m->type->gpus - m->round.used_gpus,
                 m->type->memory_gb - m->round.used_memory_gb, s);
}

const char *preemption_gang_zone(const struct job *j, bool within, GPtrArray *mine, int *now, int *with) {
    int here[SETTINGS_ZONES] = {0}, could[SETTINGS_ZONES] = {0}, zones = j->spec.single_zone ? cfg->n_zones : 1,
        best = 0;
    for (guint i = 0; i < mine->len; i++) {
        const struct machine *m = mine->pdata[i];
        if (!m->round.schedulable || !m->type || !placement_allowed(m, j, NULL, NULL)) continue;
        int z = 0;
        while (z < zones && j->spec.single_zone && strcmp(cfg->zones[z], m->zone) != 0) z++;
        if (z == zones) continue;
        double cpu = m->type->vcpus - m->round.used_vcpus, gpu = m->type->gpus - m->round.used_gpus,
               mem = m->type->memory_gb - m->round.used_memory_gb;
        here[z] += times(cpu, gpu, mem, &j->spec);
        for (guint b = 0; b < m->allocations->len; b++) {
            const struct allocation *x = m->allocations->pdata[b];
            /* What is stopping already makes way, too. */
            if (x->released || !(x->stop_requested || preemption_evictable(x, j, within))) continue;
            cpu += x->job->spec.vcpus;
            gpu += x->job->spec.gpus;
            mem += x->job->spec.memory_gb;
        }
        could[z] += times(cpu, gpu, mem, &j->spec);
    }
    /* Enough with what makes way comes first, then most room now: so that the choice stays while room gathers. */
    for (int z = 1; z < zones; z++) {
        bool enough = could[z] >= j->spec.tasks, so_far = could[best] >= j->spec.tasks;
        if (enough != so_far ? enough : here[z] != here[best] ? here[z] > here[best] : could[z] > could[best]) best = z;
    }
    *now = here[best];
    *with = could[best];
    return j->spec.single_zone ? cfg->zones[best] : NULL;
}

/* Whether a fetch would make the job miss the wait that its users accept. */
bool preemption_fetch_too_slow(const struct job *j, const struct machine *m) {
    return !g_hash_table_contains(m->images, j->spec.image) && m->type &&
           j->spec.image_gb / MAX(m->type->fetch_rate, 1e-3) >
               settings_objective_within(cfg, OBJECTIVE_WAIT, j->spec.job_class, 1e9);
}

/* An ordinary machine whose tasks would all make way. */
bool preemption_clears_machine(const struct machine *m) {
    if (m->spot || machines_leaving(m) || m->liveness.preemption_notice_s >= 0 || !m->address[0]) return false;
    for (guint b = 0; b < m->allocations->len; b++) {
        const struct job_spec *s = &((struct allocation *)m->allocations->pdata[b])->job->spec;
        if (!s->allows_spot || s->kind != JOB_ARRAY) return false;
    }
    return true;
}

void preemption_init(const struct settings *s) { cfg = s; }
