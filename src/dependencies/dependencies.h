/* Dependencies between jobs: which job waits for which prerequisites, what follows from that for its priority and
 * deadline, and the cancellation of jobs that depend on a cancelled one.
 *
 * A job starts only once the record of each of its prerequisites says done. That state is final, so a job that still
 * waits, and all that depend on it, have never had a task. Cancellation therefore is a matter of records alone: a job
 * whose prerequisite is recorded as cancelled, directly or through others, is to be cancelled, and any controller may
 * write it at any time.
 *
 * graph.c links the jobs and counts unmet prerequisites; urgency.c passes priorities and deadlines on from dependents;
 * cascade.c cancels dependents; submission_check.c says whether a submission may name its prerequisites. */
#ifndef FF_DEPENDENCIES_H
#define FF_DEPENDENCIES_H
#include <stdbool.h>

#include "../http/client.h"
#include "../model/job.h"
#include "../settings/settings.h"

/* By service, at the start and in this order; init after jobs_init and before records are read. */
void dependencies_init(const struct settings *settings);
/* Starts the cascade's thread. */
void dependencies_start(void);

/* Makes the cascade's thread search for cancellations now. From any thread, with or without the lock. */
void dependencies_wake(void);

/* With store_lock held. */

/* A prerequisite is not recorded as done: nothing of the job may start, and it takes part in nothing. */
bool dependencies_unmet(const struct job *job);
/* The job's record still has to be changed to cancelled: its user gets no other answer any more. */
bool dependencies_must_cancel(const struct job *job);
/* Whether a job with these prerequisites is to be cancelled. A list of ids, ended by NULL; NULL: none. */
bool dependencies_any_cancelled(char *const *prerequisites);

/* Without the lock. */

/* Whether a submission may name its prerequisites, and if not, why. */
enum prerequisites_result {
    PREREQUISITES_VALID,
    PREREQUISITE_ITSELF,       /* the submission names its own job */
    PREREQUISITE_SERVICE,      /* a service is never done */
    PREREQUISITE_UNKNOWN,      /* no job with this id was ever accepted */
    PREREQUISITE_UNREADABLE,   /* there is a record with this id that can't be read */
    PREREQUISITE_STORE_SILENT, /* the store did not answer */
};

struct prerequisites_check {
    enum prerequisites_result result;
    const char *job_id; /* the prerequisite concerned, from the list that was checked; NULL where all are valid */
};

/* Checks the prerequisites of a submission, a list of ids that NULL ends, up to the first that may not be named; NULL:
 * none. One that is not in the mirror is read from the store: it may have been accepted elsewhere a moment ago. */
struct prerequisites_check dependencies_check(struct http_client *client, const char *job_id,
                                              char *const *prerequisites);
#endif
