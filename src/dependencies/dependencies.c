#include "dependencies.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "../clock/clock.h"
#include "../events/events.h"
#include "../http/client.h"
#include "../logging/logging.h"
#include "../membership/membership.h"
#include "../peers/peers.h"
#include "../sync/sync.h"

static const struct settings *cfg;
static GPtrArray *to_cancel; /* prerequisites before their dependents; those over meanwhile go with the next look */
static struct sync_wakeup wakeup;

void dependencies_wake(void) { sync_wakeup_signal(&wakeup); }

bool dependencies_unmet(const struct job *j) { return j->unmet > 0; }
bool dependencies_must_cancel(const struct job *j) { return j->prerequisite_cancelled && j->state == JOB_QUEUED; }

static bool unfinished(const struct job *j) { return j->known && j->state == JOB_QUEUED; }
static bool cancelled_or_to_be(const struct job *j) { return j->state == JOB_CANCELLED || j->prerequisite_cancelled; }

/* ---- rank and deadline ---- */

static void reset_urgency(struct job *j) {
    j->priority = j->spec.priority;
    /* Where no aim of its class counts deadlines, its other aims say what is wanted. */
    bool counts =
        j->known && j->spec.deadline_s > 0 && settings_has_objective(cfg, OBJECTIVE_DEADLINE, j->spec.job_class);
    j->deadline = counts ? j->submitted + j->spec.deadline_s : INFINITY;
}

/* A dependent's rank, and its deadline less the time that it runs itself. True if that changed anything. */
static bool inherit_urgency(struct job *prerequisite, const struct job *dependent) {
    enum job_priority rank = MAX(prerequisite->priority, dependent->priority);
    double deadline = MIN(prerequisite->deadline, dependent->deadline - dependent->spec.runtime_s);
    bool changed = rank != prerequisite->priority || deadline < prerequisite->deadline;
    prerequisite->priority = rank;
    prerequisite->deadline = deadline;
    return changed;
}

/* Passes on what the jobs of the queue have, from dependents to prerequisites, as far as it changes anything. Chains
 * may be thousands of jobs long: a queue, no recursion. Takes the queue. */
static void pass_urgency_on(GQueue *queue) {
    struct job *j;
    while ((j = g_queue_pop_head(queue))) {
        for (guint i = 0; unfinished(j) && j->prerequisites && i < j->prerequisites->len; i++) {
            struct job *prerequisite = j->prerequisites->pdata[i];
            if (unfinished(prerequisite) && inherit_urgency(prerequisite, j)) g_queue_push_tail(queue, prerequisite);
        }
    }
    g_queue_free(queue);
}

/* A job that is not needed any more: what it needs goes back to what others ask of it. */
static void withdraw_urgency(struct job *cancelled) {
    GHashTable *above = g_hash_table_new(g_direct_hash, g_direct_equal);
    GQueue *queue = g_queue_new(), *sources = g_queue_new();
    g_queue_push_tail(queue, cancelled);
    struct job *j;
    while ((j = g_queue_pop_head(queue)))
        for (guint i = 0; j->prerequisites && i < j->prerequisites->len; i++) {
            struct job *prerequisite = j->prerequisites->pdata[i];
            if (!unfinished(prerequisite) || !g_hash_table_add(above, prerequisite)) continue;
            reset_urgency(prerequisite);
            g_queue_push_tail(queue, prerequisite);
            for (guint d = 0; d < prerequisite->dependents->len; d++)
                g_queue_push_tail(sources, prerequisite->dependents->pdata[d]);
        }
    g_queue_free(queue);
    g_hash_table_destroy(above);
    pass_urgency_on(sources);
}

/* ---- who waits for whom ---- */

static void link_prerequisites(struct job *j) {
    if (!j->spec.prerequisites) return;
    j->prerequisites = g_ptr_array_new();
    for (char **job_id = j->spec.prerequisites; *job_id; job_id++) {
        struct job *prerequisite = jobs_find_or_stub(*job_id);
        if (!prerequisite->dependents) prerequisite->dependents = g_ptr_array_new();
        g_ptr_array_add(j->prerequisites, prerequisite);
        g_ptr_array_add(prerequisite->dependents, j);
    }
}

