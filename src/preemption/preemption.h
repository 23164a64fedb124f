/* Preemption: stops tasks whose resources another job needs. Called by scheduling rounds, the autoscaler and
 * rebalancing, with store_lock held.
 *
 * team_usage.h compares the usage of teams with their limits and guarantees, preemptible.h checks whether a task may be
 * preempted, make_room.h preempts tasks on one machine, gang_zone.h chooses the zone for a gang. */
#ifndef FF_PREEMPTION_H
#define FF_PREEMPTION_H
#include "gang_zone.h"
#include "make_room.h"
#include "preemptible.h"
#include "team_usage.h"

/* Must be called once, before the threads start. The settings are not copied and must stay valid. */
void preemption_init(const struct settings *settings);
#endif
