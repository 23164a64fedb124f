/* Preempts tasks on one machine. Called by scheduling rounds, with store_lock held. */
#ifndef FF_PREEMPTION_MAKE_ROOM_H
#define FF_PREEMPTION_MAKE_ROOM_H
#include <glib.h>
#include <stdbool.h>

#include "../priority/priority.h"
#include "team_usage.h"

/* Asks tasks on one of the machines (struct machine) to stop so that one task of the job fits there. Only machines in
 * `zone` are considered (NULL: in any zone). The resources stay reserved for the rest of this round. The job gets the
 * resources in the round after the tasks are released, since it precedes the preempted jobs in the order. `usage` is
 * indexed by team and holds the usage in the shard. Returns false if no machine can be cleared or the team's limit is
 * reached. */
bool preemption_make_room(const struct priority_entry *entry, const GPtrArray *machines, const char *zone,
                          const struct team_usage *usage);
#endif
