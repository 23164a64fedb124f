#include "store.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../clock/clock.h"
#include "../http/client.h"
#include "../json/json.h"
#include "../logging/logging.h"
#include "../sync/sync.h"

static const struct settings *cfg;

/* ---- budget ---- */

/* The service counts for all controllers together; each keeps to its part and leaves a reserve for the more pressing
 * classes. Parts are not used evenly, so that each takes more than its own while the service does not refuse, and
 * falls back when it does. */
static pthread_mutex_t budget_lock = PTHREAD_MUTEX_INITIALIZER;
static double budget_calls, budget_writes, pace_calls = 1, pace_writes = 1;
static int budget_parts = 1;
static double budget_writing = 1; /* our part of the changes */
static struct timespec budget_at, budget_block;
static unsigned budget_used;
static const double budget_reserve[] = {-1e9, 0, 0.08, 0.2, 0.3};
#define PACE_MIN 0.8
#define PACE_MAX 3.0     /* of changes: as many times its part as there are controllers, if these are more */
#define PACE_GROWTH 0.08 /* a second */

static double rate_calls(void) { return MIN(cfg->state_rps * 0.8, cfg->state_rps * pace_calls / budget_parts); }
static double rate_writes(void) {
    return MIN(cfg->state_write_rps * 0.8, cfg->state_write_rps * 0.95 * pace_writes * budget_writing);
}
/* The bucket holds a whole transaction, however small the part is. */
static double most_writes(void) { return MIN(MAX(rate_writes(), cfg->txn_ops), cfg->state_write_rps); }

static void budget_refill(void) {
    struct timespec now = clock_now();
    double dt = clock_to_seconds(now) - clock_to_seconds(budget_at);
    budget_at = now;
    budget_calls = MIN(budget_calls + dt * rate_calls(), rate_calls());
    budget_writes = MIN(budget_writes + dt * rate_writes(), most_writes());
    pace_calls = MIN(pace_calls + dt * PACE_GROWTH, PACE_MAX);
    /* An owner of a flood of small jobs may take all that the others leave: with a third of that at most it once wrote
     * ten changes a second while twenty-five were allowed, and 200 machines stood idle beside what waited. */
    pace_writes = MIN(pace_writes + dt * PACE_GROWTH, MAX(PACE_MAX, budget_parts));
}

void store_budget_set_fraction(int controllers, double writing) {
    pthread_mutex_lock(&budget_lock);
    budget_parts = MAX(controllers, 1);
    budget_writing = writing;
    pthread_mutex_unlock(&budget_lock);
}

static bool budget_take(enum store_priority cls, int writes) {
    pthread_mutex_lock(&budget_lock);
    budget_refill();
    double keep = budget_reserve[cls], cap = most_writes();
    bool ok = budget_calls - 1 >= keep * rate_calls() &&
              (writes == 0 || budget_writes >= keep * cap + MIN(writes, cap * 0.5));
    if (cls != STORE_PRIORITY_LEASE && clock_to_seconds(budget_at) < clock_to_seconds(budget_block)) ok = false;
    if (ok) {
        budget_calls -= 1;
        budget_writes -= writes;
        budget_used++;
    }
    pthread_mutex_unlock(&budget_lock);
    return ok;
}

int store_budget_available(enum store_priority cls) {
    pthread_mutex_lock(&budget_lock);
    budget_refill();
    double room = budget_writes - budget_reserve[cls] * most_writes();
    bool blocked = clock_to_seconds(budget_at) < clock_to_seconds(budget_block) ||
                   budget_calls - 1 < budget_reserve[cls] * rate_calls();
    pthread_mutex_unlock(&budget_lock);
    return blocked || room < 0 ? 0 : (int)room;
}

/* After 429. One without changes was over the rate of requests only: with many polls, slowing the changes down for it
 * once left hundreds of machines idle for minutes, while the rate of changes was half used. */
static void budget_pause(bool changes) {
    pthread_mutex_lock(&budget_lock);
    budget_block = clock_instant_in(clock_from_seconds(0.12));
    pace_calls = MAX(pace_calls * 0.8, PACE_MIN);
    if (changes) pace_writes = MAX(pace_writes * 0.8, PACE_MIN);
    pthread_mutex_unlock(&budget_lock);
}

