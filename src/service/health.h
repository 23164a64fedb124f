/* The health check of the load balancer, GET /up. Internal to this package. */
#ifndef FF_SERVICE_HEALTH_H
#define FF_SERVICE_HEALTH_H
#include <stdbool.h>

#include "../http/server.h"

/* Answers a health check; false where the request is none. On the HTTP server's thread, without the lock. */
bool health_route(struct http_request *request);
#endif
