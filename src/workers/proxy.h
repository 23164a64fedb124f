/* Answers heartbeats on behalf of an owner that the zone cannot reach.
 *
 * When a zone is partitioned from the others, the owner of a machine in it may be outside. A controller inside the zone
 * then answers the machine's heartbeats with the machine's fencing token, so that the worker's lease is renewed, and
 * directs nothing but stops of cancelled tasks. This is safe because no controller relies on the lease's expiry: before
 * a task is started elsewhere, a heartbeat or the cloud must prove that it no longer runs here.
 *
 * All functions except proxy_init must be called with store_lock held. */
#ifndef FF_WORKERS_PROXY_H
#define FF_WORKERS_PROXY_H
#include <stdbool.h>

#include "../json/json.h"
#include "../machines/machines.h"

/* Must be called once, before the threads are started. The settings remain the caller's and must outlive the
 * threads. */
void proxy_init(const struct settings *settings);
/* Tells whether this controller may answer the machine's heartbeats for its owner: the machine is in this controller's
 * zone, the store and the owner are both unreachable, and the last read of the store is recent enough for an owner to
 * answer. */
bool proxy_may_answer(const struct machine *machine);
/* Tells whether the start of a cancelled task may still be on its way to the machine: an allocation of a cancelled job
 * is not in the list of tasks, and the owner may have sent its start before it learned of the cancellation. The limit
 * on the age of this controller's last read does not cover this, since that read may be later than the cancellation.
 * If the lease were renewed, the worker would still accept the start after the cancellation deadline cancel_s. */
bool proxy_start_may_be_in_flight(const struct machine *machine, const cJSON *tasks);
/* Returns the body of the response, which the caller frees. */
cJSON *proxy_response(struct machine *machine, const cJSON *tasks);
#endif
