/* Checks whether tasks may be preempted and what tasks lose by a preemption. All functions need store_lock. */
#ifndef FF_PREEMPTION_PREEMPTIBLE_H
#define FF_PREEMPTION_PREEMPTIBLE_H
#include <stdbool.h>

#include "../model/machine.h"
#include "../priority/priority.h"

/* Returns whether the task may be preempted for the entry's job. Only tasks of arrays may be: for a job of higher
 * priority, or for a job within its team's guarantee if the task's team exceeds its own guarantee. */
bool preemption_allowed(const struct allocation *allocation, const struct priority_entry *entry);

/* Returns whether the task has not started yet, or so recently that its user counts it as never started if it is
 * preempted. */
bool preemption_recently_started(const struct allocation *allocation);

/* Returns the seconds that a preempted task of the job gets to save a checkpoint: 0 if it saves none, or if saving
 * takes max_grace_s or longer. */
double preemption_grace_s(const struct job_spec *spec, double max_grace_s);

/* Returns whether the machine is on-demand and all of its tasks belong to arrays that allow spot machines. False if the
 * machine is about to leave or its address is unknown. */
bool preemption_machine_clearable(const struct machine *machine);

/* Returns whether fetching the job's image on the machine would take longer than the wait that its users accept. */
bool preemption_image_fetch_too_slow(const struct job *job, const struct machine *machine);
#endif
