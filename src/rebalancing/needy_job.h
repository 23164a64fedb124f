/* The job of another shard that waits for a machine. Internal to the package; with store_lock held. */
#ifndef FF_REBALANCING_NEEDY_JOB_H
#define FF_REBALANCING_NEEDY_JOB_H
#include <stdbool.h>

#include "../priority/priority.h"

enum needy_jobs { NEEDY_ON_DEMAND_ONLY, NEEDY_ALLOWING_SPOT };

/* The first job of the shard, in its order, that waits for a machine which none of the shard's own can be: every
 * controller mirrors all records, so that the donor sees it without being asked. False if there is none. */
bool needy_job_find(const struct settings *settings, int shard, enum needy_jobs which, struct priority_entry *found);
#endif
