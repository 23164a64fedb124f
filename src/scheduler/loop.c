#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../allocations/allocations.h"
#include "../autoscaler/scale_in.h"
#include "../autoscaler/scale_out.h"
#include "../clock/clock.h"
#include "../cloud/cloud.h"
#include "../dependencies/dependencies.h"
#include "../events/events.h"
#include "../http/client.h"
#include "../json/json.h"
#include "../liveness/liveness.h"
#include "../logging/logging.h"
#include "../membership/membership.h"
#include "../placement/placement.h"
#include "../preemption/preemption.h"
#include "../quarantine/quarantine.h"
#include "../quota/quota.h"
#include "../rebalancing/rebalancing.h"
#include "../sync/sync.h"
#include "round.h"

const struct settings *scheduler_settings;

#define LEAST_CHANGES 2 /* with less budget a round decides nothing */
/* With less budget than this, what a job's record lacks waits a while: the ends of more of its tasks go with the same
 * write. Written one by one they once took the changes that starts needed. */
#define AMPLE_CHANGES 4
#define GATHER_PROGRESS_S 3.0

static struct sync_wakeup wakeup;

static void wake(void) { sync_wakeup_signal(&wakeup); }

static int longest_touched(gconstpointer a, gconstpointer b) {
    const struct job *x = *(struct job *const *)a, *y = *(struct job *const *)b;
    double d = clock_to_seconds(x->dirty_since) - clock_to_seconds(y->dirty_since);
    return d < 0 ? -1 : d > 0;
}

/* Completions of jobs that others wait for, or of the rest. */
static void write_completions(struct scheduling_round *r, int k, bool needed, GHashTable *written) {
    GPtrArray *jobs = jobs_active_of(k);
    for (guint i = 0; i < jobs->len && r->writes_left > 1; i++) {
        struct job *j = jobs->pdata[i];
        if (!jobs_complete(j) || (j->dependents != NULL) != needed) continue;
        scheduling_round_commit_job(r, j);
        g_hash_table_add(written, j);
    }
}

static void plan_round(struct scheduling_round *r) {
    int k = r->shard;
    placement_prepare_machines(k);
    r->first = shard_states[k].fencing_token * 1048576 + shard_states[k].next;
    /* Completions are what users wait for, those first that other jobs wait for; then starts; then what else is known,
     * longest first. */
    GHashTable *written = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (int needed = 1; needed >= 0; needed--) write_completions(r, k, needed, written);
    GPtrArray *late = g_ptr_array_new(), *lists[] = {jobs_active_of(k), jobs_ended_of(k)};
    for (int l = 0; l < 2; l++)
        for (guint i = 0; i < lists[l]->len; i++) {
            struct job *j = lists[l]->pdata[i];
            if (j->n_dirty_chunks && !g_hash_table_contains(written, j)) g_ptr_array_add(late, j);
        }
    g_hash_table_destroy(written);
    if (r->writes_left > 0) scheduling_round_plan_jobs(r, k);
    rebalancing_plan(k);
    if (r->writes_left > 0) scheduling_round_commit_pages(r, k);
    for (guint i = 0; i < r->plans->len; i++) {
        struct job *j = g_array_index(r->plans, struct planned_task, i).job;
        if (i > 0 && j == g_array_index(r->plans, struct planned_task, i - 1).job) continue;
        scheduling_round_commit_job(r, j);
        g_ptr_array_remove(late, j);
    }
    g_ptr_array_sort(late, longest_touched);
    for (guint i = 0; i < late->len && r->writes_left > 0; i++) {
        const struct job *j = late->pdata[i];
        if (r->writes_left < AMPLE_CHANGES && clock_seconds_since(j->dirty_since) < GATHER_PROGRESS_S)
            break; /* the rest is younger */
        scheduling_round_commit_job(r, late->pdata[i]);
    }
    r->more |= late->len > 0 && r->writes_left <= 0;
    g_ptr_array_free(late, TRUE);
}

struct scheduling_round *scheduler_decide(int k, int left) {
    struct scheduling_round *r = g_new0(struct scheduling_round, 1);
    r->shard = k;
    r->plans = g_array_new(FALSE, FALSE, sizeof(struct planned_task));
    r->transactions = g_ptr_array_new_with_free_func(scheduling_round_txn_free);
    r->writes_left = left;
    r->isolated = clock_seconds_since(shard_states[k].isolated_until) < 0;
    /* With nothing left of the budget there is nothing to decide: the more has gathered, the more the next carries. */
    if (left >= LEAST_CHANGES) plan_round(r);
    return r;
}

