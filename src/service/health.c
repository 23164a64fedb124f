#include "health.h"

#include <string.h>

#include "../clock/clock.h"
#include "../http/status.h"
#include "../peers/peers.h"
#include "../store/store.h"

/* The store counts as readable for this time after the last successful read was sent. */
#define STORE_READ_MAX_AGE_S 5

/* A controller that cannot read the store is unhealthy if a peer can, because the peer can serve the users. If no peer
 * can either, the controller stays healthy, and its responses tell users when to retry. */
static bool is_healthy(void) {
    store_lock();
    bool synced = store_synced();
    bool reads_store = synced && clock_seconds_since(store_last_read_sent()) < STORE_READ_MAX_AGE_S;
    store_unlock();
    return reads_store || (synced && !peers_any_reads_store());
}

bool health_route(struct http_request *request) {
    if (strcmp(http_path(request), "/up") != 0) return false;
    if (strcmp(http_method(request), "GET") != 0) {
        http_reply(request, HTTP_METHOD_NOT_ALLOWED, NULL, 0);
    } else if (is_healthy()) {
        http_reply(request, HTTP_OK, NULL, 0);
    } else {
        http_reply(request, HTTP_SERVICE_UNAVAILABLE, NULL, 1);
    }
    return true;
}
