/* Chains of jobs: which job needs which others, what follows from that for its order, and the cancellation of what
 * needs a cancelled job.
 *
 * A job starts only once the record of each of its prerequisites says done. That state is final, so that a job that
 * still waits, and all that need it, have never had a task. Cancellation therefore is a matter of records alone: a job
 * whose prerequisite is recorded as cancelled, directly or through others, is to be cancelled, and any controller may
 * write it at any time. */
#ifndef FF_DEPENDENCIES_H
#define FF_DEPENDENCIES_H
#include <stdbool.h>

#include "../http/client.h"
#include "../jobs/jobs.h"

void dependencies_init(const struct settings *s);
void dependencies_start(void);
void dependencies_wake(void); /* there may be cancellations to pass on */

/* All with store_lock held. */

/* A prerequisite is not recorded as done: nothing of the job may start, and it takes part in nothing. */
bool dependencies_unmet(const struct job *j);
/* Its record still has to be changed to cancelled: its user is told nothing else any more. */
bool dependencies_must_cancel(const struct job *j);
/* Whether a job with these prerequisites is to be cancelled. */
bool dependencies_any_cancelled(char *const *prerequisites);
/* Jobs to be cancelled whose turn it is to be written by this controller; at most so many. */
int dependencies_next_cancellations(struct job **out, int most);

/* Without the lock. Whether a submission may name these jobs: 0, 422 with the reason, or 503 where the store can't
 * tell. A name not mirrored yet is read from the store: it may have been accepted elsewhere a moment ago. */
unsigned dependencies_check(struct http_client *c, const char *job_id, char *const *prerequisites, char *why, size_t n);
#endif
