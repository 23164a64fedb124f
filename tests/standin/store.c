#include "store.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "clock/clock.h"
#include "http/server.h"
#include "json/json.h"

struct row {
    char *text;
    int64_t mod_revision, lease;
};
struct event {
    char *key, *text; /* text NULL: removed */
    int64_t mod_revision;
};
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GTree *rows;
static GPtrArray *events;
static GHashTable *leases, *calls; /* lease -> struct lease; path -> calls */
static bool door_shut[STANDIN_ENDPOINTS_MAX];

struct lease {
    double ttl_s;
    struct timespec renewed;
};
static int64_t revision = 1, next_lease = 1;
static enum standin_store_fault trouble;
static double late_s; /* > 0: every second transaction that writes gets no answer and is carried out that much later */
static double slow_s;
static unsigned written;
struct late {
    cJSON *body;
    struct timespec due;
};
static GQueue *late;

static int by_key(gconstpointer first, gconstpointer second, gpointer unused) {
    (void)unused;
    return strcmp(first, second);
}

static void row_free(gpointer path) {
    struct row *row = path;
    g_free(row->text);
    g_free(row);
}

static void note(const char *key, const char *text) {
    struct event *event = g_new0(struct event, 1);
    event->key = g_strdup(key);
    event->text = g_strdup(text);
    event->mod_revision = revision;
    g_ptr_array_add(events, event);
}

static GHashTable *done_at; /* uid -> struct timespec */

static void note_done(const char *key, const char *text) {
    if (!g_str_has_prefix(key, "job/") || !strstr(text, "\"state\":\"done\"")) return;
    if (!done_at) done_at = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    if (g_hash_table_contains(done_at, key + 4)) return;
    struct timespec *now = g_new0(struct timespec, 1);
    *now = clock_now();
    g_hash_table_insert(done_at, g_strdup(key + 4), now);
}

static void put(const char *key, const char *text, int64_t lease) {
    note_done(key, text);
    struct row *row = g_new0(struct row, 1);
    row->text = g_strdup(text);
    row->mod_revision = revision;
    row->lease = lease;
    g_tree_replace(rows, g_strdup(key), row);
    note(key, text);
}

static void drop(const char *key) {
    if (g_tree_remove(rows, key)) note(key, NULL);
}

static int64_t stamp_of(const char *key) {
    struct row *row = g_tree_lookup(rows, key);
    return row ? row->mod_revision : 0;
}

struct keys_of {
    int64_t lease;
    GPtrArray *keys;
};

static gboolean collect(gpointer key, gpointer value, gpointer data) {
    struct keys_of *found = data;
    if (((struct row *)value)->lease == found->lease) g_ptr_array_add(found->keys, g_strdup(key));
    return FALSE;
}

/* Leases that were not renewed in time end, and their keys with them. */
static void end_leases(void) {
    GHashTableIter iterator;
    gpointer key, value;
    g_hash_table_iter_init(&iterator, leases);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        struct lease *lease = value;
        if (clock_seconds_since(lease->renewed) < lease->ttl_s) continue;
        struct keys_of found = {GPOINTER_TO_INT(key), g_ptr_array_new_with_free_func(g_free)};
        g_tree_foreach(rows, collect, &found);
        if (found.keys->len) revision++;
        for (guint i = 0; i < found.keys->len; i++) drop(found.keys->pdata[i]);
        g_ptr_array_free(found.keys, TRUE);
        g_hash_table_iter_remove(&iterator);
    }
}

static int unguarded;

static double limit_value_kb = 1e9;
static int limit_ops = 1000000, limit_rps = 1000000, malformed, second_writes;
static struct timespec second_began;

/* 0, or what a transaction gets that is beyond the limits. Even one whose conditions fail counts as changes. */
static unsigned beyond_limits(const cJSON *then) {
    bool too_large = cJSON_GetArraySize(then) > limit_ops;
    const cJSON *item;
    cJSON_ArrayForEach(item, then) {
        char *text = cJSON_PrintUnformatted(cJSON_GetObjectItem(item, "data"));
        too_large |= text && (double)strlen(text) > limit_value_kb * 1024;
        free(text);
    }
    malformed += too_large;
    if (too_large) return 400;
    if (clock_seconds_since(second_began) > 1) {
        second_began = clock_now();
        second_writes = 0;
    }
    second_writes += cJSON_GetArraySize(then);
    return second_writes > limit_rps ? 429 : 0;
}

