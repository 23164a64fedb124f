/* Evicts the tasks of a draining machine. Runs on the scheduler's thread, with store_lock held. */
#ifndef FF_AUTOSCALER_DRAIN_EVICTION_H
#define FF_AUTOSCALER_DRAIN_EVICTION_H
#include "../machines/machines.h"

/* Asks all tasks of the machine to stop if each task loses almost nothing: tasks of arrays that save checkpoints, and
 * replicas that can start at once on another machine with their image. Otherwise asks no task, since a machine that
 * keeps one task is not returned. */
void drain_eviction_stop_tasks(struct machine *machine);
#endif
