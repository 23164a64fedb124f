#include "priority.h"

#include <string.h>

#include "../allocations/allocations.h"
#include "../clock/clock.h"
#include "../dependencies/dependencies.h"
#include "../jobs/jobs.h"
#include "../quarantine/quarantine.h"
#include "due.h"

static const struct settings *priority_settings;
static bool any_team_divided; /* any team is divided over several shards */

/* Selects the jobs to be ordered. */
struct order_filter {
    int shard, team; /* -1: any */
};

/* Resources requested by each team's unfinished jobs, summed over the jobs visited so far. */
struct team_demand {
    double vcpus[SETTINGS_TEAMS_MAX], gpus[SETTINGS_TEAMS_MAX];
};

static int compare_entries(gconstpointer left, gconstpointer right) {
    const struct priority_entry *first = left, *second = right;
    /* A suspect job is likely to fail again and must not delay others. */
    bool first_is_suspect = quarantine_job_suspect(first->job), second_is_suspect = quarantine_job_suspect(second->job);
    if (first_is_suspect != second_is_suspect) return second_is_suspect ? -1 : 1;
    if (first->within_guarantee != second->within_guarantee) return first->within_guarantee ? -1 : 1;
    if (first->job->effective_priority != second->job->effective_priority)
        return first->job->effective_priority > second->job->effective_priority ? -1 : 1;
    if (first->due_at != second->due_at) return first->due_at < second->due_at ? -1 : 1;
    return strcmp(first->job->spec.job_id, second->job->spec.job_id);
}

static bool matches_filter(const struct order_filter *filter, const struct job *job) {
    return (filter->shard < 0 || jobs_shard(job) == filter->shard) &&
           (filter->team < 0 || job->spec.team == filter->team);
}

/* A suspect job gets one task at a time, so only its present allocations count. */
static void add_demand(struct team_demand *demand, const struct job *job) {
    int tasks = quarantine_job_suspect(job) ? allocations_count(job) : job->spec.tasks - job->n_reported_done;
    demand->vcpus[job->spec.team] += tasks * job->spec.vcpus;
    demand->gpus[job->spec.team] += tasks * job->spec.gpus;
}

/* Returns whether the team's demand so far, including this job, is within the team's guarantee. A resource without a
 * guarantee is not checked. */
static bool within_guarantee(const struct team_demand *demand, const struct job *job) {
    const struct settings_team *team = &priority_settings->teams[job->spec.team];
    if (team->guaranteed_cpus <= 0 && team->guaranteed_gpus <= 0) return false;
    return !quarantine_job_suspect(job) &&
           (team->guaranteed_cpus <= 0 ||
            demand->vcpus[job->spec.team] <= team->guaranteed_cpus + PRIORITY_SUM_TOLERANCE) &&
           (team->guaranteed_gpus <= 0 ||
            demand->gpus[job->spec.team] <= team->guaranteed_gpus + PRIORITY_SUM_TOLERANCE);
}

/* Orders the jobs that match the filter; `jobs` are sorted oldest first. A team's jobs in other shards only add to its
 * demand. */
static GArray *order_jobs(const GPtrArray *jobs, struct order_filter filter) {
    GArray *order = g_array_new(FALSE, FALSE, sizeof(struct priority_entry));
    struct team_demand demand = {{0}, {0}};
    double now = clock_time_of_day();
    for (guint i = 0; i < jobs->len; i++) {
        struct job *job = jobs->pdata[i];
        if (job->spec.team < 0 || dependencies_unmet(job)) continue;
        if (filter.team >= 0 && job->spec.team != filter.team) continue;
        add_demand(&demand, job);
        if (!matches_filter(&filter, job)) continue;
        double due_at_objective = job_due_time(priority_settings, job, now);
        struct priority_entry entry = {job, within_guarantee(&demand, job),
                                       MIN(due_at_objective, job->effective_deadline)};
        g_array_append_val(order, entry);
    }
    g_array_sort(order, compare_entries);
    return order;
}

GArray *priority_order_shard(int shard) {
    /* The demand of a divided team is summed over all its shards. */
    const GPtrArray *jobs = any_team_divided ? jobs_active() : jobs_active_in_shard(shard);
    return order_jobs(jobs, (struct order_filter){.shard = shard, .team = -1});
}

GArray *priority_order_team(int team) {
    return order_jobs(jobs_active(), (struct order_filter){.shard = -1, .team = team});
}

void priority_set_teams_divided(bool divided) { any_team_divided = divided; }

bool priority_has_objective(const struct job *job) { return due_has_objective(priority_settings, job); }

void priority_init(const struct settings *settings) { priority_settings = settings; }
