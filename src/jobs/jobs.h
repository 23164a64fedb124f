/* Jobs: every job that is known here, by its id, as the records in the store say. Records are taken in by the thread
 * that read or wrote them, and observers are called. Jobs are never freed: a pointer to one stays valid.
 *
 * This header includes the others of the package, but for feasibility.h. */
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

/* By service, at the start, after store_init; the settings have to outlive the process. */
void jobs_init(const struct settings *settings);

/* Called when a job's record was taken in: with store_lock held, in the order of subscription. A member may be NULL. */
struct jobs_observer {
    void (*added)(struct job *job);   /* its record was read for the first time; records come in any order */
    void (*ended)(struct job *job);   /* its record says done or cancelled now */
    void (*applied)(struct job *job); /* it is in the lists that it belongs to by now */
};
/* At the start, before the mirror is started. */
void jobs_subscribe(struct jobs_observer observer);

/* With store_lock held. */

struct job *jobs_find(const char *job_id); /* NULL: not heard of */
/* A job that is not heard of yet is added as not known: it is a prerequisite, or has an allocation, and its record is
 * still to come. */
struct job *jobs_find_or_stub(const char *job_id);
#endif
