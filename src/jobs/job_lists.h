/* Lists of jobs by state and shard. They belong to the package and are changed by it alone.
 *
 * A job is in the shard that its record names, or else in its team's home shard. Lists are kept by jobs_update_lists,
 * once a job's record or its allocations' were taken in. */
#ifndef FF_JOBS_JOB_LISTS_H
#define FF_JOBS_JOB_LISTS_H
#include <glib.h>
#include <stdbool.h>

#include "../model/job.h"
#include "../settings/settings.h"

/* By jobs_init. */
void job_lists_init(const struct settings *settings);

/* With store_lock held. */

GPtrArray *jobs_active(void);         /* struct job, known and in no final state, oldest first */
GPtrArray *jobs_active_of(int shard); /* those of a shard, oldest first */
GPtrArray *jobs_ended_of(int shard);  /* in a final state, with allocations still on record */
bool jobs_any_foreign(void);          /* an active job is in another shard than its team's home */
int jobs_shard(const struct job *job);

/* Puts the job into the lists that it belongs to by now, and takes it out of the others. */
void jobs_update_lists(struct job *job);
/* Takes the job out of the lists of its shard and into those of another, as its record says; -1: its team's home. */
void job_lists_move(struct job *job, int shard);
#endif
