/* Transfers machines between shards. The owner of a shard looks for jobs of other shards that wait for a machine, and
 * transfers machines of its own to these shards. Called by the scheduler's thread in each scheduling round, with
 * store_lock held. */
#ifndef FF_REBALANCING_H
#define FF_REBALANCING_H
#include <stdbool.h>

#include "../model/machine.h"
#include "../settings/settings.h"

/* Must be called once, before the threads start. The settings are not copied and must stay valid. */
void rebalancing_init(const struct settings *settings);

/* Chooses machines of the shard for jobs of other shards, at most one machine for each other shard, and asks the tasks
 * on the chosen machines to stop. A chosen machine is transferred once it is empty; if the tasks take too long to stop,
 * it stays in the shard. */
void rebalancing_plan(int shard);

/* Returns whether the machine was chosen for a transfer and can be transferred in this round. */
bool rebalancing_transfer_allowed(const struct machine *machine);
#endif
