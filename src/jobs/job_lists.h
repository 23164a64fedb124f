/* Lists of jobs by state and shard. Only this package changes them.
 *
 * A job is in the shard that its record names, or else in the home shard of its team. jobs_update_lists is called after
 * the record of a job or of its allocations was applied. */
#ifndef FF_JOBS_JOB_LISTS_H
#define FF_JOBS_JOB_LISTS_H
#include <glib.h>
#include <stdbool.h>

#include "../model/job.h"
#include "../settings/settings.h"

/* Called by jobs_init. Keeps the pointer to the settings. */
void job_lists_init(const struct settings *settings);

/* The functions below are called with store_lock held. */

/* Return the unfinished jobs (struct job), the oldest first. A job is unfinished if it is recorded and in no final
 * state. */
GPtrArray *jobs_active(void);
GPtrArray *jobs_active_in_shard(int shard);
/* Returns the jobs of a shard that are in a final state and still have records of allocations. */
GPtrArray *jobs_ended_in_shard(int shard);
/* Returns whether any unfinished job is outside its team's home shard. */
bool jobs_any_outside_home_shard(void);
/* Returns the shard of the job. */
int jobs_shard(const struct job *job);

/* Adds the job to the lists that it now belongs to, and removes it from the others. */
void jobs_update_lists(struct job *job);
/* Moves the job to the lists of the shard that its record names; -1: the home shard of its team. */
void job_lists_move(struct job *job, int shard);
#endif
