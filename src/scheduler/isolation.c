#include "isolation.h"

#include <stdbool.h>

#include "../clock/clock.h"
#include "../membership/membership.h"
#include "../store/store.h"
#include "round.h"

#define STORE_SEEN_S 4.0 /* cut from the store as well, this controller no longer knows which machines it owns */
#define LEAST_MACHINES 4 /* of fewer nothing can be said */
#define HEARD_PERCENT 30 /* of the machines that are up: where so many send heartbeats, the network is there */

static bool enough_heard(const struct liveness_summary *summary) {
    return summary->up < LEAST_MACHINES || summary->heartbeats_heard * 100 >= summary->up * HEARD_PERCENT;
}

void isolation_watch_start(struct isolation_watch *watch) { watch->workers_heard = clock_now(); }

void isolation_watch_check(struct isolation_watch *watch, const struct liveness_summary *summary) {
    bool store_seen = clock_seconds_since(store_last_read()) <= STORE_SEEN_S;
    double heartbeat_s = clock_to_seconds(scheduler_settings->heartbeat_interval);
    if (enough_heard(summary) || !store_seen) watch->workers_heard = clock_now();
    bool isolated = (store_seen && liveness_controller_isolated(summary->up, summary->newest_s, heartbeat_s)) ||
                    clock_seconds_since(watch->workers_heard) > heartbeat_s;
    if (isolated && !membership_workers_unreachable()) membership_set_workers_unreachable(true);
}
