/* Dealings with workers: takes in their heartbeats, and sends them directives. */
#ifndef FF_WORKERS_H
#define FF_WORKERS_H
#include <stdbool.h>

#include "../http/server.h"
#include "../settings/settings.h"

/* Called once, before the threads are started; the settings must outlive the process's threads. */
void workers_init(const struct settings *settings);
/* Starts the dispatcher and the senders. */
void workers_start(void);
/* Answers a heartbeat, on the server's thread and without the lock. False: the request is none, and not answered. */
bool workers_route(struct http_request *request);
#endif
