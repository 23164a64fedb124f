/* The control loop's thread: scheduling rounds, and periodic checks of machines. */
#include <stdbool.h>
#include <time.h>

#include "../autoscaler/scale_in.h"
#include "../clock/clock.h"
#include "../events/events.h"
#include "../http/client.h"
#include "../liveness/liveness.h"
#include "../membership/membership.h"
#include "../quota/quota.h"
#include "../store/store.h"
#include "../sync/sync.h"
#include "isolation.h"
#include "round.h"
#include "scheduler.h"

#define IDLE_WAIT_MAX_S 0.5 /* longest wait for a wakeup */
#define ROUND_PAUSE_S 0.03  /* changes that arrive during the pause share one round */
#define MACHINE_CHECK_INTERVAL_S 0.5
#define STATUS_INTERVAL_S 10

const struct settings *scheduler_settings;

static struct sync_wakeup wakeup;

static void wake(void) { sync_wakeup_signal(&wakeup); }

/* When the periodic checks last ran. Used by the scheduler's thread only. */
struct periodic_checks {
    struct timespec machines_checked_at, status_logged_at;
    struct isolation_watch isolation;
};

/* Runs a round for each shard. Returns true if another round should follow at once. */
static bool run_rounds(struct http_client *client) {
    bool again = false;
    for (int shard = 0; shard < scheduler_settings->n_shards; shard++) again |= scheduling_round_run(client, shard);
    return again;
}

/* Called with store_lock held. */
static void check_owned_machines(const struct liveness_summary *summary) {
    for (int shard = 0; shard < scheduler_settings->n_shards; shard++) {
        if (!membership_owns(shard) || !membership_may_answer_workers()) continue;
        liveness_check_machines(shard, summary);
        scale_in_run(shard);
    }
}

/* Called with store_lock held. */
static void log_status(void) {
    for (int shard = 0; shard < scheduler_settings->n_shards; shard++)
        if (membership_owns(shard)) scale_in_log_status(shard);
}

static void run_periodic_checks(struct periodic_checks *checks) {
    if (clock_seconds_since(checks->machines_checked_at) <= MACHINE_CHECK_INTERVAL_S) return;
    checks->machines_checked_at = clock_now();
    store_lock();
    struct liveness_summary summary = liveness_summary();
    isolation_watch_check(&checks->isolation, &summary);
    check_owned_machines(&summary);
    if (clock_seconds_since(checks->status_logged_at) > STATUS_INTERVAL_S) {
        checks->status_logged_at = clock_now();
        log_status();
    }
    store_unlock();
    events_publish(EVENT_DISPATCH);
}

static void *scheduler_main(void *arg) {
    (void)arg;
    struct http_client *client = http_client_new();
    struct periodic_checks checks = {0};
    isolation_watch_start(&checks.isolation);
    for (;;) {
        sync_wakeup_wait(&wakeup, clock_from_seconds(IDLE_WAIT_MAX_S));
        bool again = run_rounds(client);
        quota_commit_changes(client);
        run_periodic_checks(&checks);
        clock_sleep(clock_from_seconds(ROUND_PAUSE_S));
        if (again) wake();
    }
    return NULL;
}

void scheduler_init(const struct settings *settings) {
    scheduler_settings = settings;
    sync_wakeup_init(&wakeup);
    events_subscribe(EVENT_SCHEDULE, wake);
}

void scheduler_start(void) { sync_start_thread(scheduler_main, NULL); }
