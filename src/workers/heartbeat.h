/* Workers' heartbeats over HTTP. */
#ifndef FF_WORKERS_HEARTBEAT_H
#define FF_WORKERS_HEARTBEAT_H
#include "../http/server.h"
#include "../settings/settings.h"

/* Once, before the threads start. The settings stay the caller's. */
void heartbeat_init(const struct settings *settings);
/* Answers a request to the heartbeats' path: parses, decides, replies. On the server's thread, without the lock. */
void heartbeat_handle(struct http_request *request);
#endif
