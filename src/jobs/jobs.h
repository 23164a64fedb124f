/* The jobs that this controller knows, by id, according to the records in the store. The thread that reads or writes a
 * record applies it here and calls the observers. Jobs are never freed, so a pointer to a job stays valid.
 *
 * This header includes all others of the package except feasibility.h. */
#ifndef FF_JOBS_H
#define FF_JOBS_H
#include "../model/job.h"
#include "../settings/settings.h"
#include "chunks.h"
#include "job_lists.h"
#include "job_record.h"
#include "job_spec.h"
#include "progress.h"
#include "task_bits.h"

/* Called by service at startup, after store_init. Keeps the pointer to the settings. */
void jobs_init(const struct settings *settings);

/* Functions that are called after a job's record was applied, with store_lock held and in the order of subscription.
 * Each may be NULL. */
struct jobs_observer {
    void (*added)(struct job *job);   /* the job's first record was applied; its prerequisites may still be stubs */
    void (*ended)(struct job *job);   /* the job has entered a final state */
    void (*applied)(struct job *job); /* any record was applied and the lists are updated */
};
/* Called at startup, before the mirror is started. */
void jobs_subscribe(struct jobs_observer observer);

/* The functions below are called with store_lock held. */

/* Returns the job with this id, which may be a stub, or NULL. */
struct job *jobs_find(const char *job_id);
/* Returns the job with this id. If there is none, adds a stub: a job that is a prerequisite or has an allocation, but
 * whose own record has not been read yet. */
struct job *jobs_find_or_stub(const char *job_id);
#endif
