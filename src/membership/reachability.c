#include "reachability.h"

#include <glib.h>
#include <stdbool.h>
#include <time.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../store/store.h"
#include "membership.h"

static const double retry_s = 15.0, retry_max_s = 120.0;

static struct {
    bool unreachable;
    struct timespec changed;
    int times_unreachable; /* in a row, each soon after the last */
    membership_worker_probe probe;
} workers;

void membership_set_worker_probe(membership_worker_probe probe) { workers.probe = probe; }
bool membership_workers_unreachable(void) { return workers.unreachable; }

double membership_workers_retry_s(int times_unreachable) {
    double wait_s = retry_s;
    for (int i = 1; i < times_unreachable && wait_s < retry_max_s; i++) wait_s *= 2;
    return MIN(wait_s, retry_max_s);
}

void membership_set_workers_unreachable(bool unreachable) {
    if (unreachable == workers.unreachable) return;
    workers.unreachable = unreachable;
    /* Where it can ask workers, and their heartbeats can't reach it, it takes them for back each time: the shards must
     * not move to and fro with that. */
    if (unreachable) {
        bool soon = clock_seconds_since(workers.changed) < 2 * retry_max_s;
        workers.times_unreachable = soon ? workers.times_unreachable + 1 : 1;
    }
    workers.changed = clock_now();
    log_info(unreachable ? "isolated from most workers: releasing our shards" : "workers are reachable again");
}

void reachability_probe_if_due(struct http_client *client) {
    store_lock();
    bool due = workers.unreachable &&
               clock_seconds_since(workers.changed) > membership_workers_retry_s(workers.times_unreachable);
    store_unlock();
    if (!due || !workers.probe || !workers.probe(client)) return;
    store_lock();
    membership_set_workers_unreachable(false);
    store_unlock();
}
