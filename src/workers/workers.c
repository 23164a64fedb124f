#include "workers.h"

#include <stdbool.h>
#include <string.h>

#include "commands.h"
#include "dispatcher.h"
#include "heartbeat.h"
#include "metrics.h"
#include "proxy.h"
#include "reconciliation.h"
#include "senders.h"
#include "token_raise.h"

void workers_init(const struct settings *settings) {
    heartbeat_init(settings);
    proxy_init(settings);
    reconciliation_init(settings);
    token_raise_init(settings);
    commands_init();
    dispatcher_init();
}

void workers_log_status(double interval_s) { metrics_log_status(interval_s); }

void workers_start(void) {
    dispatcher_start();
    senders_start();
}

bool workers_route(struct http_request *request) {
    if (strcmp(http_path(request), "/checkin") != 0) return false;
    heartbeat_handle(request);
    return true;
}
