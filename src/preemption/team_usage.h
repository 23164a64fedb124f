/* The resources that teams use, compared with their limits and guarantees. All functions need store_lock. */
#ifndef FF_PREEMPTION_TEAM_USAGE_H
#define FF_PREEMPTION_TEAM_USAGE_H
#include <stdbool.h>

#include "../model/job.h"

/* The CPUs and GPUs in use by a team's tasks. */
struct team_usage {
    double vcpus, gpus;
};

/* Returns whether the team's limit, or the shard's part of it, leaves room for `tasks` more tasks of the job. `usage`
 * is the team's usage in the job's shard. */
bool preemption_quota_allows(const struct team_usage *usage, const struct job *job, int tasks);

/* Adds up each team's usage over all shards. Called once in each scheduling round: adding it up for every task on every
 * machine took most of a round's time. */
void preemption_refresh_team_usage(void);

/* Returns by how much the team's usage exceeded its guarantee at the last refresh: in GPUs, or in CPUs if the guarantee
 * names only CPUs. Negative within the guarantee; 0 for team -1. */
double preemption_guarantee_excess(int team);
#endif
