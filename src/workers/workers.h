/* Communicates with workers: answers their heartbeats and sends them directives. */
#ifndef FF_WORKERS_H
#define FF_WORKERS_H
#include <stdbool.h>

#include "../http/server.h"
#include "../settings/settings.h"

/* Called once, before the threads are started. Keeps the pointer to the settings. */
void workers_init(const struct settings *settings);
/* Logs figures about the messages exchanged with workers since the last call, interval_s seconds ago. Called with
 * store_lock held. */
void workers_log_status(double interval_s);
/* Starts the dispatcher and the senders. */
void workers_start(void);
/* Replies to a request if its path is that of heartbeats; for any other path, returns false without a reply. Called on
 * a thread of the HTTP server, without store_lock. */
bool workers_route(struct http_request *request);
#endif
