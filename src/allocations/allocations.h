/* What is allocated where: the allocations of jobs and machines, counted and asked to stop. What the store says of them
 * comes in through records.h.
 *
 * Called by the scheduler, by workers, and by whoever decides on machines. All with store_lock held. */
#ifndef FF_ALLOCATIONS_H
#define FF_ALLOCATIONS_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../jobs/chunks.h"
#include "../jobs/jobs.h"
#include "../json/json.h"
#include "../machines/machines.h"

/* Once, before the mirror is started. The settings must outlive the program. */
void allocations_init(const struct settings *settings);

/* An allocation that is released (its task has ended, or is proven absent) counts no more, also while it is on record.
 */

/* The job's allocations, and the machine's. */
int allocations_count(const struct job *job);
int allocations_on_machine(const struct machine *machine);
/* A bit for each of the job's tasks: whether it is allocated. To be freed with g_free. */
uint8_t *allocations_task_bits(const struct job *job);
/* The job's tasks that are neither done nor allocated. */
int allocations_missing_tasks(const struct job *job);
/* The attempt of a gang that has not started and whose remaining tasks were all just shown as fetching or waiting; 0
 * otherwise. Such a gang can be completed under the same attempt. */
int64_t allocations_open_gang_attempt(const struct job *job);

/* Grace of a task that may save a checkpoint, beyond what the flush takes. */
#define ALLOCATIONS_CHECKPOINT_GRACE_S 2
/* Asks a task to end; the first to ask decides with how many seconds of grace. */
void allocations_request_stop(struct allocation *allocation, double grace_s);
#endif
