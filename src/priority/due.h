/* Derives a job's due time from the objectives of its class. Internal to the package; called with store_lock held. */
#ifndef FF_PRIORITY_DUE_H
#define FF_PRIORITY_DUE_H
#include <stdbool.h>

#include "../model/job.h"
#include "../settings/settings.h"

/* Returns the time of day at which the job is due. Objectives are measured from the completion of its prerequisites.
 *
 * The job is due at the first objective of its class that it can still meet. If it has missed the last objective, it is
 * due at twice the time of that objective, or four times, and so on. Under overload, a late job thus yields to jobs
 * that can still be on time, instead of making them late as well, and moves forward in the order again as its next due
 * time approaches. */
double job_due_time(const struct settings *settings, const struct job *job, double now);

/* Returns whether an objective sets a time by which jobs of this class start or end. */
bool due_has_objective(const struct settings *settings, const struct job *job);
#endif
