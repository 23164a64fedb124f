/* What teams hold, against their limits and guarantees. With store_lock held. */
#ifndef FF_PREEMPTION_TEAM_USAGE_H
#define FF_PREEMPTION_TEAM_USAGE_H
#include <stdbool.h>

#include "../model/job.h"

/* What a team's tasks take of a shard. */
struct team_usage {
    double vcpus, gpus;
};

/* Whether the team's limit, or its shard's part of it, leaves room for so many more tasks of the job. */
bool preemption_quota_left(const struct team_usage *usage, const struct job *job, int tasks);

/* Counts what each team holds in all shards. Once before a scheduling round: counted for every task on every machine,
 * it once took most of a round's time. */
void preemption_refresh(void);

/* What a team held beyond its guarantee when it was last counted, in GPUs, or in CPUs where only those are guaranteed;
 * below 0: within it. 0 for team -1. */
double preemption_over_guarantee(int team);
#endif
