#include "service.h"

#include <glib.h>
#include <sys/resource.h>

#include "../allocations/allocations.h"
#include "../api/api.h"
#include "../autoscaler/scale_in.h"
#include "../autoscaler/scale_out.h"
#include "../cloud/cloud.h"
#include "../dependencies/dependencies.h"
#include "../http/server.h"
#include "../http/status.h"
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
#include "health.h"

/* Open files besides the sockets that the settings allow: standard streams and the descriptors of the servers. */
#define OTHER_OPEN_FILES 64

static void on_request(struct http_request *request, void *context) {
    (void)context;
    if (health_route(request) || workers_route(request) || api_route(request)) return;
    http_reply(request, HTTP_NOT_FOUND, "{\"error\":\"no such path\"}", 0);
}

static void init_packages(const struct settings *settings) {
    store_init(settings);
    membership_init(settings);
    schema_version_init(settings);
    peers_init(settings);
    quota_init(settings);
    jobs_init(settings);
    api_init(settings);
    dependencies_init(settings);
    workers_init(settings);
    machine_types_init();
    cloud_init(settings);
    machines_init(settings);
    allocations_init(settings);
    priority_init(settings);
    placement_init(settings);
    scheduler_init(settings);
    preemption_init(settings);
    rebalancing_init(settings);
    scale_out_init(settings);
    scale_in_init(settings);
    liveness_init(settings);
}

/* Passes functions of higher-level packages to the lower-level packages that call them. */
static void connect_packages(void) {
    membership_add_announcement(quota_publish_views);
    membership_add_announcement(schema_version_announce);
    membership_set_worker_probe(liveness_probe_workers);
    cloud_set_planner((struct cloud_planner){scale_out_plan, scale_in_plan_returns});
}

void service_init(const struct settings *settings) {
    init_packages(settings);
    connect_packages();
}

/* Raises the process's limit on open files, which may be far below the sockets that the settings allow. */
static void raise_open_files(int sockets) {
    struct rlimit limit;
    rlim_t wanted = (rlim_t)sockets + OTHER_OPEN_FILES;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= wanted) return;
    limit.rlim_cur = limit.rlim_max == RLIM_INFINITY ? wanted : MIN(wanted, limit.rlim_max);
    if (setrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur < (rlim_t)sockets)
        log_info("open files are limited to %ld, below the %d sockets of the settings", (long)limit.rlim_cur, sockets);
}

/* Returns the connections for users, workers and health checks: three quarters of the sockets. The rest is for other
 * connections of this process, such as requests to the store and the cloud. */
static unsigned server_connections(int sockets) { return (unsigned)sockets * 3 / 4; }

/* Listens on the addresses for users and for peers. Called before the packages start their threads: if it fails, the
 * program exits, and an exit while threads of its libraries were starting has ended in a segmentation fault instead of
 * the exit status. */
static bool listen_on_addresses(const struct settings *settings) {
    unsigned connections = server_connections(settings->sockets_max);
    return http_server_start(settings->listen_address, connections, on_request, NULL) && peers_listen();
}

bool service_start(const struct settings *settings) {
    raise_open_files(settings->sockets_max);
    if (!listen_on_addresses(settings)) return false;
    api_start();
    dependencies_start();
    peers_start();
    store_mirror_start();
    membership_start();
    scheduler_start();
    workers_start();
    cloud_start();
    process_pause_start();
    return true;
}
