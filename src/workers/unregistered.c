#include "unregistered.h"

#include <glib.h>
#include <string.h>
#include <time.h>

#include "../clock/clock.h"
#include "../machines/machines.h"
#include "../store/store.h"
#include "codec.h"
#include "commands.h"

#define ADOPTION_DELAY_S 8.0    /* for so long a machine that nobody has recorded is left to who rented it */
#define INSPECTION_INTERVAL_S 2 /* between inspections of a machine */

struct inspection {
    struct timespec first_heartbeat, last_inspection;
};

static GHashTable *inspections; /* machine's id -> struct inspection; under store_lock */

static struct inspection *find_or_add(const char *machine_id) {
    if (!inspections) inspections = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    struct inspection *inspection = g_hash_table_lookup(inspections, machine_id);
    if (!inspection) {
        inspection = g_new0(struct inspection, 1);
        inspection->first_heartbeat = clock_now();
        g_hash_table_insert(inspections, g_strdup(machine_id), inspection);
    }
    return inspection;
}

/* The heartbeat may be a late copy from a machine that was returned long ago: only one that answers is adopted. Nor at
 * once: who rented it may be about to record it. */
void unregistered_inspect(const char *machine_id, const char *address) {
    struct inspection *inspection = find_or_add(machine_id);
    if (clock_seconds_since(inspection->first_heartbeat) < ADOPTION_DELAY_S ||
        (inspection->last_inspection.tv_sec &&
         clock_seconds_since(inspection->last_inspection) < INSPECTION_INTERVAL_S))
        return;
    inspection->last_inspection = clock_now();
    commands_push(QUEUE_PROBES, command_new(COMMAND_INSPECT, machine_id, address));
}

void unregistered_take_answer(const char *machine_id, const char *address, const cJSON *answer) {
    struct heartbeat shown = codec_read_heartbeat(answer);
    if (!shown.machine_id || strcmp(shown.machine_id, machine_id) != 0 || !shown.type_name || !shown.zone) return;
    store_lock();
    machines_adopt(machine_id, address, shown.type_name, shown.zone, shown.spot);
    store_unlock();
}
