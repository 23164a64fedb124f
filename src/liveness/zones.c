#include "zones.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <string.h>
#include <time.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../machines/machines.h"
#include "../membership/membership.h"
#include "internal.h"
#include "liveness.h"
#include "silence.h"

#define NEVER_S 1e9               /* longer than any silence */
#define ZONE_MACHINES_MIN 4       /* with fewer machines, an unreachable zone cannot be told from failed machines */
#define ZONE_MISSED_HEARTBEATS 5  /* heartbeats due from all machines of the zone together, none of which arrived */
#define ZONE_SILENCE_MIN_S 1.5    /* silence limit of a zone with very many machines */
#define ZONE_SILENCE_MARGIN_S 1   /* added to the time by which each machine's heartbeat is due */
#define PROXY_RESPONSE_MARGIN_S 1 /* for the last response of a controller in the zone to reach the worker */

static struct {
    bool unreachable[SHARDS_MAX][SETTINGS_ZONES_MAX];                /* as of the last zones_update */
    struct timespec reachable_again[SHARDS_MAX][SETTINGS_ZONES_MAX]; /* when the zone was last found reachable again */
} zones;

void zones_reset(void) { memset(&zones, 0, sizeof zones); }

double zones_silence_limit_s(int machines, double heartbeat_interval_s) {
    if (machines < ZONE_MACHINES_MIN) return NEVER_S;
    return fmin(heartbeat_interval_s * HEARTBEAT_DUE_INTERVALS + ZONE_SILENCE_MARGIN_S,
                ZONE_SILENCE_MIN_S + heartbeat_interval_s * ZONE_MISSED_HEARTBEATS / machines);
}

bool zones_unreachable(int shard, int zone) { return zones.unreachable[shard][zone]; }

double zones_seconds_since_reachable(int shard, int zone) {
    return clock_seconds_since(zones.reachable_again[shard][zone]);
}

bool liveness_zone_unreachable(int shard, const char *zone) {
    int index = settings_zone(liveness_settings, zone);
    return index >= 0 && membership_owns(shard) && zones.unreachable[shard][index];
}

/* The tasks end when the lease of their machine expires. A controller that is in the unreachable zone still answers the
 * machine's heartbeats, which renews the lease, for as long as its last read of the store is valid. */
double zones_task_survival_s(const char *zone) {
    const struct settings *settings = liveness_settings;
    bool controller_in_zone = strcmp(settings->zone, zone) == 0;
    for (int i = 0; i < settings->n_peers; i++) controller_in_zone |= strcmp(settings->peers[i].zone, zone) == 0;
    return clock_to_seconds(settings->worker_lease) +
           (controller_in_zone ? membership_read_validity_s() + PROXY_RESPONSE_MARGIN_S : 0);
}

static void count_machines(int shard, struct zone_contact contacts[SETTINGS_ZONES_MAX]) {
    double recent_s = silence_heard_recently_s();
    for (int i = 0; i < liveness_settings->n_zones; i++) contacts[i] = (struct zone_contact){0, 0, NEVER_S};
    for (guint i = 0; i < machines_of_shard(shard)->len; i++) {
        const struct machine *machine = machines_of_shard(shard)->pdata[i];
        if (!machine->liveness.up || machines_leaving(machine)) continue;
        int zone = settings_zone(liveness_settings, machine->zone);
        if (zone < 0) continue;
        double silence_s = clock_seconds_since(machine->liveness.last_heard);
        contacts[zone].up++;
        contacts[zone].heard += silence_s < recent_s;
        contacts[zone].shortest_silence_s = fmin(contacts[zone].shortest_silence_s, silence_s);
    }
}

static void set_reachability(int shard, int zone, bool unreachable) {
    bool *recorded = &zones.unreachable[shard][zone];
    if (*recorded == unreachable) return;
    log_info("shard %d: zone %s is %s", shard, liveness_settings->zones[zone],
             unreachable ? "unreachable" : "reachable again");
    if (!unreachable) zones.reachable_again[shard][zone] = clock_now();
    *recorded = unreachable;
}

/* A zone from which no machine is heard is treated as unreachable, rather than each of its machines as failed. */
void zones_update(int shard, struct zone_contact contacts[SETTINGS_ZONES_MAX]) {
    double interval_s = clock_to_seconds(liveness_settings->heartbeat_interval);
    count_machines(shard, contacts);
    for (int i = 0; i < liveness_settings->n_zones; i++)
        set_reachability(shard, i, contacts[i].shortest_silence_s > zones_silence_limit_s(contacts[i].up, interval_s));
}