double store_budget_rate_factor(bool changes) {
    pthread_mutex_lock(&budget_lock);
    double pace = changes ? pace_writes : pace_calls;
    pthread_mutex_unlock(&budget_lock);
    return pace;
}

bool store_budget_requests_scarce(void) {
    pthread_mutex_lock(&budget_lock);
    budget_refill();
    bool scarce = budget_calls < 0.5 * rate_calls();
    pthread_mutex_unlock(&budget_lock);
    return scarce;
}

unsigned store_budget_requests_sent(void) {
    pthread_mutex_lock(&budget_lock);
    unsigned n = budget_used;
    pthread_mutex_unlock(&budget_lock);
    return n;
}

void store_init(const struct settings *s) {
    cfg = s;
    budget_at = clock_now();
    budget_calls = s->state_rps * 0.3;
    budget_writes = s->state_write_rps * 0.3;
}

/* ---- transactions ---- */

void store_txn_init(struct store_txn *t) {
    t->comparisons = cJSON_CreateArray();
    t->operations = cJSON_CreateArray();
    t->writes = 0;
}

void store_txn_compare(struct store_txn *t, const char *key, int64_t mod_revision) {
    const cJSON *x;
    cJSON_ArrayForEach(x, t->comparisons) if (strcmp(json_get_string(x, "path"), key) == 0) return;
    cJSON *o = cJSON_CreateObject();
    cJSON_AddStringToObject(o, "path", key);
    cJSON_AddNumberToObject(o, "stamp", (double)mod_revision);
    cJSON_AddItemToArray(t->comparisons, o);
}

void store_txn_put(struct store_txn *t, const char *key, cJSON *data, int64_t lease) {
    cJSON *o = cJSON_CreateObject();
    cJSON_AddStringToObject(o, "set", key);
    cJSON_AddItemToObject(o, "data", data);
    if (lease) cJSON_AddNumberToObject(o, "lease", (double)lease);
    cJSON_AddItemToArray(t->operations, o);
    t->writes++;
}

void store_txn_delete(struct store_txn *t, const char *key) {
    cJSON *o = cJSON_CreateObject();
    cJSON_AddStringToObject(o, "remove", key);
    cJSON_AddItemToArray(t->operations, o);
    t->writes++;
}

void store_txn_free(struct store_txn *t) {
    cJSON_Delete(t->comparisons);
    cJSON_Delete(t->operations);
    t->comparisons = t->operations = NULL;
}

void store_response_clear(struct store_response *a) {
    if (a->conflicts) g_ptr_array_free(a->conflicts, TRUE);
    a->conflicts = NULL;
}

static enum store_result call(struct http_client *c, const char *method, const char *path, const char *body,
                              long timeout_ms, cJSON **answer, long *status) {
    char url[512];
    snprintf(url, sizeof url, "http://%s%s", cfg->state, path);
    enum http_outcome o = http_call(c, method, url, body, timeout_ms, status, answer);
    if (o == HTTP_NOT_SENT) return STORE_REJECTED;
    if (o == HTTP_UNKNOWN) return STORE_UNKNOWN;
    if (*status == 429) budget_pause(body && strstr(body, "\"then\":"));
    if (*status == 429 || *status == 503) return STORE_REJECTED;
    if (*status == 400) return STORE_INVALID;
    return STORE_OK;
}

/* The service names no reason. What it may be is in the sizes: a value, or the number of operations. */
static void log_bad(const struct store_txn *t) {
    const cJSON *op;
    GString *what = g_string_new("");
    cJSON_ArrayForEach(op, t->operations) {
        char *value = cJSON_PrintUnformatted(cJSON_GetObjectItemCaseSensitive(op, "data"));
        const char *key = json_get_string(op, "set") ? json_get_string(op, "set") : json_get_string(op, "remove");
        g_string_append_printf(what, " %s (%zu bytes)", key, value ? strlen(value) : 0);
        free(value);
    }
    log_error("store rejects a transaction as malformed: %d operations, %d comparisons:%s", t->writes,
              cJSON_GetArraySize(t->comparisons), what->str);
    g_string_free(what, TRUE);
}

static struct store_write_counts changes;