int scheduler_planned_tasks(const struct scheduling_round *r, const char *job_id) {
    int n = 0;
    for (guint i = 0; i < r->plans->len; i++)
        n += !job_id || strcmp(g_array_index(r->plans, struct planned_task, i).job->spec.job_id, job_id) == 0;
    return n;
}
int scheduler_round_writes(const struct scheduling_round *r) {
    int n = 0;
    for (guint i = 0; i < r->transactions->len; i++) n += ((struct store_txn *)r->transactions->pdata[i])->writes;
    return n;
}
const GPtrArray *scheduler_round_transactions(const struct scheduling_round *r) { return r->transactions; }

int scheduler_largest_transaction(const struct scheduling_round *r) {
    int n = 0;
    for (guint i = 0; i < r->transactions->len; i++)
        n = MAX(n, ((struct store_txn *)r->transactions->pdata[i])->writes);
    return n;
}

void scheduler_round_free(struct scheduling_round *r) {
    g_array_free(r->plans, TRUE);
    g_ptr_array_free(r->transactions, TRUE);
    g_free(r);
}

void scheduler_apply(const struct scheduling_round *r, const struct store_txn *t, int64_t revision) {
    const cJSON *x;
    store_apply_committed(t, revision);
    cJSON_ArrayForEach(x, t->operations) {
        const char *set = json_get_string(x, "set");
        if (!set || !g_str_has_prefix(set, STORE_PREFIX_ALLOCATIONS)) continue;
        char job_id[64];
        g_strlcpy(job_id, set + 4, MIN(sizeof job_id, strcspn(set + 4, "/") + 1));
        struct job *j = jobs_find(job_id);
        for (guint i = 0; j && i < j->allocations->len; i++) {
            struct allocation *b = j->allocations->pdata[i];
            if (!b->inherited || b->attempt <= r->first) continue;
            b->inherited = false;
            b->machine->commands.wake = true;
        }
    }
    for (guint i = 0; i < machines_of_shard(r->shard)->len; i++) {
        struct machine *m = machines_of_shard(r->shard)->pdata[i];
        if (m->commands.needs_token_raise && machines_fencing_token(m) > m->commands.unknown_token)
            m->commands.needs_token_raise = false;
    }
}

/* After an unknown outcome the shard's mod revision is moved, so that what may still come late fails. */
static bool barrier(struct http_client *c, int k) {
    struct store_key key = store_key_shard(k);
    struct store_txn t;
    struct store_response a;
    store_refresh(c, key.text);
    store_txn_init(&t);
    store_lock();
    bool mine = membership_owns(k);
    const struct shard *s = membership_shard(k);
    store_txn_compare(&t, key.text, s->mod_revision);
    cJSON *o = cJSON_CreateObject();
    cJSON_AddStringToObject(o, "owner", s->owner);
    cJSON_AddStringToObject(o, "inc", s->incarnation);
    cJSON_AddNumberToObject(o, "fence", (double)s->fencing_token);
    store_txn_put(&t, key.text, o, 0);
    store_unlock();
    bool ok = false;
    if (mine && store_commit(c, STORE_PRIORITY_ALLOCATE, &t, &a) == STORE_OK) {
        store_lock();
        store_apply_committed(&t, a.revision);
        store_unlock();
        store_wake_watch();
        ok = true;
        store_response_clear(&a);
    }
    store_txn_free(&t);
    return ok;
}

/* A stage of a chain has ended, and the next waits for the record of that: it goes ahead of ordinary progress. */
static bool needed_end(int k) {
    GPtrArray *jobs = jobs_active_of(k);
    for (guint i = 0; i < jobs->len; i++) {
        const struct job *j = jobs->pdata[i];
        if (j->dependents && jobs_complete(j)) return true;
    }
    return false;
}

