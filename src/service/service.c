/* Wires the slices together; every decision is theirs. */
#include "service.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <sys/resource.h>

#include "../allocations/allocations.h"
#include "../api/api.h"
#include "../autoscaler/scale_in.h"
#include "../autoscaler/scale_out.h"
#include "../clock/clock.h"
#include "../cloud/cloud.h"
#include "../dependencies/dependencies.h"
#include "../http/server.h"
#include "../jobs/jobs.h"
#include "../liveness/liveness.h"
#include "../liveness/process_pause.h"
#include "../logging/logging.h"
#include "../machine_types/machine_types.h"
#include "../machines/machines.h"
#include "../membership/membership.h"
#include "../peers/peers.h"
#include "../placement/placement.h"
#include "../preemption/preemption.h"
#include "../priority/priority.h"
#include "../quota/quota.h"
#include "../rebalancing/rebalancing.h"
#include "../scheduler/scheduler.h"
#include "../schema_version/schema_version.h"
#include "../store/store.h"
#include "../workers/workers.h"

static void on_request(struct http_request *r, void *ctx) {
    (void)ctx;
    if (strcmp(http_path(r), "/up") == 0) {
        if (strcmp(http_method(r), "GET") != 0) {
            http_reply(r, 405, NULL, 0);
            return;
        }
        store_lock();
        bool sees = store_synced() && clock_seconds_since(store_last_read()) < 5;
        bool first = !store_synced();
        store_unlock();
        /* Refused by the store while peers are served: others can help the users. In an outage that all see, the
         * nodes stay and say when to come back. */
        bool up = sees || (!first && !peers_see_store());
        http_reply(r, up ? 200 : 503, NULL, up ? 0 : 1);
        return;
    }
    if (workers_route(r) || api_route(r)) return;
    http_reply(r, 404, "{\"error\":\"no such path\"}", 0);
}

void service_init(const struct settings *s) {
    store_init(s);
    membership_init(s);
    schema_version_init(s);
    peers_init(s);
    quota_init(s);
    jobs_init(s);
    api_init(s);
    dependencies_init(s);
    workers_init(s);
    machine_types_init();
    cloud_init(s);
    machines_init(s);
    allocations_init(s);
    priority_init(s);
    placement_init(s);
    scheduler_init(s);
    preemption_init(s);
    rebalancing_init(s);
    scale_out_init(s);
    scale_in_init(s);
    liveness_init(s);
    membership_add_announcement(quota_announce);
    membership_add_announcement(schema_version_announce);
    membership_set_worker_probe(liveness_probe_workers);
    cloud_set_planner((struct cloud_planner){scale_out_plan, scale_in_plan_returns});
}

/* The platform's limit is the one to keep to: the process's own may be far lower by default. */
static void raise_open_files(int sockets) {
    struct rlimit now;
    rlim_t want = (rlim_t)sockets + 64;
    if (getrlimit(RLIMIT_NOFILE, &now) != 0 || now.rlim_cur >= want) return;
    now.rlim_cur = now.rlim_max == RLIM_INFINITY ? want : MIN(want, now.rlim_max);
    if (setrlimit(RLIMIT_NOFILE, &now) != 0 || now.rlim_cur < (rlim_t)sockets)
        log_info("open files are limited to %ld, below the %d sockets of the settings", (long)now.rlim_cur, sockets);
}

bool service_start(const struct settings *s) {
    raise_open_files(s->sockets);
    api_start();
    dependencies_start();
    if (!http_server_start(s->bind, (unsigned)s->sockets * 3 / 4, on_request, NULL) || !peers_start()) return false;
    store_mirror_start();
    membership_start();
    scheduler_start();
    workers_start();
    cloud_start();
    process_pause_start();
    return true;
}

void service_tell(void) {
    static unsigned last = 0;
    unsigned now = store_budget_requests_sent();
    int answers;
    double median, p95;
    api_latency(&answers, &median, &p95);
    store_lock();
    log_info(
        "status: %u unfinished jobs, %u machines, store %.1f requests/s (rate factor %.1f, of writes %.1f), store read "
        "%.1f s "
        "ago, %d responses to users "
        "(median %.1f ms, p95 %.1f ms)",
        jobs_active()->len, machines_all()->len, (now - last) / 10.0, store_budget_rate_factor(false),
        store_budget_rate_factor(true), clock_seconds_since(store_last_read()), answers, median, p95);
    quota_log_status();
    store_unlock();
    static struct store_write_counts before;
    struct store_write_counts written = store_writes_counted();
    log_info("writes in 10 s: %u jobs, %u allocations, %u releases, %u machine pages, %u others",
             written.jobs - before.jobs, written.allocations - before.allocations, written.releases - before.releases,
             written.pages - before.pages, written.others - before.others);
    before = written;
    last = now;
}