static void count_changes(const struct store_txn *t) {
    const cJSON *op;
    pthread_mutex_lock(&budget_lock);
    cJSON_ArrayForEach(op, t->operations) {
        const char *set = json_get_string(op, "set"), *key = set ? set : json_get_string(op, "remove");
        if (g_str_has_prefix(key, STORE_PREFIX_JOB))
            changes.jobs++;
        else if (g_str_has_prefix(key, STORE_PREFIX_ALLOCATIONS))
            ++*(set ? &changes.allocations : &changes.releases);
        else if (g_str_has_prefix(key, STORE_PREFIX_MACHINE_PAGE) || g_str_has_prefix(key, STORE_PREFIX_MACHINE))
            changes.pages++;
        else
            changes.others++;
    }
    pthread_mutex_unlock(&budget_lock);
}

struct store_write_counts store_writes_counted(void) {
    pthread_mutex_lock(&budget_lock);
    struct store_write_counts now = changes;
    pthread_mutex_unlock(&budget_lock);
    return now;
}

enum store_result store_commit(struct http_client *c, enum store_priority cls, struct store_txn *t,
                               struct store_response *a) {
    a->revision = 0;
    a->conflicts = NULL;
    if (!budget_take(cls, t->writes)) return STORE_REJECTED;
    cJSON *o = cJSON_CreateObject(), *ans = NULL;
    cJSON_AddItemReferenceToObject(o, "if", t->comparisons);
    if (t->writes) cJSON_AddItemReferenceToObject(o, "then", t->operations);
    char *body = cJSON_PrintUnformatted(o);
    cJSON_Delete(o);
    long status;
    /* Users wait 2 s for a poll and 5 s for a submission: a silent store must leave time for a refusal. */
    enum store_result r = call(c, "POST", "/multi", body, t->writes ? 2000 : 1200, &ans, &status);
    if (r == STORE_OK) {
        if (status == 200 && json_get_int64(ans, "epoch", &a->revision)) {
        } else if (status == 409) {
            r = STORE_CONFLICT;
            json_get_int64(ans, "epoch", &a->revision);
            a->conflicts = g_ptr_array_new_with_free_func(g_free);
            const cJSON *x;
            cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(ans, "failed")) if (cJSON_IsString(x))
                g_ptr_array_add(a->conflicts, g_strdup(x->valuestring));
        } else {
            r = STORE_UNKNOWN;
        }
    }
    if (r == STORE_INVALID) log_bad(t);
    if (r == STORE_OK) count_changes(t);
    free(body);
    cJSON_Delete(ans);
    return r;
}

enum store_result store_get(struct http_client *c, const char *key, cJSON **data, int64_t *mod_revision,
                            int64_t *revision) {
    char path[300];
    cJSON *ans = NULL;
    long status;
    *data = NULL;
    *mod_revision = 0;
    *revision = 0;
    if (!budget_take(STORE_PRIORITY_CANCEL, 0)) return STORE_REJECTED;
    snprintf(path, sizeof path, "/kv/%s", key);
    enum store_result r = call(c, "GET", path, NULL, 1500, &ans, &status);
    if (r == STORE_OK && status == 200 && json_get_int64(ans, "stamp", mod_revision))
        *data = cJSON_DetachItemFromObjectCaseSensitive(ans, "data");
    else if (r == STORE_OK && status == 404 && json_get_int64(ans, "epoch", revision))
        r = STORE_OK;
    else
        r = STORE_REJECTED; /* a read that brought nothing changed nothing */
    cJSON_Delete(ans);
    return r;
}

enum store_result store_lease_grant(struct http_client *c, struct timespec ttl, int64_t *lease) {
    char body[64];
    cJSON *ans = NULL;
    long status;
    snprintf(body, sizeof body, "{\"ttl_ms\":%lld}", (long long)(clock_to_seconds(ttl) * 1000));
    budget_take(STORE_PRIORITY_LEASE, 0);
    enum store_result r = call(c, "POST", "/grants", body, 1500, &ans, &status);
    if (r == STORE_OK && !(status == 200 && json_get_int64(ans, "lease", lease))) r = STORE_UNKNOWN;
    cJSON_Delete(ans);
    return r;
}

enum store_result store_lease_renew(struct http_client *c, int64_t lease) {
    char path[64];
    cJSON *ans = NULL;
    long status;
    snprintf(path, sizeof path, "/grants/%lld/renew", (long long)lease);
    budget_take(STORE_PRIORITY_LEASE, 0);
    enum store_result r = call(c, "POST", path, "{}", 1200, &ans, &status);
    cJSON_Delete(ans);
    if (r == STORE_OK && status == 404) return STORE_CONFLICT;
    if (r == STORE_OK && status != 200) return STORE_UNKNOWN;
    return r;
}

