/* Detects unreachable zones from the silence of the machines, for each shard. Called with store_lock held, except for
 * pure functions. */
#ifndef FF_LIVENESS_ZONES_H
#define FF_LIVENESS_ZONES_H
#include <stdbool.h>

#include "../settings/settings.h"

/* Counts over the machines of a shard in one zone that are up and not being returned. */
struct zone_contact {
    int up;
    int heard;                 /* heard recently */
    double shortest_silence_s; /* time since any of the machines was heard; very large if none is up */
};

/* Marks all zones as reachable. */
void zones_reset(void);
/* Fills contacts, one per zone, and updates which zones are unreachable for the shard. */
void zones_update(int shard, struct zone_contact contacts[SETTINGS_ZONES_MAX]);
/* Returns whether the last zones_update of the shard found the zone unreachable. */
bool zones_unreachable(int shard, int zone);
/* Returns the time since the zone was last found reachable again. */
double zones_seconds_since_reachable(int shard, int zone);
/* Returns how long tasks in an unreachable zone may run on after their machine was last heard. */
double zones_task_survival_s(const char *zone);
/* Returns the silence of all machines of a zone after which the zone counts as unreachable; very large for a zone with
 * few machines. Pure. */
double zones_silence_limit_s(int machines, double heartbeat_interval_s);
#endif