static bool run_round(struct http_client *c, int k) {
    struct scheduling_round *r = NULL;
    int left = store_budget_available(STORE_PRIORITY_PROGRESS);
    bool again = false;
    store_lock();
    bool mine = membership_owns(k);
    if (mine) {
        int64_t f = membership_shard(k)->fencing_token;
        if (shard_states[k].fencing_token != f) {
            shard_states[k].fencing_token = f;
            shard_states[k].next = 0;
            shard_states[k].barrier_pending = false;
            shard_states[k].since = clock_now();
            log_info("shard %d: owned under fencing token %lld", k, (long long)f);
        }
    }
    if (mine && left < LEAST_CHANGES && needed_end(k)) left = store_budget_available(STORE_PRIORITY_ALLOCATE);
    bool blocked = shard_states[k].barrier_pending;
    if (mine && !blocked) r = scheduler_decide(k, left);
    store_unlock();
    if (mine && blocked) {
        if (barrier(c, k)) shard_states[k].barrier_pending = false;
        again = true;
    }
    for (guint i = 0; r && i < r->transactions->len; i++) {
        struct store_txn *t = r->transactions->pdata[i];
        struct store_response a;
        if (!t->writes) continue;
        enum store_result rc = store_commit(c, STORE_PRIORITY_ALLOCATE, t, &a);
        if (rc == STORE_OK) {
            store_lock();
            scheduler_apply(r, t, a.revision);
            store_unlock();
            again = true;
        } else if (rc == STORE_CONFLICT) {
            shard_states[k].conflict_revision = a.revision;
            /* allocations and pages only in the order of the watch: read on their own they would be ahead of the
             * records that they rest on. */
            for (guint f = 0; f < a.conflicts->len; f++)
                if (!g_str_has_prefix(a.conflicts->pdata[f], STORE_PREFIX_ALLOCATIONS) &&
                    !g_str_has_prefix(a.conflicts->pdata[f], STORE_PREFIX_MACHINE_PAGE))
                    store_refresh(c, a.conflicts->pdata[f]);
            store_wake_watch();
            again = true;
        } else if (rc == STORE_INVALID) {
            /* Surely not executed. What it held is written apart from other work from now on, and not at once again. */
            if (r->isolated || t->writes == 1) scheduling_round_note_rejected(t);
            shard_states[k].isolated_until = clock_instant_in(clock_from_seconds(2 * REJECTED_KEY_PAUSE_S));
            again = true;
        } else if (rc == STORE_UNKNOWN) {
            shard_states[k].barrier_pending = true;
        }
        store_response_clear(&a);
        /* A conflict is one transaction's own: a fence that all controllers move once kept a shard from allocation
         * anything for minutes, because what stood behind the raise was dropped with it. */
        if (rc != STORE_OK && rc != STORE_CONFLICT && rc != STORE_INVALID) break;
    }
    events_publish(EVENT_DISPATCH);
    again |= (r && r->more) || (mine && left < LEAST_CHANGES);
    if (r) scheduler_round_free(r);
    return again;
}

#define STORE_SEEN_S 4.0 /* cut from the store as well, what it holds ours is no longer known */

/* A controller that hears none of its workers leaves its shards to others: at once where not one of many is heard in
 * any way, after a report interval where most don't report. */
static void give_up_when_deaf(const struct liveness_summary *h, struct timespec *hearing) {
    bool store_seen = clock_seconds_since(store_last_read()) <= STORE_SEEN_S;
    double heartbeat = clock_to_seconds(scheduler_settings->heartbeat_interval);
    if (h->up < 4 || h->reported * 10 >= h->up * 3 || !store_seen) *hearing = clock_now();
    bool deaf = store_seen && liveness_controller_isolated(h->up, h->newest_s, heartbeat);
    if ((deaf || clock_seconds_since(*hearing) > heartbeat) && !membership_workers_unreachable())
        membership_set_workers_unreachable(true);
}

static void *scheduler_main(void *arg) {
    (void)arg;
    struct http_client *c = http_client_new();
    struct timespec watched = {0, 0}, told = {0, 0}, hearing = clock_now();
    for (;;) {
        sync_wakeup_wait(&wakeup, clock_from_seconds(0.5));
        bool again = false;
        for (int k = 0; k < scheduler_settings->size; k++) again |= run_round(c, k);
        quota_commit_changes(c);
        if (clock_seconds_since(watched) > 0.5) {
            watched = clock_now();
            store_lock();
            struct liveness_summary h = liveness_summary();
            give_up_when_deaf(&h, &hearing);
            for (int k = 0; k < scheduler_settings->size; k++)
                if (membership_owns(k) && membership_may_answer()) {
                    liveness_check_machines(k, &h);
                    scale_in_run(k, false);
                    scale_in_run(k, true);
                }
            if (clock_seconds_since(told) > 10) {
                told = clock_now();
                for (int k = 0; k < scheduler_settings->size; k++)
                    if (membership_owns(k)) scale_in_log_status(k);
            }
            store_unlock();
            events_publish(EVENT_DISPATCH);
        }
        clock_sleep(clock_from_seconds(0.03));
        if (again) wake();
    }
    return NULL;
}

void scheduler_init(const struct settings *s) {
    scheduler_settings = s;
    sync_wakeup_init(&wakeup);
    events_subscribe(EVENT_SCHEDULE, wake);
}

void scheduler_start(void) { sync_start_thread(scheduler_main, NULL); }
