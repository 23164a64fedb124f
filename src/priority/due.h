/* When a job is due, by the objectives of its class. Internal to the package; with store_lock held. */
#ifndef FF_PRIORITY_DUE_H
#define FF_PRIORITY_DUE_H
#include <stdbool.h>

#include "../model/job.h"
#include "../settings/settings.h"

/* The time of day at which the job is due; both times count from when its prerequisites were done.
 *
 * It is the first of the times named by its class's objectives that it can still keep; past the last, twice that, and
 * so on. In an overload work that can't be in time any more steps back behind work that can, instead of making all late
 * one after the other; it comes first again when its next time draws near. */
double due_time(const struct settings *settings, const struct job *job, double now);

/* Whether jobs of its class are expected to start or end by a time. */
bool due_has_objective(const struct settings *settings, const struct job *job);
#endif
