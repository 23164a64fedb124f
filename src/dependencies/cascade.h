/* The cascade: jobs with a cancelled prerequisite, directly or through others, are cancelled as well. They are marked
 * when the prerequisite's record is taken in; a thread writes their records. Used within the package. */
#ifndef FF_DEPENDENCIES_CASCADE_H
#define FF_DEPENDENCIES_CASCADE_H
#include "../model/job.h"
#include "../settings/settings.h"

/* By dependencies_init; the settings have to outlive the process. */
void cascade_init(const struct settings *settings);

/* With store_lock held. */

/* Marks the job if one of its prerequisites is cancelled or marked. */
void cascade_check(struct job *job);
/* Marks the job, and all that depend on it. */
void cascade_mark(struct job *job);
/* Marked jobs that this controller is to write now, at most so many, prerequisites before their dependents; returns how
 * many. The controller that acknowledged the cancellation to its user goes first, then the owner of the job's shard,
 * then any: each of them may be about to end. */
int cascade_next(struct job **out, int most);
#endif
