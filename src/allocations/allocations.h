/* Allocations of tasks to machines: counts them per job and per machine, and requests their stop. records.h creates and
 * frees them when their records are read.
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

/* Called once, before the mirror is started. The settings must stay valid until the process ends. */
void allocations_init(const struct settings *settings);

/* Released allocations (the task has ended or is proven absent) are not counted, even while they are still recorded. */

/* The number of allocations of the job, and on the machine. */
int allocations_count(const struct job *job);
int allocations_count_on_machine(const struct machine *machine);
/* One bit per task of the job: whether the task is allocated. The caller frees it with g_free. */
uint8_t *allocations_task_bits(const struct job *job);
/* The number of the job's tasks that are neither done nor allocated. */
int allocations_missing_tasks(const struct job *job);
/* The attempt of a gang that has not started yet and whose missing tasks can still be allocated under the same attempt:
 * all its allocations belong to that attempt, and their machines have recently listed them as fetching or waiting for
 * the gang. 0 if the job has no such attempt. */
int64_t allocations_open_gang_attempt(const struct job *job);

/* Grace period of a task that saves a checkpoint, in addition to the time that the checkpoint takes. */
#define ALLOCATIONS_CHECKPOINT_GRACE_S 2

/* Requests the stop of a task with a grace period. Has no effect if its stop was requested before. */
void allocations_request_stop(struct allocation *allocation, double grace_s);
#endif
