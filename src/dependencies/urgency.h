/* Urgency: the priority and the deadline of a job, for its own sake and for that of the unfinished jobs that depend on
 * it. Used within the package; with store_lock held. */
#ifndef FF_DEPENDENCIES_URGENCY_H
#define FF_DEPENDENCIES_URGENCY_H
#include "../model/job.h"
#include "../settings/settings.h"

/* By dependencies_init; the settings have to outlive the process. */
void urgency_init(const struct settings *settings);
/* Gives the job the urgency that its own submission asks for. */
void urgency_reset(struct job *job);
/* Lets a job that was linked just now inherit from its dependents, and its prerequisites inherit from it. */
void urgency_link(struct job *job);
/* Takes back what the prerequisites of a cancelled job have inherited from it. */
void urgency_withdraw(struct job *cancelled);
#endif