static bool names_own(const cJSON *comparisons, const char *key) {
    const cJSON *item;
    cJSON_ArrayForEach(item, comparisons) if (strcmp(json_get_string(item, "path"), key) == 0) return true;
    return false;
}

static unsigned multi(const cJSON *object, cJSON *out) {
    const cJSON *item, *then = cJSON_GetObjectItem(object, "then");
    unsigned beyond = beyond_limits(then);
    if (beyond) return beyond;
    cJSON *failed = cJSON_CreateArray();
    cJSON_ArrayForEach(item, cJSON_GetObjectItem(object, "if")) {
        int64_t want = -1;
        json_get_int64(item, "stamp", &want);
        if (stamp_of(json_get_string(item, "path")) != want)
            cJSON_AddItemToArray(failed, cJSON_CreateString(json_get_string(item, "path")));
    }
    cJSON_ArrayForEach(item, then) {
        const char *key = json_get_string(item, "set") ? json_get_string(item, "set") : json_get_string(item, "remove");
        bool held = g_str_has_prefix(key, "run/") || g_str_has_prefix(key, "fleet/");
        unguarded += held && !names_own(cJSON_GetObjectItem(object, "if"), key);
        int64_t lease = 0;
        if (json_get_int64(item, "lease", &lease) && !g_hash_table_contains(leases, GINT_TO_POINTER((int)lease))) {
            cJSON_Delete(failed);
            return 400;
        }
    }
    if (cJSON_GetArraySize(failed)) {
        cJSON_AddItemToObject(out, "failed", failed);
        cJSON_AddNumberToObject(out, "epoch", (double)revision);
        return 409;
    }
    cJSON_Delete(failed);
    if (cJSON_GetArraySize(then)) revision++;
    cJSON_ArrayForEach(item, then) {
        int64_t lease = 0;
        json_get_int64(item, "lease", &lease);
        if (json_get_string(item, "set")) {
            char *text = cJSON_PrintUnformatted(cJSON_GetObjectItem(item, "data"));
            put(json_get_string(item, "set"), text, lease);
            free(text);
        } else {
            drop(json_get_string(item, "remove"));
        }
    }
    cJSON_AddNumberToObject(out, "epoch", (double)revision);
    return 200;
}

static void carry_out_late(void) {
    for (struct late *lease; (lease = g_queue_peek_head(late)) && clock_seconds_since(lease->due) >= 0;) {
        cJSON *out = cJSON_CreateObject();
        g_queue_pop_head(late);
        multi(lease->body, out);
        cJSON_Delete(out);
        cJSON_Delete(lease->body);
        g_free(lease);
    }
}

static gboolean list_row(gpointer key, gpointer value, gpointer data) {
    struct row *row = value;
    cJSON *item = cJSON_CreateObject();
    cJSON_AddStringToObject(item, "path", key);
    cJSON_AddItemToObject(item, "data", cJSON_Parse(row->text));
    cJSON_AddNumberToObject(item, "stamp", (double)row->mod_revision);
    cJSON_AddItemToArray(data, item);
    return FALSE;
}

/* This server's paths come without their query; the stand-in tells every change it holds, and clients drop what
 * they know. */
static void tell_changes(cJSON *out) {
    cJSON *list = cJSON_AddArrayToObject(out, "events");
    for (guint i = 0; i < events->len; i++) {
        struct event *event = events->pdata[i];
        cJSON *item = cJSON_CreateObject();
        cJSON_AddStringToObject(item, event->text ? "set" : "remove", event->key);
        if (event->text) cJSON_AddItemToObject(item, "data", cJSON_Parse(event->text));
        cJSON_AddNumberToObject(item, "stamp", (double)event->mod_revision);
        cJSON_AddItemToArray(list, item);
    }
    cJSON_AddNumberToObject(out, "epoch", (double)revision);
}

