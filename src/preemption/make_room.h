/* Preempting tasks on one machine. With store_lock held, from a scheduling round. */
#ifndef FF_PREEMPTION_MAKE_ROOM_H
#define FF_PREEMPTION_MAKE_ROOM_H
#include <glib.h>
#include <stdbool.h>

#include "../priority/priority.h"
#include "team_usage.h"

/* Asks tasks on one of the machines (struct machine) to stop so that one task of the job gets room there, in the zone
 * or (NULL) anywhere. The room is kept for the rest of this round, and goes to the job in the round after the tasks'
 * release, since it comes before them in order. False if no machine can be cleared, or the team's limit is reached;
 * `usage` is that of each team in the shard. */
bool preemption_make_room(const struct priority_entry *entry, const GPtrArray *machines, const char *zone,
                          const struct team_usage *usage);
#endif
