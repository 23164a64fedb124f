/* The machine that a shard gives for a job of another. Internal to the package; with store_lock held. */
#ifndef FF_REBALANCING_DONATION_H
#define FF_REBALANCING_DONATION_H
#include "../model/machine.h"
#include "../priority/priority.h"

/* The machine of the shard that is easiest to spare for the job: an empty one, else one whose tasks may all be
 * preempted for it. NULL: none, or the shard's own work comes first. */
struct machine *donation_choose(int shard, const struct priority_entry *entry);
#endif
