/* The health check for the load balancer, GET /up. Used inside the package only. */
#ifndef FF_SERVICE_HEALTH_H
#define FF_SERVICE_HEALTH_H
#include <stdbool.h>

#include "../http/server.h"

/* Responds to a health check. Returns false, without a response, for any other request. Called on the HTTP server's
 * thread, without store_lock. */
bool health_route(struct http_request *request);
#endif
