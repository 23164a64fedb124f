#include "priority.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../allocations/allocations.h"
#include "../clock/clock.h"
#include "../dependencies/dependencies.h"
#include "../quarantine/quarantine.h"

static const struct settings *cfg;

#define WAIT_BOUND 75 /* nobody is to wait 90 s beside room that fits */

#define NO_AIM_S 300.0 /* where no class has an aim */

bool priority_has_objective(const struct job *j) {
    for (int kind = OBJECTIVE_WAIT; kind <= OBJECTIVE_DEADLINE; kind++)
        if (kind != OBJECTIVE_GUARANTEE &&
            settings_has_objective(cfg, (enum settings_objective_kind)kind, j->spec.job_class))
            return true;
    return false;
}

/* The longest time by which anything is expected to be done. */
static double longest_aim(void) {
    double longest = 0;
    for (int i = 0; i < cfg->n_objectives; i++)
        if (cfg->objectives[i].kind == OBJECTIVE_FINISHED) longest = MAX(longest, cfg->objectives[i].within_s);
    return longest > 0 ? longest : NO_AIM_S;
}

/* When the job is due: the first of the times named by its class's aims that it can still keep; past the last, twice
 * that, and so on. In an overload work that can't be in time any more steps back behind work that can, instead of
 * making all late one after the other; it comes first again when its next time draws near. */
static double due_of(const struct job *j, double now) {
    double age = now - j->ready, last = 0;
    /* Late or large work must not step back for ever: what nothing of has begun for this long goes first in its rank.
     */
    if (age > WAIT_BOUND && j->allocations->len == 0 && j->n_reported_done == 0) return j->ready;
    for (double after = 0;;) {
        double next = -1;
        for (int i = 0; i < cfg->n_objectives; i++) {
            const struct settings_objective *o = &cfg->objectives[i];
            if (o->kind == OBJECTIVE_FINISHED && strcmp(o->job_class, j->spec.job_class) == 0 && o->within_s > after &&
                (next < 0 || o->within_s < next))
                next = o->within_s;
        }
        if (next < 0) break;
        if (age + j->spec.runtime_s <= next) return j->ready + next;
        after = last = next;
    }
    if (last <= 0 && priority_has_objective(j))
        return j->ready + settings_objective_within(cfg, OBJECTIVE_WAIT, j->spec.job_class, 0);
    /* Nobody expects it by a time: it takes turns with what is late for the last of all times. Due at once, a guest's
     * arrays without an aim once kept those with one waiting for 400 s. */
    if (last <= 0) last = longest_aim();
    double d = last * 2;
    while (age + j->spec.runtime_s > d) d *= 2;
    return j->ready + d;
}

static int rank_order(gconstpointer a, gconstpointer b) {
    const struct priority_entry *x = a, *y = b;
    /* What fails wherever it runs delays nobody. */
    bool x_suspect = quarantine_job_suspect(x->job), y_suspect = quarantine_job_suspect(y->job);
    if (x_suspect != y_suspect) return y_suspect ? -1 : 1;
    if (x->within_guarantee != y->within_guarantee) return x->within_guarantee ? -1 : 1;
    if (x->job->priority != y->job->priority) return x->job->priority > y->job->priority ? -1 : 1;
    if (x->due != y->due) return x->due < y->due ? -1 : 1;
    return strcmp(x->job->spec.job_id, y->job->spec.job_id);
}

bool priority_has_guarantee(const struct settings_team *t) { return t->cpus > 0 || t->gpus > 0; }

/* Which jobs are asked for. */
struct rank_filter {
    int shard, team; /* -1: any */
};

static bool asked_for(const struct rank_filter *f, const struct job *j) {
    return (f->shard < 0 || jobs_shard(j) == f->shard) && (f->team < 0 || j->spec.team == f->team);
}

/* Of the jobs, oldest first, those that are asked for: within a guarantee first, then by rank, then by when they are
 * due. The others count towards their teams' guarantees. */
static GArray *rank_jobs(const GPtrArray *jobs, const struct rank_filter *filter) {
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct priority_entry));
    double cpu[SETTINGS_TEAMS] = {0}, gpu[SETTINGS_TEAMS] = {0};
    double now = clock_time_of_day();
    for (guint i = 0; i < jobs->len; i++) {
        struct job *j = jobs->pdata[i];
        if (j->spec.team < 0 || dependencies_unmet(j)) continue;
        if (filter->team >= 0 && j->spec.team != filter->team) continue;
        const struct settings_team *t = &cfg->teams[j->spec.team];
        int left = quarantine_job_suspect(j) ? allocations_count(j) : j->spec.tasks - j->n_reported_done;
        cpu[j->spec.team] += left * j->spec.vcpus;
        gpu[j->spec.team] += left * j->spec.gpus;
        if (!asked_for(filter, j)) continue;
        struct priority_entry r = {j,
                                   priority_has_guarantee(t) && !quarantine_job_suspect(j) &&
                                       (t->cpus <= 0 || cpu[j->spec.team] <= t->cpus + 1e-6) &&
                                       (t->gpus <= 0 || gpu[j->spec.team] <= t->gpus + 1e-6),
                                   MIN(due_of(j, now), j->deadline)};
        g_array_append_val(out, r);
    }
    g_array_sort(out, rank_order);
    return out;
}

static bool teams_divided;

void priority_set_teams_divided(bool any) { teams_divided = any; }

GArray *priority_order_shard(int shard) {
    /* What is within a divided team's guarantee is decided over all its shards. */
    const GPtrArray *jobs = teams_divided ? jobs_active() : jobs_active_of(shard);
    return rank_jobs(jobs, &(struct rank_filter){shard, -1});
}

GArray *priority_order_team(int team) { return rank_jobs(jobs_active(), &(struct rank_filter){-1, team}); }

void priority_init(const struct settings *s) { cfg = s; }
