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

#define NEVER_S 1e9
#define ZONE_MACHINES_MIN 4      /* fewer can't tell a zone from its machines */
#define ZONE_HEARTBEATS_MISSED 5 /* so many that were due from all machines between them, and something is cut */
#define ZONE_SILENCE_MIN_S 1.5
#define ZONE_SILENCE_MARGIN_S 1 /* beyond the time at which each machine's heartbeat is due */
#define PROXY_MARGIN_S 1        /* for the proxy's last response to reach its worker */

static struct {
    bool unreachable[SHARDS_MAX][SETTINGS_ZONES]; /* as of the last check */
    struct timespec reachable_again[SHARDS_MAX][SETTINGS_ZONES];
} zones;

void zones_reset(void) { memset(&zones, 0, sizeof zones); }

double zones_silence_s(int machines, double heartbeat_interval_s) {
    if (machines < ZONE_MACHINES_MIN) return NEVER_S;
    return fmin(heartbeat_interval_s * HEARTBEAT_LATENESS + ZONE_SILENCE_MARGIN_S,
                ZONE_SILENCE_MIN_S + heartbeat_interval_s * ZONE_HEARTBEATS_MISSED / machines);
}

bool zones_unreachable(int shard, int zone) { return zones.unreachable[shard][zone]; }

double zones_reachable_again_s(int shard, int zone) { return clock_seconds_since(zones.reachable_again[shard][zone]); }

bool liveness_zone_unreachable(int shard, const char *zone) {
    int index = settings_zone(liveness_settings, zone);
    return index >= 0 && membership_owns(shard) && zones.unreachable[shard][index];
}

/* A controller in there, if there is one, answers the machine for as long as its last read of the store is valid, and
 * then the machine's lease expires. */
double zones_task_survival_s(const char *zone) {
    const struct settings *settings = liveness_settings;
    bool proxy = strcmp(settings->area, zone) == 0;
    for (int i = 0; i < settings->n_seeds; i++) proxy |= strcmp(settings->seeds[i].area, zone) == 0;
    return clock_to_seconds(settings->lease) + (proxy ? membership_read_validity_s() + PROXY_MARGIN_S : 0);
}

static void count_machines(int shard, struct zone_contact contacts[SETTINGS_ZONES]) {
    double lately_s = silence_heard_lately_s();
    for (int i = 0; i < liveness_settings->n_zones; i++) contacts[i] = (struct zone_contact){0, 0, NEVER_S};
    for (guint i = 0; i < machines_of_shard(shard)->len; i++) {
        const struct machine *machine = machines_of_shard(shard)->pdata[i];
        if (!machine->liveness.up || machines_leaving(machine)) continue;
        int zone = settings_zone(liveness_settings, machine->zone);
        if (zone < 0) continue;
        double silence_s = clock_seconds_since(machine->liveness.last_heard);
        contacts[zone].up++;
        contacts[zone].heard += silence_s < lately_s;
        contacts[zone].newest_s = fmin(contacts[zone].newest_s, silence_s);
    }
}

static void note_reachability(int shard, int zone, bool unreachable) {
    bool *known = &zones.unreachable[shard][zone];
    if (*known == unreachable) return;
    log_info("shard %d: zone %s is %s", shard, liveness_settings->zones[zone],
             unreachable ? "unreachable" : "reachable again");
    if (!unreachable) zones.reachable_again[shard][zone] = clock_now();
    *known = unreachable;
}

/* Where nothing is heard any more of a whole zone, it is cut off rather than dead, machine by machine. */
void zones_check(int shard, struct zone_contact contacts[SETTINGS_ZONES]) {
    double heartbeat_interval_s = clock_to_seconds(liveness_settings->heartbeat_interval);
    count_machines(shard, contacts);
    for (int i = 0; i < liveness_settings->n_zones; i++)
        note_reachability(shard, i, contacts[i].newest_s > zones_silence_s(contacts[i].up, heartbeat_interval_s));
}
