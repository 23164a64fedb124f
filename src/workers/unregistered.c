#include "unregistered.h"

#include <glib.h>
#include <string.h>
#include <time.h>

#include "../clock/clock.h"
#include "../machines/machines.h"
#include "../store/store.h"
#include "codec.h"
#include "commands.h"

#define ADOPTION_DELAY_S 8.0    /* time that the controller which rented a machine has to record it */
#define INSPECTION_INTERVAL_S 2 /* shortest time between two inspections of the same machine */

struct inspection {
    struct timespec first_heartbeat, last_inspection;
};

static GHashTable *inspections; /* machine id -> struct inspection; guarded by store_lock */

static struct inspection *find_or_add_inspection(const char *machine_id) {
    if (!inspections) inspections = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    struct inspection *inspection = g_hash_table_lookup(inspections, machine_id);
    if (!inspection) {
        inspection = g_new0(struct inspection, 1);
        inspection->first_heartbeat = clock_now();
        g_hash_table_insert(inspections, g_strdup(machine_id), inspection);
    }
    return inspection;
}

/* A machine is adopted only after it has answered an inspection, since the heartbeat may be a late copy from a machine
 * that was returned long ago. It is not inspected before ADOPTION_DELAY_S, since the controller that rented it may be
 * about to record it. */
void unregistered_inspect(const char *machine_id, const char *address) {
    struct inspection *inspection = find_or_add_inspection(machine_id);
    if (clock_seconds_since(inspection->first_heartbeat) < ADOPTION_DELAY_S ||
        (inspection->last_inspection.tv_sec &&
         clock_seconds_since(inspection->last_inspection) < INSPECTION_INTERVAL_S))
        return;
    inspection->last_inspection = clock_now();
    commands_push(QUEUE_PROBES, command_new(COMMAND_INSPECT, machine_id, address));
}

void unregistered_handle_answer(const char *machine_id, const char *address, const cJSON *answer) {
    struct heartbeat worker_state = codec_read_heartbeat(answer);
    if (!worker_state.machine_id || strcmp(worker_state.machine_id, machine_id) != 0 || !worker_state.type_name ||
        !worker_state.zone)
        return;
    store_lock();
    machines_adopt(machine_id, address, worker_state.type_name, worker_state.zone, worker_state.spot);
    store_unlock();
}