/* ---- mirror ---- */

struct observer {
    char *prefix;
    store_observer fn;
};
struct key_revision {
    int64_t mod_revision;
    bool gone;
};
static pthread_mutex_t mirror_lock = PTHREAD_MUTEX_INITIALIZER;
static GArray *observers;
static GHashTable *key_revisions; /* key -> key_revision; a removed key stays until the watch has passed its removal */
static int64_t mirror_revision;
static bool mirror_ready;
static struct timespec mirror_verified;
static struct sync_wakeup nudge;

void store_lock(void) { pthread_mutex_lock(&mirror_lock); }
void store_unlock(void) { pthread_mutex_unlock(&mirror_lock); }
int64_t store_revision(void) { return mirror_revision; }
bool store_synced(void) { return mirror_ready; }
struct timespec store_last_read(void) {
    return mirror_verified;
}

void store_observe_prefix(const char *prefix, store_observer fn) {
    if (!observers) observers = g_array_new(FALSE, FALSE, sizeof(struct observer));
    if (!key_revisions) key_revisions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    struct observer o = {g_strdup(prefix), fn};
    g_array_append_val(observers, o);
}

void store_apply(const char *key, const cJSON *data, int64_t mod_revision) {
    struct key_revision *row = g_hash_table_lookup(key_revisions, key);
    /* What a late watch or read brings must not undo what a newer one, or our own write, has shown. */
    if (row && row->mod_revision >= mod_revision) return;
    if (!row) {
        row = g_new0(struct key_revision, 1);
        g_hash_table_insert(key_revisions, g_strdup(key), row);
    }
    row->mod_revision = mod_revision;
    row->gone = data == NULL;
    for (guint i = 0; i < observers->len; i++) {
        struct observer *o = &g_array_index(observers, struct observer, i);
        if (g_str_has_prefix(key, o->prefix)) o->fn(key + strlen(o->prefix), data, mod_revision);
    }
}

void store_apply_committed(const struct store_txn *t, int64_t revision) {
    const cJSON *op;
    cJSON_ArrayForEach(op, t->operations) {
        const char *set = json_get_string(op, "set"), *removed = json_get_string(op, "remove");
        if (set) store_apply(set, cJSON_GetObjectItemCaseSensitive(op, "data"), revision);
        if (removed) store_apply(removed, NULL, revision);
    }
}

int64_t store_key_revision(const char *key) {
    struct key_revision *row = g_hash_table_lookup(key_revisions, key);
    return row && !row->gone ? row->mod_revision : 0;
}

bool store_refresh(struct http_client *c, const char *key) {
    cJSON *data;
    int64_t mod_revision, revision;
    if (store_get(c, key, &data, &mod_revision, &revision) != STORE_OK) return false;
    store_lock();
    if (data)
        store_apply(key, data, mod_revision);
    else if (store_key_revision(key) && store_key_revision(key) <= revision)
        store_apply(key, NULL, revision);
    store_unlock();
    cJSON_Delete(data);
    return true;
}

static gboolean sweep_gone(gpointer key, gpointer value, gpointer data) {
    (void)key;
    (void)data;
    struct key_revision *row = value;
    /* Kept well past the removal: a slow read that began before it must not bring the key back. */
    return row->gone && row->mod_revision + 5000 <= mirror_revision;
}

