/* Answers heartbeats for an owner that the zone has lost. In a zone that is cut off, the owner of a machine may be
 * outside. Then a controller inside answers for it with the fencing token that the machine has, so that its lease goes
 * on, and directs nothing but the stop of cancelled tasks. Nobody else relies on the lease's expiry: a start elsewhere
 * needs a heartbeat's or the cloud's proof. With store_lock held. */
#ifndef FF_WORKERS_PROXY_H
#define FF_WORKERS_PROXY_H
#include <stdbool.h>

#include "../json/json.h"
#include "../machines/machines.h"

/* Once, before the threads start. The settings stay the caller's. */
void proxy_init(const struct settings *settings);
/* Bound like an owner's responses to the last read of the store, and over as soon as store or owner is in reach. */
bool proxy_allowed(const struct machine *machine);
/* A start that the owner sent before it learned of the cancellation may be held up on its way into the zone. Our own
 * read may be later than the cancellation: kept alive, the incarnation would take that start after cancel_s. */
bool proxy_start_in_doubt(const struct machine *machine, const cJSON *tasks);
/* The body of the response; the caller frees it. */
cJSON *proxy_response(struct machine *machine, const cJSON *tasks);
#endif
