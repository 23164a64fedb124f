/* Before a scheduling round places anything: which machines take tasks, and what is used on each. With store_lock held.
 */
#ifndef FF_PLACEMENT_CANDIDATES_H
#define FF_PLACEMENT_CANDIDATES_H
#include "../settings/settings.h"
#include "bin_packing.h"

/* Once, before the threads start. The settings stay the caller's. */
void placement_init(const struct settings *settings);

/* Fills `round` of each of the shard's machines that are owned: schedulable, occupancy, what is used. */
void placement_prepare_machines(int shard);

/* The shard's oldest steady on-demand machine, which takes tasks first; NULL: it has none. */
struct machine *placement_reception(int shard);

/* The rules by which the shard's tasks are placed. */
struct placement_rules placement_rules(int shard);

/* Seconds without a heartbeat after which a machine takes no more tasks. */
double placement_heartbeat_overdue_s(void);
#endif
