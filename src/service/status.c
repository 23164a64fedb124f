/* Periodic status lines in the log: the load of this controller, its requests to the store and its response times. */
#include "../api/latency.h"
#include "../api/refusals.h"
#include "../clock/clock.h"
#include "../jobs/jobs.h"
#include "../logging/logging.h"
#include "../machines/machines.h"
#include "../quota/quota.h"
#include "../store/store.h"
#include "../workers/workers.h"
#include "service.h"

#define STATUS_INTERVAL_S 10.0 /* between calls of service_log_status */

static void log_load(void) {
    static unsigned requests_sent_before;
    unsigned requests_sent = store_budget_requests_sent();
    struct latency_summary latency = latency_take_summary();
    store_lock();
    log_info(
        "status: %u unfinished jobs, %u machines, %.1f requests/s to the store (rate factor %.1f for requests, "
        "%.1f for changes), last read of the store %.1f s ago, %d responses to users (median %.1f ms, p95 %.1f ms)",
        jobs_active()->len, machines_all()->len, (requests_sent - requests_sent_before) / STATUS_INTERVAL_S,
        store_budget_rate_factor(STORE_RATE_REQUESTS), store_budget_rate_factor(STORE_RATE_CHANGES),
        clock_seconds_since(store_last_read_sent()), latency.responses, latency.median_ms, latency.p95_ms);
    quota_log_status();
    workers_log_status(STATUS_INTERVAL_S);
    store_unlock();
    requests_sent_before = requests_sent;
}

static void log_writes(void) {
    static struct store_write_counts counts_before;
    struct store_write_counts counts = store_get_write_counts();
    log_info(
        "writes to the store in 10 s: %u job records, %u allocation records, %u removals of allocation records, %u "
        "machine records, %u other records",
        counts.jobs - counts_before.jobs, counts.allocations - counts_before.allocations,
        counts.removed_allocations - counts_before.removed_allocations,
        counts.machine_records - counts_before.machine_records, counts.other_records - counts_before.other_records);
    counts_before = counts;
}

void service_log_status(void) {
    log_load();
    log_writes();
    refusals_log_status();
}
