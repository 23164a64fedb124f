/* Chooses the machine that a shard gives to a job of another shard. Internal to the package. Needs store_lock. */
#ifndef FF_REBALANCING_DONATION_H
#define FF_REBALANCING_DONATION_H
#include "../model/machine.h"
#include "../priority/priority.h"

/* Returns the machine of the shard that costs least to give to the job, among empty machines and machines whose tasks
 * may all be preempted for the job. Returns NULL if there is no such machine or the shard's own jobs come first. */
struct machine *donation_choose_machine(int shard, const struct priority_entry *entry);
#endif
