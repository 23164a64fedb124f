/* Handles the HTTP requests that carry workers' heartbeats. */
#ifndef FF_WORKERS_HEARTBEAT_H
#define FF_WORKERS_HEARTBEAT_H
#include "../http/server.h"
#include "../settings/settings.h"

/* Must be called once, before the threads are started. The settings remain the caller's and must outlive the
 * threads. */
void heartbeat_init(const struct settings *settings);
/* Replies to a request to the path for heartbeats. On the server's thread, without store_lock. */
void heartbeat_handle(struct http_request *request);
#endif
