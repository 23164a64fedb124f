/* Updates the state of a machine and its allocations from a worker's message: whether the message is newer than the
 * last one, that the machine is alive, and which allocations run, have ended or are absent. */
#ifndef FF_WORKERS_RECONCILIATION_H
#define FF_WORKERS_RECONCILIATION_H
#include <stdbool.h>

#include "../machines/machines.h"
#include "codec.h"
#include "directives.h"

/* Called once, before the threads are started. Keeps the pointer to the settings. */
void reconciliation_init(const struct settings *settings);
/* Applies a heartbeat of an owned machine, or its answer to a command. Returns false, and changes nothing, if the
 * message is malformed or no newer than the last one applied. Called with store_lock held. */
bool reconciliation_apply(struct machine *machine, const struct heartbeat *heartbeat, enum worker_channel channel);
#endif
