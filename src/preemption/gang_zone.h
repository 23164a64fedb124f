/* The zone in which room is made for a gang. With store_lock held, from a scheduling round. */
#ifndef FF_PREEMPTION_GANG_ZONE_H
#define FF_PREEMPTION_GANG_ZONE_H
#include <glib.h>

#include "../priority/priority.h"

struct gang_zone {
    const char *name;    /* the settings'; NULL: the gang may be in several zones, and all are counted together */
    int with_preemption; /* tasks of the gang that have room there, counting what may be preempted or stops already */
};

/* The zone in which most tasks of the gang have room on the machines (struct machine). */
struct gang_zone preemption_gang_zone(const struct priority_entry *entry, const GPtrArray *machines);
#endif
