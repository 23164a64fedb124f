/* Moves of tasks off a machine that drains. On the scheduler's thread, with store_lock held. */
#ifndef FF_AUTOSCALER_COMMANDED_MOVES_H
#define FF_AUTOSCALER_COMMANDED_MOVES_H
#include "../machines/machines.h"

/* Asks all of the machine's tasks to stop if each loses next to nothing by it: those that save checkpoints, and
 * replicas that can start again at once where their image is. Otherwise none: a machine that keeps one task is not
 * returned. */
void commanded_moves_empty(struct machine *machine);
#endif