static void on_request(struct http_request *row, void *ctx) {
    const bool *shut = ctx;
    const char *path = http_path(row);
    size_t len;
    cJSON *body = cJSON_ParseWithLength(http_body(row, &len), strlen(http_body(row, NULL))),
          *out = cJSON_CreateObject();
    unsigned status = 200;
    pthread_mutex_lock(&lock);
    double wait = slow_s;
    pthread_mutex_unlock(&lock);
    if (wait > 0) clock_sleep(clock_from_seconds(wait)); /* one thread serves all: everybody waits */
    pthread_mutex_lock(&lock);
    g_hash_table_insert(calls, g_strdup(path), GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(calls, path)) + 1));
    bool is_multi = strcmp(path, "/multi") == 0;
    end_leases();
    carry_out_late();
    if (trouble == STANDIN_OUTAGE || *shut) {
        status = 503;
    } else if (is_multi && trouble == STANDIN_RATE_LIMITED) {
        status = 429;
        trouble = STANDIN_NO_FAULT;
    } else if (is_multi && late_s > 0 && cJSON_GetArraySize(cJSON_GetObjectItem(body, "then")) && ++written % 2 == 0) {
        struct late *lease = g_new0(struct late, 1);
        lease->body = cJSON_Duplicate(body, true);
        lease->due = clock_instant_in(clock_from_seconds(late_s));
        g_queue_push_tail(late, lease);
        status = 500;
    } else if (is_multi) {
        status = multi(body, out);
        if (trouble == STANDIN_LOST_ANSWER) {
            status = 500;
            trouble = STANDIN_NO_FAULT;
        }
    } else if (strcmp(path, "/kv") == 0) {
        g_tree_foreach(rows, list_row, cJSON_AddArrayToObject(out, "rows"));
        cJSON_AddNumberToObject(out, "epoch", (double)revision);
        cJSON_AddBoolToObject(out, "has_next", false);
    } else if (g_str_has_prefix(path, "/kv/")) {
        struct row *row = g_tree_lookup(rows, path + 4);
        if (row) {
            cJSON_AddItemToObject(out, "data", cJSON_Parse(row->text));
            cJSON_AddNumberToObject(out, "stamp", (double)row->mod_revision);
        } else {
            status = 404;
            cJSON_AddNumberToObject(out, "epoch", (double)revision);
        }
    } else if (strcmp(path, "/grants") == 0) {
        struct lease *lease = g_new0(struct lease, 1);
        lease->ttl_s = json_get_double(body, "ttl_ms", 5000) / 1000;
        lease->renewed = clock_now();
        g_hash_table_insert(leases, GINT_TO_POINTER((int)next_lease), lease);
        cJSON_AddNumberToObject(out, "lease", (double)next_lease++);
    } else if (g_str_has_prefix(path, "/grants/")) {
        struct lease *lease = g_hash_table_lookup(leases, GINT_TO_POINTER(atoi(path + 8)));
        if (lease) lease->renewed = clock_now();
        status = lease ? 200 : 404;
    } else if (strcmp(path, "/changes") == 0) {
        if (trouble == STANDIN_WATCH_TOO_OLD) {
            status = 410;
            trouble = STANDIN_NO_FAULT;
        } else {
            tell_changes(out);
        }
    } else {
        status = 404;
    }
    pthread_mutex_unlock(&lock);
    cJSON_Delete(body);
    http_reply_json(row, status, out, 0);
}

bool standin_store_start(const char *address) {
    rows = g_tree_new_full(by_key, NULL, g_free, row_free);
    events = g_ptr_array_new();
    late = g_queue_new();
    leases = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    calls = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return standin_store_add_endpoint(0, address);
}

bool standin_store_add_endpoint(int door, const char *address) {
    return http_server_start(address, 64, on_request, &door_shut[door]) != NULL;
}

void standin_store_refuse(int door, bool shut) {
    pthread_mutex_lock(&lock);
    door_shut[door] = shut;
    pthread_mutex_unlock(&lock);
}

void standin_store_inject(enum standin_store_fault wanted) {
    pthread_mutex_lock(&lock);
    trouble = wanted;
    pthread_mutex_unlock(&lock);
}

void standin_store_put(const char *key, const char *json) {
    pthread_mutex_lock(&lock);
    revision++;
    put(key, json, 0);
    pthread_mutex_unlock(&lock);
}

void standin_store_remove(const char *key) {
    pthread_mutex_lock(&lock);
    revision++;
    drop(key);
    pthread_mutex_unlock(&lock);
}

struct page_of {
    char name[32], key[64];
    cJSON *page;
};

