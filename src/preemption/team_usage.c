#include "team_usage.h"

#include <glib.h>

#include "../jobs/jobs.h"
#include "../priority/priority.h"
#include "../quota/quota.h"
#include "internal.h"

static struct team_usage held[SETTINGS_TEAMS_MAX]; /* in all shards, as preemption_refresh counted it */

bool preemption_quota_left(const struct team_usage *usage, const struct job *job, int tasks) {
    const struct quota_bound limit = quota_bound(job->spec.team, jobs_shard(job));
    return usage->vcpus + tasks * job->spec.vcpus <= limit.vcpus + PRIORITY_SUM_TOLERANCE &&
           usage->gpus + tasks * job->spec.gpus <= limit.gpus + PRIORITY_SUM_TOLERANCE;
}

void preemption_refresh(void) {
    const GPtrArray *jobs = jobs_active();
    for (int i = 0; i < preemption_settings->n_teams; i++) held[i] = (struct team_usage){0, 0};
    for (guint i = 0; i < jobs->len; i++) {
        const struct job *job = jobs->pdata[i];
        if (job->spec.team < 0) continue;
        held[job->spec.team].vcpus += job->allocations->len * job->spec.vcpus;
        held[job->spec.team].gpus += job->allocations->len * job->spec.gpus;
    }
}

double preemption_over_guarantee(int team) {
    if (team < 0) return 0;
    const struct settings_team *guaranteed = &preemption_settings->teams[team];
    bool only_cpus = guaranteed->gpus <= 0 && guaranteed->cpus > 0;
    return only_cpus ? held[team].vcpus - guaranteed->cpus : held[team].gpus - guaranteed->gpus;
}