static bool read_all(struct http_client *c) {
    GHashTable *seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GString *since = g_string_new("");
    int64_t first = -1;
    bool more = true, ok = true;
    struct timespec sent = clock_now();
    while (more && ok) {
        char path[400];
        cJSON *ans = NULL, *x;
        long status;
        char *esc = g_uri_escape_string(since->str, "/", FALSE);
        snprintf(path, sizeof path, "/kv?prefix=&since=%s&most=500", esc);
        g_free(esc);
        budget_take(STORE_PRIORITY_LEASE, 0);
        int64_t revision = 0;
        ok = call(c, "GET", path, NULL, 3000, &ans, &status) == STORE_OK && status == 200 &&
             json_get_int64(ans, "epoch", &revision);
        if (ok) {
            if (first < 0) first = revision;
            store_lock();
            cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(ans, "rows")) {
                int64_t mod_revision;
                const char *key = json_get_string(x, "path");
                if (!key || !json_get_int64(x, "stamp", &mod_revision)) continue;
                store_apply(key, cJSON_GetObjectItemCaseSensitive(x, "data"), mod_revision);
                g_hash_table_add(seen, g_strdup(key));
                g_string_assign(since, key);
            }
            store_unlock();
            more = json_get_bool(ans, "has_next");
        }
        cJSON_Delete(ans);
    }
    if (ok) {
        /* After a gap in the watch, keys that went meanwhile are those not listed any more. */
        GPtrArray *lost = g_ptr_array_new_with_free_func(g_free);
        GHashTableIter it;
        gpointer k, v;
        store_lock();
        g_hash_table_iter_init(&it, key_revisions);
        while (g_hash_table_iter_next(&it, &k, &v)) {
            struct key_revision *row = v;
            if (!row->gone && row->mod_revision <= first && !g_hash_table_contains(seen, k))
                g_ptr_array_add(lost, g_strdup(k));
        }
        for (guint i = 0; i < lost->len; i++) store_apply(lost->pdata[i], NULL, first);
        mirror_revision = first;
        mirror_verified = sent;
        mirror_ready = true;
        store_unlock();
        g_ptr_array_free(lost, TRUE);
    }
    g_hash_table_destroy(seen);
    g_string_free(since, TRUE);
    return ok;
}

void store_wake_watch(void) { sync_wakeup_signal(&nudge); }

static int hold_most(void) {
    /* An idle watch must come back well within the time for which a look at the store stays good. */
    return (int)(CLAMP((clock_to_seconds(cfg->cancel) - clock_to_seconds(cfg->lease)) / 8, 0.1, 0.7) * 1000);
}

bool store_unreachable(void) {
    /* Just before an idle watch returns, the last one that did was sent two holds ago. */
    return !mirror_ready || clock_seconds_since(mirror_verified) >
                                2 * hold_most() / 1000.0 + clock_to_seconds(cfg->tuning.watch_gap) + 0.9;
}

static void *mirror_main(void *arg) {
    (void)arg;
    struct http_client *c = http_client_new();
    bool full = true, failed = false;
    for (;;) {
        if (full) {
            full = !read_all(c);
            if (full) clock_sleep(clock_from_seconds(0.3));
            continue;
        }
        char path[160];
        cJSON *ans = NULL, *x;
        long status;
        struct timespec sent = clock_now();
        /* After a failure the first look asks for no hold: its answer is what everyone waits for. */
        int hold_ms = failed ? 0 : hold_most();
        failed = true;
        snprintf(path, sizeof path, "/changes?prefix=&since=%lld&hold_ms=%d", (long long)mirror_revision, hold_ms);
        budget_take(STORE_PRIORITY_LEASE, 0);
        enum store_result r = call(c, "GET", path, NULL, 4000, &ans, &status);
        int64_t revision;
        if (r == STORE_OK && status == 200 && json_get_int64(ans, "epoch", &revision)) {
            store_lock();
            cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(ans, "events")) {
                int64_t mod_revision;
                if (!json_get_int64(x, "stamp", &mod_revision)) continue;
                const char *set = json_get_string(x, "set"), *gone = json_get_string(x, "remove");
                if (set) store_apply(set, cJSON_GetObjectItemCaseSensitive(x, "data"), mod_revision);
                if (gone) store_apply(gone, NULL, mod_revision);
            }
            if (revision > mirror_revision) mirror_revision = revision;
            g_hash_table_foreach_remove(key_revisions, sweep_gone, NULL);
            mirror_verified = sent;
            store_unlock();
            failed = false;
        } else if (r == STORE_OK && status == 410) {
            full = true;
        } else {
            clock_sleep(clock_from_seconds(0.25));
        }
        cJSON_Delete(ans);
        /* A short gap gathers changes into one answer; someone who waits for one cuts it short. */
        sync_wakeup_wait(&nudge, cfg->tuning.watch_gap);
    }
    return NULL;
}

void store_mirror_start(void) {
    sync_wakeup_init(&nudge);
    sync_start_thread(mirror_main, NULL);
}
