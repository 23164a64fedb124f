/* Progress of jobs: which tasks are done or running. The functions are called with store_lock held. */
#ifndef FF_JOBS_PROGRESS_H
#define FF_JOBS_PROGRESS_H
#include <stdbool.h>

#include "../model/job.h"

/* Called when a machine has reported the task as done; the next scheduling round records it. The tasks of a gang
 * complete together: if one is done, all are. */
void jobs_mark_done(struct job *job, int task);
/* Applies the done tasks in a record of n_tasks tasks from first_task on; task_bits.h defines the format of the text.
 */
void jobs_apply_done_bits(struct job *job, const char *bits_text, int first_task, int n_tasks);
/* Returns whether all tasks are reported as done but the job's record is in no final state yet. A service never
 * completes. */
bool jobs_complete(const struct job *job);
/* Returns the name of the state in responses to users, which is "running" if any task is allocated, and sets *n_running
 * to the number of allocated tasks. */
const char *jobs_state_name(const struct job *job, int *n_running);
#endif
