#include "reachability.h"

#include <glib.h>
#include <stdbool.h>
#include <time.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../store/store.h"
#include "membership.h"

static const double first_probe_delay_s = 15.0, probe_delay_max_s = 120.0;

static struct {
    bool unreachable;
    struct timespec changed_at; /* when `unreachable` last changed */
    int consecutive_losses;     /* losses of the workers in a row, each soon after the last recovery */
    membership_worker_probe probe;
} workers;

void membership_set_worker_probe(membership_worker_probe probe) { workers.probe = probe; }
bool membership_workers_unreachable(void) { return workers.unreachable; }

double membership_worker_probe_delay_s(int consecutive_losses) {
    double delay_s = first_probe_delay_s;
    for (int i = 1; i < consecutive_losses && delay_s < probe_delay_max_s; i++) delay_s *= 2;
    return MIN(delay_s, probe_delay_max_s);
}

void membership_set_workers_unreachable(bool unreachable) {
    if (unreachable == workers.unreachable) return;
    workers.unreachable = unreachable;
    /* If this controller can reach the workers but the workers' heartbeats cannot reach it, every probe succeeds, the
     * shards move back, and the workers are soon lost again. The growing delay makes these moves rare. */
    if (unreachable) {
        bool lost_again_soon = clock_seconds_since(workers.changed_at) < 2 * probe_delay_max_s;
        workers.consecutive_losses = lost_again_soon ? workers.consecutive_losses + 1 : 1;
    }
    workers.changed_at = clock_now();
    log_info(unreachable ? "most workers are unreachable, releasing the shards of this controller"
                         : "workers are reachable again");
}

void reachability_probe_if_due(struct http_client *client) {
    store_lock();
    bool due = workers.unreachable &&
               clock_seconds_since(workers.changed_at) > membership_worker_probe_delay_s(workers.consecutive_losses);
    store_unlock();
    if (!due || !workers.probe || !workers.probe(client)) return;
    store_lock();
    membership_set_workers_unreachable(false);
    store_unlock();
}
