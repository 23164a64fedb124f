/* The periodic lines of the log: what this controller has to do, and how it stands with the store and the users. */
#include "../api/latency.h"
#include "../clock/clock.h"
#include "../jobs/jobs.h"
#include "../logging/logging.h"
#include "../machines/machines.h"
#include "../quota/quota.h"
#include "../store/store.h"
#include "service.h"

#define INTERVAL_S 10.0 /* between two calls */

static void log_load(void) {
    static unsigned sent_before;
    unsigned sent = store_budget_requests_sent();
    struct latency_summary latency = latency_take_summary();
    store_lock();
    log_info(
        "status: %u unfinished jobs, %u machines, store %.1f requests/s (rate factor %.1f, of writes %.1f), store read "
        "%.1f s ago, %d responses to users (median %.1f ms, p95 %.1f ms)",
        jobs_active()->len, machines_all()->len, (sent - sent_before) / INTERVAL_S,
        store_budget_rate_factor(STORE_RATE_REQUESTS), store_budget_rate_factor(STORE_RATE_CHANGES),
        clock_seconds_since(store_last_read_sent()), latency.answers, latency.median_ms, latency.p95_ms);
    quota_log_status();
    store_unlock();
    sent_before = sent;
}

static void log_writes(void) {
    static struct store_write_counts before;
    struct store_write_counts now = store_get_write_counts();
    log_info("writes in 10 s: %u jobs, %u allocations, %u releases, %u machine pages, %u others",
             now.jobs - before.jobs, now.allocations - before.allocations,
             now.removed_allocations - before.removed_allocations, now.machine_records - before.machine_records,
             now.other_records - before.other_records);
    before = now;
}

void service_log_status(void) {
    log_load();
    log_writes();
}
