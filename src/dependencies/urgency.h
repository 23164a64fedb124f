/* Urgency: the effective priority and deadline of a job, from its own submission and from the unfinished jobs that
 * depend on it. Used inside the package only; called with store_lock held. */
#ifndef FF_DEPENDENCIES_URGENCY_H
#define FF_DEPENDENCIES_URGENCY_H
#include "../model/job.h"
#include "../settings/settings.h"

/* Called by dependencies_init. Keeps the pointer to the settings. */
void urgency_init(const struct settings *settings);
/* Sets the job's urgency to that of its own submission. */
void urgency_reset(struct job *job);
/* Propagates urgency to a newly linked job from its dependents, and from the job to its prerequisites. */
void urgency_propagate(struct job *job);
/* Recomputes the urgency of all jobs that the cancelled job depended on, no longer counting the cancelled job. */
void urgency_withdraw(struct job *cancelled);
#endif