/* Takes the machine out of the page, if it is there. */
static gboolean drop_from_page(gpointer key, gpointer value, gpointer data) {
    struct page_of *path = data;
    if (!g_str_has_prefix(key, "fleet/")) return FALSE;
    cJSON *page = cJSON_Parse(((struct row *)value)->text), *list = cJSON_GetObjectItem(page, "m");
    for (int i = cJSON_GetArraySize(list); i-- > 0;) {
        const cJSON *id = cJSON_GetArrayItem(cJSON_GetArrayItem(list, i), 0);
        if (strcmp(cJSON_GetStringValue(id), path->name) != 0) continue;
        cJSON_DeleteItemFromArray(list, i);
        g_strlcpy(path->key, key, sizeof path->key);
        path->page = page;
        return TRUE;
    }
    cJSON_Delete(page);
    return FALSE;
}

bool standin_store_remove_machine(int index) {
    struct page_of path = {.page = NULL};
    g_snprintf(path.name, sizeof path.name, "i-%06d", index);
    pthread_mutex_lock(&lock);
    g_tree_foreach(rows, drop_from_page, &path);
    if (path.page) {
        char *text = cJSON_PrintUnformatted(path.page);
        revision++;
        put(path.key, text, 0);
        free(text);
    }
    pthread_mutex_unlock(&lock);
    cJSON_Delete(path.page);
    return path.page != NULL;
}

char *standin_store_value(const char *key) {
    pthread_mutex_lock(&lock);
    end_leases();
    struct row *row = g_tree_lookup(rows, key);
    char *wanted = row ? g_strdup(row->text) : NULL;
    pthread_mutex_unlock(&lock);
    return wanted;
}

void standin_store_set_limits(double value_kb, int txn_ops, int write_rps) {
    pthread_mutex_lock(&lock);
    limit_value_kb = value_kb;
    limit_ops = txn_ops;
    limit_rps = write_rps;
    pthread_mutex_unlock(&lock);
}

int standin_store_oversized(void) {
    pthread_mutex_lock(&lock);
    int n = malformed;
    pthread_mutex_unlock(&lock);
    return n;
}

struct largest {
    const char *prefix;
    size_t bytes;
};

static gboolean measure(gpointer key, gpointer value, gpointer data) {
    struct largest *lease = data;
    if (g_str_has_prefix(key, lease->prefix)) lease->bytes = MAX(lease->bytes, strlen(((struct row *)value)->text));
    return FALSE;
}

size_t standin_store_largest_value(const char *prefix) {
    struct largest lease = {prefix, 0};
    pthread_mutex_lock(&lock);
    g_tree_foreach(rows, measure, &lease);
    pthread_mutex_unlock(&lock);
    return lease.bytes;
}

struct timespec standin_store_job_done_at(const char *job_id) {
    pthread_mutex_lock(&lock);
    const struct timespec *at = done_at ? g_hash_table_lookup(done_at, job_id) : NULL;
    struct timespec when = at ? *at : (struct timespec){0, 0};
    pthread_mutex_unlock(&lock);
    return when;
}

int standin_store_unguarded_changes(void) {
    pthread_mutex_lock(&lock);
    int n = unguarded;
    pthread_mutex_unlock(&lock);
    return n;
}

int standin_store_requests_of(const char *path) {
    pthread_mutex_lock(&lock);
    int n = GPOINTER_TO_INT(g_hash_table_lookup(calls, path));
    pthread_mutex_unlock(&lock);
    return n;
}

int standin_store_requests(void) {
    GHashTableIter iterator;
    gpointer n;
    int sum = 0;
    pthread_mutex_lock(&lock);
    g_hash_table_iter_init(&iterator, calls);
    while (g_hash_table_iter_next(&iterator, NULL, &n)) sum += GPOINTER_TO_INT(n);
    pthread_mutex_unlock(&lock);
    return sum;
}

int standin_store_revision(void) {
    pthread_mutex_lock(&lock);
    int now = (int)revision;
    pthread_mutex_unlock(&lock);
    return now;
}

void standin_store_delay_transactions(double seconds) {
    pthread_mutex_lock(&lock);
    late_s = seconds;
    pthread_mutex_unlock(&lock);
}

void standin_store_delay_answers(double seconds) {
    pthread_mutex_lock(&lock);
    slow_s = seconds;
    pthread_mutex_unlock(&lock);
}
