/* Whether a task may go to a machine. With store_lock held; within a scheduling round, after
 * placement_prepare_machines. */
#ifndef FF_PLACEMENT_FIT_H
#define FF_PLACEMENT_FIT_H
#include <glib.h>
#include <stdbool.h>

#include "../model/job.h"
#include "../model/machine.h"

/* Room is left for one more task, counting what is allocated and what this round has planned. */
bool placement_fits(const struct machine *machine, const struct job_spec *spec);

/* The job allows the machine's kind, type and zone. `zone` is where the tasks of a single-zone job already are (NULL:
 * nowhere yet); `plans` (NULL: none) are struct planned_task, of which those of the job come last. */
bool placement_allowed(const struct machine *machine, const struct job *job, const char *zone, const GArray *plans);

/* The zone in which a single-zone job has tasks; NULL: none, or the job is not bound to one zone. It belongs to a
 * machine. */
const char *placement_zone(const struct job *job);

/* Takes or returns the room of one task in this round. */
void placement_reserve(struct machine *machine, const struct job_spec *spec);
void placement_release(struct machine *machine, const struct job_spec *spec);
#endif
