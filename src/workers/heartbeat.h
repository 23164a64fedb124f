/* Handles the HTTP requests that carry workers' heartbeats. */
#ifndef FF_WORKERS_HEARTBEAT_H
#define FF_WORKERS_HEARTBEAT_H
#include "../http/server.h"
#include "../settings/settings.h"

/* Called once, before the threads are started. Keeps the pointer to the settings. */
void heartbeat_init(const struct settings *settings);
/* Replies to a request that carries a heartbeat. Called on a thread of the HTTP server, without store_lock. */
void heartbeat_handle(struct http_request *request);
#endif
