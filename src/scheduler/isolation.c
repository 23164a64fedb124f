#include "isolation.h"

#include <stdbool.h>

#include "../clock/clock.h"
#include "../membership/membership.h"
#include "../store/store.h"
#include "round.h"

#define STORE_READ_MAX_AGE_S 4.0 /* with an older read, the controller may no longer know which machines it owns */
#define MACHINES_UP_MIN 4        /* with fewer machines up, isolation cannot be detected */
#define HEARD_PERCENT_MIN 30     /* the network works if this percentage of the machines that are up sends heartbeats */

static bool enough_workers_heard(const struct liveness_summary *summary) {
    return summary->up < MACHINES_UP_MIN || summary->heartbeats_heard * 100 >= summary->up * HEARD_PERCENT_MIN;
}

void isolation_watch_start(struct isolation_watch *watch) { watch->workers_last_heard = clock_now(); }

void isolation_watch_check(struct isolation_watch *watch, const struct liveness_summary *summary) {
    bool store_read_recently = clock_seconds_since(store_last_read_sent()) <= STORE_READ_MAX_AGE_S;
    double heartbeat_s = clock_to_seconds(scheduler_settings->heartbeat_interval);
    if (enough_workers_heard(summary) || !store_read_recently) watch->workers_last_heard = clock_now();
    bool isolated =
        (store_read_recently && liveness_controller_isolated(summary->up, summary->shortest_silence_s, heartbeat_s)) ||
        clock_seconds_since(watch->workers_last_heard) > heartbeat_s;
    if (isolated && !membership_workers_unreachable()) membership_set_workers_unreachable(true);
}
