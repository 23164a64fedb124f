/* Dependencies between jobs: jobs wait for their prerequisites, prerequisites inherit the priority and deadline of
 * their dependents, and the dependents of a cancelled job are cancelled.
 *
 * A job starts only when the records of all its prerequisites have the state done. This state is final, so a job that
 * still waits, and every job that depends on it, has never had a task. To cancel such a job, only its record has to be
 * changed: if a prerequisite, direct or through other jobs, is recorded as cancelled, any controller may cancel the job
 * at any time.
 *
 * graph.c links the jobs and counts unmet prerequisites; urgency.c passes priorities and deadlines from dependents to
 * prerequisites; cascade.c cancels dependents; submission_check.c checks the prerequisites of submissions. */
#ifndef FF_DEPENDENCIES_H
#define FF_DEPENDENCIES_H
#include <stdbool.h>

#include "../http/client.h"
#include "../model/job.h"
#include "../settings/settings.h"

/* Called by service at startup, after jobs_init and before any record is read. Keeps the pointer to the settings. */
void dependencies_init(const struct settings *settings);
/* Starts the thread that cancels dependents. Called by service, after dependencies_init. */
void dependencies_start(void);

/* Makes that thread look for jobs to cancel now. Called from any thread, with or without store_lock. */
void dependencies_wake(void);

/* The next three functions are called with store_lock held. */

/* Returns whether a prerequisite of the job is not recorded as done yet. As long as this is so, the job is not
 * scheduled and is not in the scheduling order of its shard. */
bool dependencies_unmet(const struct job *job);
/* Returns whether the job has to be cancelled because of a prerequisite, but is not recorded as cancelled yet. Users
 * are no longer told that the job is queued. */
bool dependencies_must_cancel(const struct job *job);
/* Returns whether a job with these prerequisites has to be cancelled. prerequisites is a NULL-terminated list of job
 * ids, or NULL if there are none. */
bool dependencies_any_cancelled(char *const *prerequisites);

/* The result of checking the prerequisites of a submission: valid, or the reason to reject it. */
enum prerequisites_result {
    PREREQUISITES_VALID,
    PREREQUISITE_ITSELF,            /* the submission names its own job as a prerequisite */
    PREREQUISITE_SERVICE,           /* the prerequisite is a service, which is never done */
    PREREQUISITE_UNKNOWN,           /* no job with this id was accepted */
    PREREQUISITE_UNREADABLE,        /* the record of the prerequisite cannot be read */
    PREREQUISITE_STORE_UNAVAILABLE, /* the store did not answer, so the result is unknown */
};

struct prerequisites_check {
    enum prerequisites_result result;
    const char *job_id; /* the invalid prerequisite, a string of the checked list; NULL if all are valid */
};

/* Checks the prerequisites of a submission in order, up to the first invalid one. prerequisites is a NULL-terminated
 * list of job ids, or NULL if there are none. A prerequisite that is not in the mirror is read from the store, because
 * another controller may just have accepted it. Called without store_lock. */
struct prerequisites_check dependencies_check_prerequisites(struct http_client *client, const char *job_id,
                                                            char *const *prerequisites);
#endif
