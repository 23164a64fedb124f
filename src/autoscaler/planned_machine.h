/* Machines as a plan counts them: there or on their way, with the room left on them. Called by scale-out and by
 * rebalancing, on the scheduler's or the cloud's thread, with store_lock held. */
#ifndef FF_AUTOSCALER_PLANNED_MACHINE_H
#define FF_AUTOSCALER_PLANNED_MACHINE_H
#include <glib.h>
#include <stdbool.h>

#include "../machines/machines.h"
#include "../placement/resources.h"

struct planned_machine {
    struct rental_request request; /* its type, zone and kind; the weight of what it is requested for */
    struct resources free;
    bool foreign;        /* another shard's, for work that needs it only */
    bool kept_for_gangs; /* up and whole */
};

/* Whether a task of the job fits on an empty machine of a type that the job allows. */
bool scale_out_type_fits(const struct job_spec *spec, const struct machine_type *type);
/* Takes room for one task of the job, in that zone (NULL: any). False: there is none, or the job may not go there. */
bool planned_machine_take(struct planned_machine *planned, const struct job *job, const char *zone);
/* Adds an empty machine to an array of struct planned_machine. It belongs to the array and is valid until the next is
 * added; NULL: its type is not known, and nothing was added. */
struct planned_machine *planned_machine_add(GArray *machines, const char *type_name, const char *zone, bool spot);
/* Nothing of it is taken. */
bool planned_machine_whole(const struct planned_machine *planned);
#endif
