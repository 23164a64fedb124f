/* Prepares the machines of a shard for a scheduling round: which machines can take tasks, and how much of each is used.
 * All functions but placement_init need store_lock. */
#ifndef FF_PLACEMENT_CANDIDATES_H
#define FF_PLACEMENT_CANDIDATES_H
#include "../settings/settings.h"
#include "bin_packing.h"

/* Must be called once, before the threads start. The settings are not copied and must stay valid. */
void placement_init(const struct settings *settings);

/* Sets the member `round` of the shard's machines that this controller owns: whether the machine is schedulable, its
 * occupancy and its resources in use. */
void placement_prepare_machines(int shard);

/* Returns the shard's reception machine, to which tasks go first: the oldest on-demand machine that is up, not being
 * returned and without a preemption notice. Returns NULL if there is none. */
struct machine *placement_reception_machine(int shard);

/* Returns the rules for choosing a machine of the shard. */
struct placement_rules placement_rules(int shard);

/* Returns the seconds without a heartbeat after which a machine takes no more tasks. */
double placement_heartbeat_overdue_s(void);
#endif
