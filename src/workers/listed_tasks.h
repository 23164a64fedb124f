/* Compares the list of tasks in a heartbeat or an answer with the machine's allocations on record. All functions must
 * be called with store_lock held. */
#ifndef FF_WORKERS_LISTED_TASKS_H
#define FF_WORKERS_LISTED_TASKS_H
#include <stdbool.h>

#include "../machines/machines.h"
#include "codec.h"

#define LISTED_TASKS_ALLOCATIONS_MAX 256 /* allocations of a machine that are checked for absence from the list */

/* Returns the machine's allocation of the listed task and attempt; NULL: none on record. */
struct allocation *listed_tasks_find(const struct machine *machine, const struct listed_task *task);
/* Tells whether tasks is an array whose every item names a task and an attempt. */
bool listed_tasks_valid(const cJSON *tasks);
/* Replaces the machine's unknown tasks with the listed tasks of cancelled jobs that have not ended, so that these are
 * stopped. */
void listed_tasks_collect_cancelled(struct machine *machine, const cJSON *tasks);
/* Applies the states of the listed tasks to their allocations, and replaces the machine's unknown tasks with the listed
 * ones that have no allocation. Sets the items of listed, which has LISTED_TASKS_ALLOCATIONS_MAX, to true for the
 * allocations that are listed. Returns true if an allocation was released because its task ended. */
bool listed_tasks_apply(struct machine *machine, const cJSON *tasks, bool *listed);
/* Releases the allocations that are not listed and proven absent, unless a command may still start their tasks. Returns
 * true if it released one. gang_start_s: seconds after its allocation until which a gang's task need not be listed. */
bool listed_tasks_release_absent(struct machine *machine, const bool *listed, double gang_start_s);
#endif
