/* Allocations of tasks to machines: counts allocations per job and per machine, and requests the stop of tasks.
 * records.h creates and frees allocations when it reads their records.
 *
 * Called by the scheduler, by workers and by the packages that decide on machines, all with store_lock held. */
#ifndef FF_ALLOCATIONS_H
#define FF_ALLOCATIONS_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../jobs/chunks.h"
#include "../jobs/jobs.h"
#include "../json/json.h"
#include "../machines/machines.h"

/* Called once, before the mirror is started. Keeps the pointer to the settings. */
void allocations_init(const struct settings *settings);

/* The counts below leave out released allocations, whose tasks have ended or are proven absent, even while they are
 * still recorded. */

/* Return the number of allocations of the job, and on the machine. */
int allocations_count(const struct job *job);
int allocations_count_on_machine(const struct machine *machine);
/* Returns one bit per task of the job: whether the task is allocated. The caller frees the bits with g_free. */
uint8_t *allocations_task_bits(const struct job *job);
/* Returns the number of the job's tasks that are neither done nor allocated. */
int allocations_missing_tasks(const struct job *job);
/* Returns the open attempt of a gang, or 0 if the gang has none. An attempt is open as long as the gang has not started
 * and its missing tasks can be allocated under the attempt: all allocations of the gang belong to the attempt, and
 * their machines have recently listed the tasks as fetching their image or waiting for the gang. */
int64_t allocations_open_gang_attempt(const struct job *job);

/* Part of the grace period of a task that saves a checkpoint, beside the time that the checkpoint takes. */
#define ALLOCATIONS_CHECKPOINT_GRACE_S 2

/* Requests the stop of a task with a grace period. Has no effect if its stop was requested before. */
void allocations_request_stop(struct allocation *allocation, double grace_s);
#endif
