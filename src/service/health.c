#include "health.h"

#include <string.h>

#include "../clock/clock.h"
#include "../http/status.h"
#include "../peers/peers.h"
#include "../store/store.h"

/* A store that was read so lately is in reach. */
#define STORE_READ_S 5

/* Rejected by the store while peers are served, this node is down: others can help the users. In an outage that all
 * see, the nodes stay up and tell users when to come back. */
static bool is_healthy(void) {
    store_lock();
    bool synced = store_synced();
    bool sees_store = synced && clock_seconds_since(store_last_read_sent()) < STORE_READ_S;
    store_unlock();
    return sees_store || (synced && !peers_any_reads_store());
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
