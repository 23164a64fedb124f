#include "priority.h"

#include <string.h>

#include "../allocations/allocations.h"
#include "../clock/clock.h"
#include "../dependencies/dependencies.h"
#include "../jobs/jobs.h"
#include "../quarantine/quarantine.h"
#include "due.h"

static const struct settings *priority_settings;
static bool teams_divided; /* a team is divided over several shards */

/* Which jobs are asked for. */
struct order_filter {
    int shard, team; /* -1: any */
};

/* What the unfinished jobs of each team ask for, as far as they have been gone through. */
struct team_demand {
    double vcpus[SETTINGS_TEAMS], gpus[SETTINGS_TEAMS];
};

static int compare_entries(gconstpointer left, gconstpointer right) {
    const struct priority_entry *first = left, *second = right;
    /* What fails wherever it runs delays nobody. */
    bool first_suspect = quarantine_job_suspect(first->job), second_suspect = quarantine_job_suspect(second->job);
    if (first_suspect != second_suspect) return second_suspect ? -1 : 1;
    if (first->within_guarantee != second->within_guarantee) return first->within_guarantee ? -1 : 1;
    if (first->job->priority != second->job->priority) return first->job->priority > second->job->priority ? -1 : 1;
    if (first->due != second->due) return first->due < second->due ? -1 : 1;
    return strcmp(first->job->spec.job_id, second->job->spec.job_id);
}

static bool asked_for(const struct order_filter *filter, const struct job *job) {
    return (filter->shard < 0 || jobs_shard(job) == filter->shard) &&
           (filter->team < 0 || job->spec.team == filter->team);
}

/* A suspect job counts with what it has: it gets one task at a time. */
static void add_demand(struct team_demand *demand, const struct job *job) {
    int tasks = quarantine_job_suspect(job) ? allocations_count(job) : job->spec.tasks - job->n_reported_done;
    demand->vcpus[job->spec.team] += tasks * job->spec.vcpus;
    demand->gpus[job->spec.team] += tasks * job->spec.gpus;
}

/* Whether the team's demand so far, this job's included, is within the team's guarantee. A component that nothing is
 * guaranteed of does not count. */
static bool within_guarantee(const struct team_demand *demand, const struct job *job) {
    const struct settings_team *team = &priority_settings->teams[job->spec.team];
    if (team->cpus <= 0 && team->gpus <= 0) return false;
    return !quarantine_job_suspect(job) &&
           (team->cpus <= 0 || demand->vcpus[job->spec.team] <= team->cpus + PRIORITY_SUM_TOLERANCE) &&
           (team->gpus <= 0 || demand->gpus[job->spec.team] <= team->gpus + PRIORITY_SUM_TOLERANCE);
}

/* Those of the jobs, oldest first, that are asked for. The others count towards their teams' guarantees. */
static GArray *order_jobs(const GPtrArray *jobs, struct order_filter filter) {
    GArray *order = g_array_new(FALSE, FALSE, sizeof(struct priority_entry));
    struct team_demand demand = {{0}, {0}};
    double now = clock_time_of_day();
    for (guint i = 0; i < jobs->len; i++) {
        struct job *job = jobs->pdata[i];
        if (job->spec.team < 0 || dependencies_unmet(job)) continue;
        if (filter.team >= 0 && job->spec.team != filter.team) continue;
        add_demand(&demand, job);
        if (!asked_for(&filter, job)) continue;
        double due = due_time(priority_settings, job, now);
        struct priority_entry entry = {job, within_guarantee(&demand, job), MIN(due, job->deadline)};
        g_array_append_val(order, entry);
    }
    g_array_sort(order, compare_entries);
    return order;
}

GArray *priority_order_shard(int shard) {
    /* What is within a divided team's guarantee is decided over all its shards. */
    const GPtrArray *jobs = teams_divided ? jobs_active() : jobs_active_of(shard);
    return order_jobs(jobs, (struct order_filter){.shard = shard, .team = -1});
}

GArray *priority_order_team(int team) {
    return order_jobs(jobs_active(), (struct order_filter){.shard = -1, .team = team});
}

void priority_set_teams_divided(bool any) { teams_divided = any; }

bool priority_has_objective(const struct job *job) { return due_has_objective(priority_settings, job); }

void priority_init(const struct settings *settings) { priority_settings = settings; }
