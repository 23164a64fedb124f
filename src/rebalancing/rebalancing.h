/* Transfers of machines between shards. Each owner looks for jobs of other shards that wait for a machine, and gives
 * one of its own. Called by the scheduler's thread in each scheduling round, with store_lock held. */
#ifndef FF_REBALANCING_H
#define FF_REBALANCING_H
#include <stdbool.h>

#include "../model/machine.h"
#include "../settings/settings.h"

/* Once, before the threads start. The settings stay the caller's. */
void rebalancing_init(const struct settings *settings);

/* Chooses machines of the shard for jobs of others: at most one for each other shard. What runs there is asked to stop;
 * the machine is transferred once it is empty, or stays after a while. */
void rebalancing_plan(int shard);

/* Whether the machine, chosen before, may be transferred in this round. */
bool rebalancing_allowed(const struct machine *machine);
#endif
