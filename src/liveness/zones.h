/* Zones that are cut off, as each shard's machines show it. With store_lock held, but for what is pure. */
#ifndef FF_LIVENESS_ZONES_H
#define FF_LIVENESS_ZONES_H
#include <stdbool.h>

#include "../settings/settings.h"

/* What is heard of a shard's machines in a zone that are up. */
struct zone_contact {
    int up;
    int heard;       /* lately */
    double newest_s; /* since any of them was heard */
};

/* Forgets what was noted of zones. */
void zones_reset(void);
/* Counts the shard's machines in each zone, and notes which zones are unreachable. contacts: an item a zone. */
void zones_check(int shard, struct zone_contact contacts[SETTINGS_ZONES]);
/* As of the last check of the shard. */
bool zones_unreachable(int shard, int zone);
/* Seconds since the zone was found reachable again. */
double zones_reachable_again_s(int shard, int zone);
/* For how long the tasks of a machine in an unreachable zone may live on after it was last heard. */
double zones_task_survival_s(const char *zone);
/* Pure: after how long a silence of all of so many machines of a zone the zone counts as cut off. */
double zones_silence_s(int machines, double heartbeat_interval_s);
#endif
