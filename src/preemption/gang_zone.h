/* Chooses the zone in which tasks are preempted for a gang. Called by scheduling rounds, with store_lock held. */
#ifndef FF_PREEMPTION_GANG_ZONE_H
#define FF_PREEMPTION_GANG_ZONE_H
#include <glib.h>

#include "../priority/priority.h"

/* The chosen zone and how much of the gang it can take. */
struct gang_zone {
    const char *name;          /* a string of the settings; NULL: the gang may use several zones, which count as one */
    int tasks_with_preemption; /* tasks that fit once all tasks that may be preempted or are stopping have ended */
};

/* Chooses the zone for the gang; `machines` holds struct machine. A zone in which the whole gang fits with preemption
 * comes first, then a zone in which more of its tasks fit without preemption. */
struct gang_zone preemption_gang_zone(const struct priority_entry *entry, const GPtrArray *machines);
#endif
