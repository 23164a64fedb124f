#include "proxy.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../membership/membership.h"
#include "../peers/peers.h"
#include "../store/store.h"
#include "directives.h"
#include "listed_tasks.h"

static const struct settings *settings;

void proxy_init(const struct settings *new_settings) { settings = new_settings; }

bool proxy_may_answer(const struct machine *machine) {
    const char *owner = machine->shard < 0 ? "" : membership_shard(machine->shard)->owner;
    return store_unreachable() && membership_may_answer_workers() && strcmp(machine->zone, settings->zone) == 0 &&
           strcmp(owner, settings->node) != 0 && !peers_is_reachable(owner);
}

static int count_cancelled_allocations(const struct machine *machine) {
    int n = 0;
    for (guint i = 0; i < machine->allocations->len; i++)
        n += ((const struct allocation *)machine->allocations->pdata[i])->job->state == JOB_CANCELLED;
    return n;
}

/* Counts each allocation once, even if the heartbeat lists its task twice. */
static int count_listed_cancelled_allocations(const struct machine *machine, const cJSON *tasks) {
    int n = 0;
    const cJSON *item;
    GHashTable *counted = g_hash_table_new(g_direct_hash, g_direct_equal);
    cJSON_ArrayForEach(item, tasks) {
        struct listed_task task;
        struct allocation *allocation = codec_read_task(item, &task) ? listed_tasks_find(machine, &task) : NULL;
        if (allocation && allocation->job->state == JOB_CANCELLED) n += g_hash_table_add(counted, allocation);
    }
    g_hash_table_destroy(counted);
    return n;
}

bool proxy_start_may_be_in_flight(const struct machine *machine, const cJSON *tasks) {
    return count_listed_cancelled_allocations(machine, tasks) < count_cancelled_allocations(machine);
}

cJSON *proxy_response(struct machine *machine, const struct heartbeat *heartbeat) {
    cJSON *directives = cJSON_CreateArray();
    listed_tasks_collect_cancelled(machine, heartbeat->tasks);
    directives_add_unknown_stops(machine, directives);
    return codec_write_response(MAX(machines_fencing_token(machine), heartbeat->fencing_token), directives);
}
