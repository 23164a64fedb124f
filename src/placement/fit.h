/* Checks whether a task may be placed on a machine. All functions need store_lock and, within a scheduling round, must
 * be called after placement_prepare_machines. */
#ifndef FF_PLACEMENT_FIT_H
#define FF_PLACEMENT_FIT_H
#include <glib.h>
#include <stdbool.h>

#include "../model/job.h"
#include "../model/machine.h"

/* Returns whether the machine has room for a task besides its allocations and the tasks planned in this round. */
bool placement_fits(const struct machine *machine, const struct job_spec *spec);

/* Returns whether the job allows the machine's kind (spot or on-demand), type and zone, and is within the limit on a
 * spread job's tasks in one zone. `zone` is where a single-zone job already has tasks (NULL: nowhere yet). `plans`
 * holds this round's struct planned_task, the tasks of the job last (NULL: no tasks). */
bool placement_allowed(const struct machine *machine, const struct job *job, const char *zone, const GArray *plans);

/* Returns the zone in which a single-zone job has tasks; NULL if it has none or is not a single-zone job. The string
 * belongs to a machine. */
const char *placement_job_zone(const struct job *job);

/* Reserve or free the resources of one task on the machine for the rest of this round. */
void placement_reserve(struct machine *machine, const struct job_spec *spec);
void placement_release(struct machine *machine, const struct job_spec *spec);
#endif
