/* How far a job has come: which of its tasks are done or running. With store_lock held. */
#ifndef FF_JOBS_PROGRESS_H
#define FF_JOBS_PROGRESS_H
#include <stdbool.h>

#include "../model/job.h"

/* A machine reported the task done; it is recorded in the next scheduling round. A gang completes together: one task is
 * enough for all. */
void jobs_mark_done(struct job *job, int task);
/* A record says which of so many tasks are done; bits as in task_bits.h. */
void jobs_apply_done_bits(struct job *job, const char *bits, int from, int n);
/* All tasks are reported done, and the record does not say so yet. */
bool jobs_complete(const struct job *job);
/* The state that answers to users name, and how many of its tasks are allocated. */
const char *jobs_state_name(const struct job *job, int *running);
#endif
