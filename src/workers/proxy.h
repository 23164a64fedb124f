/* Answers heartbeats on behalf of an owner that is unreachable from this controller's zone.
 *
 * When a zone is partitioned from the others, the owner of a machine in the zone may be outside. A controller inside
 * the zone then answers the machine's heartbeats with the machine's fencing token, so that the worker's lease is
 * renewed. Its only directives are stops of cancelled tasks. This is safe because no controller relies on the lease's
 * expiry: before a task is started on another machine, a heartbeat or the cloud must prove that it no longer runs on
 * this one.
 *
 * All functions except proxy_init are called with store_lock held. */
#ifndef FF_WORKERS_PROXY_H
#define FF_WORKERS_PROXY_H
#include <stdbool.h>

#include "../json/json.h"
#include "../machines/machines.h"
#include "codec.h"

/* Called once, before the threads are started. Keeps the pointer to the settings. */
void proxy_init(const struct settings *settings);
/* Returns whether this controller may answer the machine's heartbeats for its owner: the machine is in this
 * controller's zone, the store and the owner are both unreachable, and the last read of the store is recent enough that
 * an owner could still answer. */
bool proxy_may_answer(const struct machine *machine);
/* Returns whether the start of a cancelled task may still be on its way to the machine: an allocation of a cancelled
 * job is not in the list of tasks, and the owner may have sent its start before it learned of the cancellation. If the
 * lease were renewed, the worker would accept that start even after the cancellation deadline cancel_s. The limit on
 * the age of this controller's last read does not prevent this, since that read may be later than the cancellation. */
bool proxy_start_may_be_in_flight(const struct machine *machine, const cJSON *tasks);
/* Returns the body of the response to the machine's heartbeat, which the caller frees. The response has the token that
 * the worker shows, since the owner may have raised it within its range. */
cJSON *proxy_response(struct machine *machine, const struct heartbeat *heartbeat);
#endif
