/* Which machines are returned to the cloud now. */
#include <glib.h>
#include <stdbool.h>

#include "../allocations/allocations.h"
#include "../logging/logging.h"
#include "../membership/membership.h"
#include "../schema_version/schema_version.h"
#include "internal.h"
#include "scale_in.h"

/* The list that is filled. */
struct return_list {
    char (*ids)[MACHINE_ID_SIZE];
    int n, most;
    int n_busy; /* with tasks */
};

static void add(struct return_list *list, const struct machine *machine, bool busy) {
    g_strlcpy(list->ids[list->n++], machine->id, MACHINE_ID_SIZE);
    list->n_busy += busy;
}

/* If all controllers end between the record that drops a returned machine and the one that drops its allocations, these
 * name a machine that nobody can probe. That no record names it proves nothing, since records may be read in any order:
 * taken for returned, such machines once ran tasks that were started elsewhere. It is returned by its name; the cloud's
 * answer proves that it is gone, and a name that it does not know is ignored. */
static void add_unrecorded(struct return_list *list) {
    if (schema_version_store_unreadable() || !membership_may_answer_workers()) return;
    for (guint i = 0; i < machines_all()->len && list->n < list->most; i++) {
        const struct machine *machine = machines_all()->pdata[i];
        if (!machines_unrecorded(machine)) continue;
        log_info("machine %s: tasks are allocated on it and no record names it, returning it", machine->id);
        add(list, machine, true);
    }
}

static bool return_recorded(struct machine *machine) {
    return machine->retirement.returning && !machine->retirement.released && machines_owned(machine);
}

static void add_of_shard(struct return_list *list, int shard, bool busy) {
    const GPtrArray *machines = machines_of_shard(shard);
    for (guint i = 0; i < machines->len && list->n < list->most; i++) {
        struct machine *machine = machines->pdata[i];
        if (return_recorded(machine) && (allocations_count_on_machine(machine) > 0) == busy) add(list, machine, busy);
    }
}

static void add_owned(struct return_list *list, bool busy) {
    for (int shard = 0; shard < autoscaler_settings->n_shards; shard++)
        if (membership_owns(shard)) add_of_shard(list, shard, busy);
}

/* Those with tasks first: until the cloud has answered, these can't start elsewhere. */
int scale_in_plan_returns(char ids[][MACHINE_ID_SIZE], int most, int *busy) {
    struct return_list list = {.ids = ids, .most = most};
    add_owned(&list, true);
    add_owned(&list, false);
    add_unrecorded(&list);
    *busy = list.n_busy;
    return list.n;
}
