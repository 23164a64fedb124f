/* Compares the list of tasks in a heartbeat, or in an answer to a command, with the machine's allocations. All
 * functions are called with store_lock held. */
#ifndef FF_WORKERS_LISTED_TASKS_H
#define FF_WORKERS_LISTED_TASKS_H
#include <stdbool.h>

#include "../machines/machines.h"
#include "codec.h"

#define LISTED_TASKS_ALLOCATIONS_MAX 256 /* number of a machine's allocations that are looked up in the list */

/* Returns the machine's allocation of the listed task and attempt, or NULL if there is none. */
struct allocation *listed_tasks_find(const struct machine *machine, const struct listed_task *task);
/* Returns whether tasks is an array in which every item names a task and an attempt. */
bool listed_tasks_valid(const cJSON *tasks);
/* Replaces the machine's unknown tasks with those listed tasks that belong to cancelled jobs and have not ended, so
 * that these tasks are stopped. */
void listed_tasks_collect_cancelled(struct machine *machine, const cJSON *tasks);
/* Applies the states of the listed tasks to their allocations, and replaces the machine's unknown tasks with the listed
 * tasks that have no allocation. Sets listed[i] to true if the machine's allocation i is listed; listed has
 * LISTED_TASKS_ALLOCATIONS_MAX items. Returns true if an allocation was released because its task ended. */
bool listed_tasks_apply(struct machine *machine, const cJSON *tasks, bool *listed);
/* Releases the allocations that are not listed and proven absent, unless a command may still start their tasks; notes
 * whether that takes a higher fencing token to rule out. Returns true if it released any. gang_start_s: how many
 * seconds after its allocation a gang's task has to be listed. */
bool listed_tasks_release_absent(struct machine *machine, const bool *listed, double gang_start_s);
#endif
