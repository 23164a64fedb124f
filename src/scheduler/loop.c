/* The thread of the control loop. */
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

#define IDLE_WAIT_S 0.5    /* at most, without a wakeup */
#define ROUND_PAUSE_S 0.03 /* what arrives meanwhile goes into one round */
#define WATCH_INTERVAL_S 0.5
#define STATUS_INTERVAL_S 10

const struct settings *scheduler_settings;

static struct sync_wakeup wakeup;

static void wake(void) { sync_wakeup_signal(&wakeup); }

/* What is done at intervals. The scheduler's thread's own. */
struct periodic_work {
    struct timespec machines_watched, status_logged;
    struct isolation_watch isolation;
};

/* True if more is to be done at once. */
static bool run_rounds(struct http_client *client) {
    bool again = false;
    for (int shard = 0; shard < scheduler_settings->size; shard++) again |= scheduling_round_run(client, shard);
    return again;
}

/* With store_lock held. */
static void check_machines(const struct liveness_summary *summary) {
    for (int shard = 0; shard < scheduler_settings->size; shard++) {
        if (!membership_owns(shard) || !membership_may_answer()) continue;
        liveness_check_machines(shard, summary);
        scale_in_run(shard);
    }
}

/* With store_lock held. */
static void log_status(void) {
    for (int shard = 0; shard < scheduler_settings->size; shard++)
        if (membership_owns(shard)) scale_in_log_status(shard);
}

static void watch_machines(struct periodic_work *periodic) {
    if (clock_seconds_since(periodic->machines_watched) <= WATCH_INTERVAL_S) return;
    periodic->machines_watched = clock_now();
    store_lock();
    struct liveness_summary summary = liveness_summary();
    isolation_watch_check(&periodic->isolation, &summary);
    check_machines(&summary);
    if (clock_seconds_since(periodic->status_logged) > STATUS_INTERVAL_S) {
        periodic->status_logged = clock_now();
        log_status();
    }
    store_unlock();
    events_publish(EVENT_DISPATCH);
}

static void *scheduler_main(void *arg) {
    (void)arg;
    struct http_client *client = http_client_new();
    struct periodic_work periodic = {0};
    isolation_watch_start(&periodic.isolation);
    for (;;) {
        sync_wakeup_wait(&wakeup, clock_from_seconds(IDLE_WAIT_S));
        bool again = run_rounds(client);
        quota_commit_changes(client);
        watch_machines(&periodic);
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
