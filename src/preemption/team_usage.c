#include "team_usage.h"

#include <glib.h>

#include "../jobs/jobs.h"
#include "../priority/priority.h"
#include "../quota/quota.h"
#include "internal.h"

static struct team_usage usage_by_team[SETTINGS_TEAMS_MAX]; /* over all shards, as of the last refresh */

bool preemption_quota_allows(const struct team_usage *usage, const struct job *job, int tasks) {
    const struct quota_bound limit = quota_bound(job->spec.team, jobs_shard(job));
    return usage->vcpus + tasks * job->spec.vcpus <= limit.vcpus + PRIORITY_SUM_TOLERANCE &&
           usage->gpus + tasks * job->spec.gpus <= limit.gpus + PRIORITY_SUM_TOLERANCE;
}

void preemption_refresh_team_usage(void) {
    const GPtrArray *jobs = jobs_active();
    for (int i = 0; i < preemption_settings->n_teams; i++) usage_by_team[i] = (struct team_usage){0, 0};
    for (guint i = 0; i < jobs->len; i++) {
        const struct job *job = jobs->pdata[i];
        if (job->spec.team < 0) continue;
        usage_by_team[job->spec.team].vcpus += job->allocations->len * job->spec.vcpus;
        usage_by_team[job->spec.team].gpus += job->allocations->len * job->spec.gpus;
    }
}

double preemption_guarantee_excess(int team) {
    if (team < 0) return 0;
    const struct settings_team *guarantee = &preemption_settings->teams[team];
    bool only_cpus = guarantee->guaranteed_gpus <= 0 && guarantee->guaranteed_cpus > 0;
    return only_cpus ? usage_by_team[team].vcpus - guarantee->guaranteed_cpus
                     : usage_by_team[team].gpus - guarantee->guaranteed_gpus;
}
