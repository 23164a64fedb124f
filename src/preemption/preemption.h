/* Which tasks are preempted for which job, and on which machine. Called by scheduling rounds, the autoscaler and
 * rebalancing, with store_lock held.
 *
 * team_usage.h compares what teams hold with their limits and guarantees, preemptible.h tells whether a task may be
 * preempted, make_room.h preempts tasks on one machine, gang_zone.h chooses the zone for a gang. */
#ifndef FF_PREEMPTION_H
#define FF_PREEMPTION_H
#include "gang_zone.h"
#include "make_room.h"
#include "preemptible.h"
#include "team_usage.h"

/* Once, before the threads start. The settings stay the caller's. */
void preemption_init(const struct settings *settings);
#endif
