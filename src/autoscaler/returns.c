/* Chooses the machines to return to the cloud. */
#include <glib.h>
#include <stdbool.h>

#include "../allocations/allocations.h"
#include "../logging/logging.h"
#include "../membership/membership.h"
#include "../schema_version/schema_version.h"
#include "internal.h"
#include "scale_in.h"

/* The ids of the machines to return. */
struct return_list {
    char (*ids)[MACHINE_ID_SIZE];
    int n_ids, max_ids;
    int n_busy; /* machines with tasks */
};

static void add_machine(struct return_list *list, const struct machine *machine, bool has_tasks) {
    g_strlcpy(list->ids[list->n_ids++], machine->id, MACHINE_ID_SIZE);
    list->n_busy += has_tasks;
}

/* Adds machines that have allocations but no record. This state is left if all controllers end after the record of a
 * returned machine was removed but before its allocations were. Such a machine cannot be probed, and the missing record
 * does not prove its return, since records may be read in any order: machines without a record that counted as returned
 * still ran tasks that had been started again elsewhere. So the machine is returned by its id. The cloud's answer
 * proves that the machine is gone; the cloud ignores ids that it does not know. */
static void add_unrecorded_machines(struct return_list *list) {
    if (schema_version_store_unreadable() || !membership_may_answer_workers()) return;
    for (guint i = 0; i < machines_all()->len && list->n_ids < list->max_ids; i++) {
        const struct machine *machine = machines_all()->pdata[i];
        if (!machines_is_unrecorded(machine)) continue;
        log_info("machine %s: it has allocations but no record, returning it", machine->id);
        add_machine(list, machine, true);
    }
}

static bool return_recorded(struct machine *machine) {
    return machine->retirement.returning && !machine->retirement.released && machines_owned(machine);
}

static void add_machines_of_shard(struct return_list *list, int shard, bool has_tasks) {
    const GPtrArray *machines = machines_of_shard(shard);
    for (guint i = 0; i < machines->len && list->n_ids < list->max_ids; i++) {
        struct machine *machine = machines->pdata[i];
        if (return_recorded(machine) && (allocations_count_on_machine(machine) > 0) == has_tasks)
            add_machine(list, machine, has_tasks);
    }
}

static void add_machines_of_owned_shards(struct return_list *list, bool has_tasks) {
    for (int shard = 0; shard < autoscaler_settings->n_shards; shard++)
        if (membership_owns(shard)) add_machines_of_shard(list, shard, has_tasks);
}

/* Machines with tasks come first: their tasks cannot start elsewhere until the cloud has confirmed the return. */
int scale_in_plan_returns(char ids[][MACHINE_ID_SIZE], int max_ids, int *n_busy) {
    struct return_list list = {.ids = ids, .max_ids = max_ids};
    add_machines_of_owned_shards(&list, true);
    add_machines_of_owned_shards(&list, false);
    add_unrecorded_machines(&list);
    *n_busy = list.n_busy;
    return list.n_ids;
}
