/* The list of tasks in a heartbeat, compared with the allocations on record. With store_lock held. */
#ifndef FF_WORKERS_LISTED_TASKS_H
#define FF_WORKERS_LISTED_TASKS_H
#include <stdbool.h>

#include "../machines/machines.h"
#include "codec.h"

#define LISTED_TASKS_ALLOCATIONS_MAX 256 /* of a machine that are compared */

/* The allocation on the machine of the listed task under that attempt; NULL: none on record. */
struct allocation *listed_tasks_find(const struct machine *machine, const struct listed_task *task);
/* The list can be read from end to end. */
bool listed_tasks_readable(const cJSON *tasks);
/* Replaces the machine's unknown tasks with those of cancelled jobs, which are to be stopped. */
void listed_tasks_take_cancelled(struct machine *machine, const cJSON *tasks);
/* Takes in the states of the listed tasks, and replaces the machine's unknown tasks. listed holds
 * LISTED_TASKS_ALLOCATIONS_MAX items: set to true for the allocations that are listed. True if one has ended. */
bool listed_tasks_take(struct machine *machine, const cJSON *tasks, bool *listed);
/* Releases the allocations that are not listed, unless something is under way that may still start them. True if there
 * was one. gang_start_s: for so long a gang's task may take to be listed. */
bool listed_tasks_release_absent(struct machine *machine, const bool *listed, double gang_start_s);
#endif
