/* Whether a task may be preempted, and what that costs. With store_lock held. */
#ifndef FF_PREEMPTION_PREEMPTIBLE_H
#define FF_PREEMPTION_PREEMPTIBLE_H
#include <stdbool.h>

#include "../model/machine.h"
#include "../priority/priority.h"

/* Whether the task may be preempted for the job: only tasks of arrays, for a job of higher priority, or for one within
 * its team's guarantee where the task's own team is beyond its guarantee. */
bool preemption_allowed(const struct allocation *allocation, const struct priority_entry *entry);

/* Whether the task has started so lately that, preempted, it counts as never started to its user. */
bool preemption_recently_started(const struct allocation *allocation);

/* Seconds that a preempted task of the job gets for its checkpoint: 0 if it saves none, or would take `at_most` or
 * longer for it. */
double preemption_grace_s(const struct job_spec *spec, double at_most);

/* An on-demand machine all of whose tasks could run elsewhere: arrays that allow spot machines. */
bool preemption_clears_machine(const struct machine *machine);

/* Whether the machine would have to fetch the job's image for longer than the wait that its users accept. */
bool preemption_fetch_too_slow(const struct job *job, const struct machine *machine);
#endif
