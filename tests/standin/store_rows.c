#include "store_rows.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <time.h>

#include "clock/clock.h"
#include "json/json.h"
#include "store/keys.h"

/* A change of a row, which watches report. */
struct event {
    char *key, *text; /* text NULL: the row was removed */
    int64_t mod_revision;
};

struct lease {
    double ttl_s;
    struct timespec renewed;
};

static struct {
    GTree *by_key;         /* key -> struct standin_row */
    GPtrArray *events;     /* struct event */
    GHashTable *leases;    /* id -> struct lease */
    GHashTable *jobs_done; /* job id -> struct timespec */
    int64_t revision, next_lease;
} rows = {.revision = 1, .next_lease = 1};

static int compare_keys(gconstpointer first, gconstpointer second, gpointer unused) {
    (void)unused;
    return strcmp(first, second);
}

static void row_free(gpointer data) {
    struct standin_row *row = data;
    g_free(row->text);
    g_free(row);
}

void standin_rows_init(void) {
    rows.by_key = g_tree_new_full(compare_keys, NULL, g_free, row_free);
    rows.events = g_ptr_array_new();
    rows.leases = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    rows.jobs_done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

int64_t standin_rows_revision(void) { return rows.revision; }

void standin_rows_next_revision(void) { rows.revision++; }

static void add_event(const char *key, const char *text) {
    struct event *event = g_new0(struct event, 1);
    event->key = g_strdup(key);
    event->text = g_strdup(text);
    event->mod_revision = rows.revision;
    g_ptr_array_add(rows.events, event);
}

static void record_job_done(const char *key, const char *text) {
    if (!g_str_has_prefix(key, STORE_PREFIX_JOB) || !strstr(text, "\"state\":\"done\"")) return;
    const char *job_id = key + strlen(STORE_PREFIX_JOB);
    if (g_hash_table_contains(rows.jobs_done, job_id)) return;
    struct timespec *now = g_new0(struct timespec, 1);
    *now = clock_now();
    g_hash_table_insert(rows.jobs_done, g_strdup(job_id), now);
}

void standin_rows_put(const char *key, const char *text, int64_t lease) {
    record_job_done(key, text);
    struct standin_row *row = g_new0(struct standin_row, 1);
    row->text = g_strdup(text);
    row->mod_revision = rows.revision;
    row->lease = lease;
    g_tree_replace(rows.by_key, g_strdup(key), row);
    add_event(key, text);
}

void standin_rows_remove(const char *key) {
    if (g_tree_remove(rows.by_key, key)) add_event(key, NULL);
}

const struct standin_row *standin_rows_find(const char *key) { return g_tree_lookup(rows.by_key, key); }

int64_t standin_rows_mod_revision(const char *key) {
    const struct standin_row *row = standin_rows_find(key);
    return row ? row->mod_revision : 0;
}

void standin_rows_foreach(GTraverseFunc visit, gpointer data) { g_tree_foreach(rows.by_key, visit, data); }

int64_t standin_leases_grant(double ttl_s) {
    struct lease *lease = g_new0(struct lease, 1);
    lease->ttl_s = ttl_s;
    lease->renewed = clock_now();
    g_hash_table_insert(rows.leases, GINT_TO_POINTER((int)rows.next_lease), lease);
    return rows.next_lease++;
}

bool standin_leases_renew(int64_t id) {
    struct lease *lease = g_hash_table_lookup(rows.leases, GINT_TO_POINTER((int)id));
    if (lease) lease->renewed = clock_now();
    return lease != NULL;
}

bool standin_leases_exist(int64_t id) { return g_hash_table_contains(rows.leases, GINT_TO_POINTER((int)id)); }

/* The keys of the rows that are attached to a lease. */
struct lease_keys {
    int64_t lease;
    GPtrArray *keys;
};

static gboolean collect_key(gpointer key, gpointer value, gpointer data) {
    struct lease_keys *found = data;
    if (((const struct standin_row *)value)->lease == found->lease) g_ptr_array_add(found->keys, g_strdup(key));
    return FALSE;
}

static void remove_rows_of_lease(int64_t lease) {
    struct lease_keys found = {lease, g_ptr_array_new_with_free_func(g_free)};
    standin_rows_foreach(collect_key, &found);
    if (found.keys->len) standin_rows_next_revision();
    for (guint i = 0; i < found.keys->len; i++) standin_rows_remove(found.keys->pdata[i]);
    g_ptr_array_free(found.keys, TRUE);
}

void standin_leases_expire(void) {
    GHashTableIter iterator;
    gpointer id, value;
    g_hash_table_iter_init(&iterator, rows.leases);
    while (g_hash_table_iter_next(&iterator, &id, &value)) {
        const struct lease *lease = value;
        if (clock_seconds_since(lease->renewed) < lease->ttl_s) continue;
        remove_rows_of_lease(GPOINTER_TO_INT(id));
        g_hash_table_iter_remove(&iterator);
    }
}

static gboolean write_row(gpointer key, gpointer value, gpointer list) {
    const struct standin_row *row = value;
    cJSON *item = cJSON_CreateObject();
    cJSON_AddStringToObject(item, "path", key);
    cJSON_AddItemToObject(item, "data", cJSON_Parse(row->text));
    cJSON_AddNumberToObject(item, "stamp", (double)row->mod_revision);
    cJSON_AddItemToArray(list, item);
    return FALSE;
}

void standin_rows_write(cJSON *answer) {
    standin_rows_foreach(write_row, cJSON_AddArrayToObject(answer, "rows"));
    cJSON_AddNumberToObject(answer, "epoch", (double)rows.revision);
}

void standin_events_write(cJSON *answer) {
    cJSON *list = cJSON_AddArrayToObject(answer, "events");
    for (guint i = 0; i < rows.events->len; i++) {
        const struct event *event = rows.events->pdata[i];
        cJSON *item = cJSON_CreateObject();
        cJSON_AddStringToObject(item, event->text ? "set" : "remove", event->key);
        if (event->text) cJSON_AddItemToObject(item, "data", cJSON_Parse(event->text));
        cJSON_AddNumberToObject(item, "stamp", (double)event->mod_revision);
        cJSON_AddItemToArray(list, item);
    }
    cJSON_AddNumberToObject(answer, "epoch", (double)rows.revision);
}

struct timespec standin_rows_job_done_at(const char *job_id) {
    const struct timespec *at = g_hash_table_lookup(rows.jobs_done, job_id);
    return at ? *at : (struct timespec){0, 0};
}
