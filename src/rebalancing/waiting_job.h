/* Finds a job of another shard that waits for a machine. Internal to the package. Needs store_lock. */
#ifndef FF_REBALANCING_WAITING_JOB_H
#define FF_REBALANCING_WAITING_JOB_H
#include <stdbool.h>

#include "../priority/priority.h"

/* Which jobs are considered: jobs that need on-demand machines, or jobs that allow spot machines. */
enum waiting_job_kind { WAITING_JOB_ON_DEMAND_ONLY, WAITING_JOB_ALLOWING_SPOT };

/* Finds the first job of the shard, in its order, that waits for a machine because none of the shard's machines has
 * room for it. Every controller mirrors all records, so the owner of any other shard can find the job. Returns
 * false if there is no such job. */
bool waiting_job_find(const struct settings *settings, int shard, enum waiting_job_kind waiting_kind,
                      struct priority_entry *found);
#endif
