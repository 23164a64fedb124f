/* What a worker's message proves: whether it is newer than what is known, that the machine lives, and which allocations
 * run, have ended or are absent. With store_lock held. */
#ifndef FF_WORKERS_RECONCILIATION_H
#define FF_WORKERS_RECONCILIATION_H
#include <stdbool.h>

#include "../machines/machines.h"
#include "codec.h"
#include "directives.h"

/* Once, before the threads start. The settings stay the caller's. */
void reconciliation_init(const struct settings *settings);
/* Takes in a heartbeat of an owned machine, or its answer to a command. False: it can't be read, or is no newer than
 * what is known; nothing has changed. */
bool reconciliation_take(struct machine *machine, const struct heartbeat *heartbeat, enum worker_channel channel);
#endif