/* Counts anew what the job waits for. Its times count from the end of the last of them, by the records, so that every
 * owner counts alike. A record of the first version names no end; it is older than any job with prerequisites. */
static void update_waiting(struct job *j) {
    double ready = j->submitted;
    j->unmet = 0;
    for (guint i = 0; j->prerequisites && i < j->prerequisites->len; i++) {
        const struct job *prerequisite = j->prerequisites->pdata[i];
        j->unmet += !(prerequisite->known && prerequisite->state == JOB_DONE);
        ready = MAX(ready, prerequisite->finished);
    }
    if (j->unmet == 0 && j->ready <= 0) j->eligible_since = clock_now();
    j->ready = j->unmet ? 0 : ready;
}

/* Marks the job and all that need it. */
static void mark_to_cancel(struct job *first) {
    GQueue *queue = g_queue_new();
    g_queue_push_tail(queue, first);
    struct job *j;
    while ((j = g_queue_pop_head(queue))) {
        if (!unfinished(j) || j->prerequisite_cancelled) continue;
        j->prerequisite_cancelled = true;
        j->cascade_since = clock_now();
        g_ptr_array_add(to_cancel, j);
        for (guint i = 0; j->dependents && i < j->dependents->len; i++)
            g_queue_push_tail(queue, j->dependents->pdata[i]);
    }
    g_queue_free(queue);
    dependencies_wake();
}

static void check_cancelled(struct job *j) {
    for (guint i = 0; j->prerequisites && i < j->prerequisites->len; i++)
        if (cancelled_or_to_be(j->prerequisites->pdata[i])) {
            mark_to_cancel(j);
            return;
        }
}

static void job_added(struct job *j) {
    link_prerequisites(j);
    reset_urgency(j);
    update_waiting(j);
    for (guint i = 0; j->dependents && i < j->dependents->len; i++) {
        const struct job *dependent = j->dependents->pdata[i];
        if (unfinished(dependent) && unfinished(j)) inherit_urgency(j, dependent);
    }
    GQueue *queue = g_queue_new();
    g_queue_push_tail(queue, j);
    pass_urgency_on(queue);
    check_cancelled(j);
}

static void job_ended(struct job *j) {
    for (guint i = 0; j->dependents && i < j->dependents->len; i++) {
        struct job *dependent = j->dependents->pdata[i];
        if (!dependent->known) continue;
        update_waiting(dependent);
        if (j->state == JOB_CANCELLED) mark_to_cancel(dependent);
    }
    if (j->state == JOB_CANCELLED) withdraw_urgency(j);
    if (j->dependents) events_publish(EVENT_SCHEDULE);
}

bool dependencies_any_cancelled(char *const *prerequisites) {
    for (; prerequisites && *prerequisites; prerequisites++) {
        const struct job *j = jobs_find(*prerequisites);
        if (j && j->known && cancelled_or_to_be(j)) return true;
    }
    return false;
}

/* ---- submissions ---- */

enum name_status { NAME_GOOD, NAME_UNKNOWN, NAME_UNREADABLE, NAME_SERVICE };

static enum name_status look_up(const char *job_id) {
    struct store_key key = store_key_job(job_id);
    store_lock();
    const struct job *j = jobs_find(job_id);
    enum name_status status = j && j->known                  ? (j->spec.kind == JOB_SERVICE ? NAME_SERVICE : NAME_GOOD)
                              : store_key_revision(key.text) ? NAME_UNREADABLE
                                                             : NAME_UNKNOWN;
    store_unlock();
    return status;
}

static unsigned check_name(struct http_client *c, const char *name, char *why, size_t n) {
    struct store_key key = store_key_job(name);
    enum name_status status = look_up(name);
    if (status == NAME_UNKNOWN) {
        if (!store_refresh(c, key.text)) {
            snprintf(why, n, "the state service did not answer");
            return 503;
        }
        status = look_up(name);
    }
    switch (status) {
        case NAME_GOOD:
            return 0;
        case NAME_SERVICE:
            snprintf(why, n, "prereqs: %s is a service", name);
            return 422;
        case NAME_UNREADABLE:
            snprintf(why, n, "prereqs: the record of %s can't be read", name);
            return 503;
        default:
            snprintf(why, n, "prereqs: %s was never accepted", name);
            return 422;
    }
}

