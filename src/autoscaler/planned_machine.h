/* The machines of a plan: existing machines and machines on their way, with their free resources. Used by scale-out on
 * the cloud's thread and by rebalancing on the scheduler's thread, with store_lock held. */
#ifndef FF_AUTOSCALER_PLANNED_MACHINE_H
#define FF_AUTOSCALER_PLANNED_MACHINE_H
#include <glib.h>
#include <stdbool.h>

#include "../machines/machines.h"
#include "../placement/resources.h"

/* A machine of a plan. */
struct planned_machine {
    struct rental_request request; /* type, zone and kind of the machine; weight of the request for it */
    struct resources free;
    bool in_other_shard;     /* belongs to another shard; only for jobs that do not allow spot machines */
    bool reserved_for_gangs; /* is up and empty; only for gangs */
};

/* Returns whether the job allows the machine type and a task of the job fits on an empty machine of it. */
bool planned_machine_type_fits(const struct job_spec *spec, const struct machine_type *type);
/* Reserves room for one task of the job. Returns false if the machine has no room, the job may not run on it, or it is
 * not in the zone (NULL: any zone). */
bool planned_machine_reserve_task(struct planned_machine *planned, const struct job *job, const char *zone);
/* Adds an empty machine to an array of struct planned_machine and returns it. The pointer belongs to the array and is
 * valid until the next machine is added. Returns NULL and adds nothing if the type is not known. */
struct planned_machine *planned_machine_add(GArray *machines, const char *type_name, const char *zone, bool spot);
/* Returns whether no CPUs and no GPUs of the machine are reserved. */
bool planned_machine_is_empty(const struct planned_machine *planned);
#endif
