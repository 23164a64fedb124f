/* Cascading cancellation: a job is cancelled if one of its prerequisites is cancelled, directly or through other jobs.
 * Such jobs are marked when the record of the prerequisite is read; a thread then writes their records. Used inside the
 * package only. */
#ifndef FF_DEPENDENCIES_CASCADE_H
#define FF_DEPENDENCIES_CASCADE_H
#include "../model/job.h"
#include "../settings/settings.h"

/* Called by dependencies_init. Keeps the pointer to the settings. */
void cascade_init(const struct settings *settings);

/* The functions below are called with store_lock held. */

/* Marks the job if one of its prerequisites is cancelled or marked. */
void cascade_check(struct job *job);
/* Marks the job and all jobs that depend on it, directly or through others, unless they have ended. */
void cascade_mark(struct job *job);
/* Fills next_jobs with up to jobs_max marked jobs whose cancellation this controller has to write now, prerequisites
 * before their dependents, and returns the number of these jobs. At first, only the controller that acknowledged the
 * cancellation to a user writes; after a delay also the owner of the job's shard; later any controller, because the
 * others may have stopped. */
int cascade_next_jobs(struct job **next_jobs, int jobs_max);
#endif
