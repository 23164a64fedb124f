/* Communicates with workers: answers their heartbeats and sends them directives. */
#ifndef FF_WORKERS_H
#define FF_WORKERS_H
#include <stdbool.h>

#include "../http/server.h"
#include "../settings/settings.h"

/* Must be called once, before the threads are started. The settings must outlive the process's threads. */
void workers_init(const struct settings *settings);
/* Starts the dispatcher and the senders. */
void workers_start(void);
/* Replies to a request to the path for heartbeats. Returns false, without a reply, for any other path. On the server's
 * thread, without store_lock. */
bool workers_route(struct http_request *request);
#endif