unsigned dependencies_check(struct http_client *c, const char *job_id, char *const *prerequisites, char *why,
                            size_t n) {
    unsigned status = 0;
    for (; status == 0 && prerequisites && *prerequisites; prerequisites++) {
        if (strcmp(*prerequisites, job_id) == 0) {
            snprintf(why, n, "prereqs: %s names itself", job_id);
            return 422;
        }
        status = check_name(c, *prerequisites, why, n);
    }
    return status;
}

/* ---- cancellation of what needs a cancelled job ---- */

/* The controller that told the user writes first, then the owner, then anyone: all three may be about to end. */
#define OWNER_AFTER_S 0.5
#define ANYONE_AFTER_S 4.0

static bool told_by_us(const struct job *j) {
    for (guint i = 0; i < j->prerequisites->len; i++) {
        const struct job *prerequisite = j->prerequisites->pdata[i];
        if (prerequisite->cancel_acknowledged || prerequisite->cascade_owned) return true;
    }
    return false;
}

static bool our_turn(struct job *j) {
    j->cascade_owned = j->cascade_owned || told_by_us(j);
    double waited = clock_seconds_since(j->cascade_since);
    return j->cascade_owned || waited > ANYONE_AFTER_S || (waited > OWNER_AFTER_S && membership_owns(jobs_shard(j)));
}

int dependencies_next_cancellations(struct job **out, int most) {
    int n = 0;
    guint kept = 0;
    for (guint i = 0; i < to_cancel->len; i++) {
        struct job *j = to_cancel->pdata[i];
        if (j->state != JOB_QUEUED) continue;
        to_cancel->pdata[kept++] = j;
        if (our_turn(j) && n < most) out[n++] = j;
    }
    g_ptr_array_set_size(to_cancel, (gint)kept);
    return n;
}

#define CANCELS_MAX 16 /* a transaction */
#define PACE_S 0.15    /* between transactions: users' own requests come from the same budget */
#define LOOK_S 0.5

/* One transaction; true if more may follow at once. */
static bool write_cancels(struct http_client *c) {
    struct job *jobs[CANCELS_MAX];
    struct store_txn t;
    struct store_response a;
    store_txn_init(&t);
    store_lock();
    int n = store_unreachable() ? 0 : dependencies_next_cancellations(jobs, MIN(CANCELS_MAX, cfg->txn_ops));
    for (int i = 0; i < n; i++) {
        struct store_key key = store_key_job(jobs[i]->spec.job_id);
        store_txn_compare(&t, key.text, store_key_revision(key.text));
        store_txn_put(&t, key.text, jobs_final_value(jobs[i], JOB_CANCELLED), 0);
    }
    store_unlock();
    enum store_result result = n > 0 ? store_commit(c, STORE_PRIORITY_ACCEPT, &t, &a) : STORE_REJECTED;
    if (result == STORE_OK) {
        store_lock();
        store_apply_committed(&t, a.revision);
        store_unlock();
        log_info("dependencies: %d jobs cancelled with a prerequisite", n);
        peers_hint();
    } else if (result == STORE_CONFLICT) {
        for (guint i = 0; i < a.conflicts->len; i++) store_refresh(c, a.conflicts->pdata[i]);
    }
    if (n > 0) store_response_clear(&a);
    store_txn_free(&t);
    return result == STORE_OK || result == STORE_CONFLICT;
}

static void *dependencies_main(void *arg) {
    (void)arg;
    struct http_client *c = http_client_new();
    for (;;) {
        sync_wakeup_wait(&wakeup, clock_from_seconds(LOOK_S));
        while (write_cancels(c)) clock_sleep(clock_from_seconds(PACE_S));
    }
    return NULL;
}

void dependencies_init(const struct settings *s) {
    cfg = s;
    jobs_subscribe((struct jobs_observer){.added = job_added, .ended = job_ended});
    to_cancel = g_ptr_array_new();
    sync_wakeup_init(&wakeup);
}

void dependencies_start(void) { sync_start_thread(dependencies_main, NULL); }
