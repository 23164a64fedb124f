#include "cascade.h"

#include <glib.h>
#include <stdbool.h>

#include "../clock/clock.h"
#include "../http/client.h"
#include "../jobs/jobs.h"
#include "../logging/logging.h"
#include "../membership/membership.h"
#include "../peers/peers.h"
#include "../store/keys.h"
#include "../store/store.h"
#include "../sync/sync.h"
#include "dependencies.h"

/* Delays after which the owner of the job's shard, and then any controller, writes a cancellation that is not recorded
 * yet. */
#define OWNER_DELAY_S 0.5
#define ANY_CONTROLLER_DELAY_S 4.0

#define TXN_CANCELLATIONS_MAX 16 /* cancellations per transaction */
#define TXN_INTERVAL_S 0.15      /* pause after a transaction, because users' requests share the rate budget */
#define CHECK_INTERVAL_S 0.5     /* interval between checks of the marked jobs if nothing wakes the thread */

static struct {
    const struct settings *settings;
    GPtrArray *marked; /* struct job, prerequisites before their dependents; cascade_next_jobs removes ended jobs */
    struct sync_wakeup wakeup;
} cascade;

void cascade_init(const struct settings *settings) {
    cascade.settings = settings;
    cascade.marked = g_ptr_array_new();
    sync_wakeup_init(&cascade.wakeup);
}

void dependencies_wake(void) { sync_wakeup_signal(&cascade.wakeup); }

/* ---- Marking jobs ---- */

bool dependencies_must_cancel(const struct job *job) { return job->prerequisite_cancelled && job->state == JOB_QUEUED; }

static bool is_cancelled_or_marked(const struct job *job) {
    return job->state == JOB_CANCELLED || job->prerequisite_cancelled;
}

bool dependencies_any_cancelled(char *const *prerequisites) {
    for (; prerequisites && *prerequisites; prerequisites++) {
        const struct job *job = jobs_find(*prerequisites);
        if (job && job->recorded && is_cancelled_or_marked(job)) return true;
    }
    return false;
}

void cascade_mark(struct job *first) {
    GQueue *queue = g_queue_new();
    g_queue_push_tail(queue, first);
    struct job *job;
    while ((job = g_queue_pop_head(queue))) {
        if (!job->recorded || job->state != JOB_QUEUED || job->prerequisite_cancelled) continue;
        job->prerequisite_cancelled = true;
        job->cascade_since = clock_now();
        g_ptr_array_add(cascade.marked, job);
        for (guint i = 0; job->dependents && i < job->dependents->len; i++)
            g_queue_push_tail(queue, job->dependents->pdata[i]);
    }
    g_queue_free(queue);
    dependencies_wake();
}

void cascade_check(struct job *job) {
    for (guint i = 0; job->prerequisites && i < job->prerequisites->len; i++) {
        if (!is_cancelled_or_marked(job->prerequisites->pdata[i])) continue;
        cascade_mark(job);
        return;
    }
}

/* ---- Writing records ---- */

/* Returns whether this controller acknowledged to a user the cancellation of a job that causes the cancellation of this
 * one, directly or through other jobs. */
static bool cancellation_acknowledged_here(const struct job *job) {
    for (guint i = 0; i < job->prerequisites->len; i++) {
        const struct job *prerequisite = job->prerequisites->pdata[i];
        if (prerequisite->cancel_acknowledged || prerequisite->cascade_acknowledged) return true;
    }
    return false;
}

/* Returns whether this controller may write the job's cancellation now. */
static bool may_write_cancellation(struct job *job) {
    job->cascade_acknowledged = job->cascade_acknowledged || cancellation_acknowledged_here(job);
    double waited_s = clock_seconds_since(job->cascade_since);
    return job->cascade_acknowledged || waited_s > ANY_CONTROLLER_DELAY_S ||
           (waited_s > OWNER_DELAY_S && membership_owns(jobs_shard(job)));
}

int cascade_next_jobs(struct job **next_jobs, int jobs_max) {
    int n = 0;
    guint n_kept = 0;
    for (guint i = 0; i < cascade.marked->len; i++) {
        struct job *job = cascade.marked->pdata[i];
        if (job->state != JOB_QUEUED) continue;
        cascade.marked->pdata[n_kept++] = job;
        if (may_write_cancellation(job) && n < jobs_max) next_jobs[n++] = job;
    }
    g_ptr_array_set_size(cascade.marked, (gint)n_kept);
    return n;
}

/* Adds the next cancellations to the transaction and returns their number. */
static int fill_transaction(struct store_txn *txn) {
    struct job *jobs[TXN_CANCELLATIONS_MAX];
    store_lock();
    int n = store_unreachable()
                ? 0
                : cascade_next_jobs(jobs, MIN(TXN_CANCELLATIONS_MAX, cascade.settings->txn_operations_max));
    for (int i = 0; i < n; i++) {
        struct store_key key = store_key_job(jobs[i]->spec.job_id);
        store_txn_compare(txn, key.text, store_key_revision(key.text));
        store_txn_put(txn, key.text, jobs_final_value(jobs[i], JOB_CANCELLED), 0);
    }
    store_unlock();
    return n;
}

/* Commits the transaction and applies it. After a conflict, reads the conflicting records again. */
static enum store_result commit(struct http_client *client, struct store_txn *txn, int n_jobs) {
    struct store_response response;
    enum store_result result = store_commit(client, STORE_PRIORITY_ACCEPT, txn, &response);
    if (result == STORE_OK) {
        store_lock();
        store_apply_committed(txn, response.revision);
        store_unlock();
        log_info("dependencies: %d jobs cancelled because a prerequisite was cancelled", n_jobs);
        peers_notify_store_change();
    } else if (result == STORE_CONFLICT) {
        for (guint i = 0; i < response.conflicts->len; i++) store_refresh(client, response.conflicts->pdata[i]);
    }
    store_response_clear(&response);
    return result;
}

/* Sends a transaction with the next cancellations, if there are any. Returns whether there may be more to write. */
static bool cancel_next(struct http_client *client) {
    struct store_txn txn;
    store_txn_init(&txn);
    int n_jobs = fill_transaction(&txn);
    enum store_result result = n_jobs > 0 ? commit(client, &txn, n_jobs) : STORE_REJECTED;
    store_txn_free(&txn);
    return result == STORE_OK || result == STORE_CONFLICT;
}

static void *cascade_main(void *arg) {
    (void)arg;
    struct http_client *client = http_client_new();
    for (;;) {
        sync_wakeup_wait(&cascade.wakeup, clock_from_seconds(CHECK_INTERVAL_S));
        while (cancel_next(client)) clock_sleep(clock_from_seconds(TXN_INTERVAL_S));
    }
    return NULL;
}

void dependencies_start(void) { sync_start_thread(cascade_main, NULL); }
