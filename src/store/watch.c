/* The watch thread. It keeps the mirror current: it reads the store in full and then watches it for changes. */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <time.h>

#include "../clock/clock.h"
#include "../http/client.h"
#include "../json/json.h"
#include "../sync/sync.h"
#include "mirror.h"
#include "mirror_updates.h"
#include "request.h"

enum { PAGE_TIMEOUT_MS = 3000, WATCH_TIMEOUT_MS = 4000 };
static const double full_read_retry_s = 0.3, watch_retry_s = 0.25;

enum watch_outcome { WATCH_ANSWERED, WATCH_COMPACTED, WATCH_FAILED };

/* The state of the watch thread; no other thread uses it. */
struct watch {
    struct http_client *client;
    int64_t revision; /* the next watch asks for the changes after this revision of the store */
    enum watch_outcome last_outcome;
};

static struct sync_wakeup wakeup;

void store_wake_watch(void) { sync_wakeup_signal(&wakeup); }

static enum store_answer send_read(struct http_client *client, const char *path, long timeout_ms, cJSON **body) {
    const struct store_request request = {.method = "GET", .path = path, .timeout_ms = timeout_ms};
    store_budget_take(STORE_PRIORITY_LEASE, 0);
    return store_request_send(client, &request, body);
}

/* ---- full read ---- */

struct full_read {
    GHashTable *listed_keys; /* keys of the pages read so far */
    GString *last_key;       /* the last key read so far; the next page begins after it */
    int64_t revision;        /* of the store at the first page; -1: no page was read yet */
    bool has_next;           /* whether there is another page */
};

static void apply_page(struct full_read *read, const cJSON *page) {
    const cJSON *row;
    store_lock();
    cJSON_ArrayForEach(row, cJSON_GetObjectItemCaseSensitive(page, "rows")) {
        int64_t mod_revision;
        const char *key = json_get_string(row, "path");
        if (!key || !json_get_int64(row, "stamp", &mod_revision)) continue;
        store_apply(key, cJSON_GetObjectItemCaseSensitive(row, "data"), mod_revision);
        g_hash_table_add(read->listed_keys, g_strdup(key));
        g_string_assign(read->last_key, key);
    }
    store_unlock();
    read->has_next = json_get_bool(page, "has_next");
}

static bool read_page(struct http_client *client, struct full_read *read) {
    char path[STORE_PATH_BYTES];
    cJSON *page;
    int64_t revision = 0;
    char *since = g_uri_escape_string(read->last_key->str, "/", FALSE);
    snprintf(path, sizeof path, "/kv?prefix=&since=%s&most=500", since);
    g_free(since);
    bool answered =
        send_read(client, path, PAGE_TIMEOUT_MS, &page) == STORE_ANSWER_OK && json_get_int64(page, "epoch", &revision);
    if (answered) {
        if (read->revision < 0) read->revision = revision;
        apply_page(read, page);
    }
    cJSON_Delete(page);
    return answered;
}

static bool read_in_full(struct watch *watch) {
    struct full_read read = {.revision = -1, .has_next = true};
    read.listed_keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    read.last_key = g_string_new("");
    struct timespec sent_at = clock_now();
    bool answered = true;
    while (read.has_next && answered) answered = read_page(watch->client, &read);
    if (answered) {
        store_lock();
        store_mirror_finish_full_read(read.listed_keys, read.revision, sent_at);
        store_unlock();
        watch->revision = read.revision;
    }
    g_hash_table_destroy(read.listed_keys);
    g_string_free(read.last_key, TRUE);
    return answered;
}

/* ---- watch ---- */

static void apply_events(const cJSON *answer_body, int64_t revision, struct timespec sent_at) {
    const cJSON *event;
    store_lock();
    cJSON_ArrayForEach(event, cJSON_GetObjectItemCaseSensitive(answer_body, "events")) {
        int64_t mod_revision;
        struct store_change change = store_change_read(event);
        if (change.key && json_get_int64(event, "stamp", &mod_revision))
            store_apply(change.key, change.data, mod_revision);
    }
    store_mirror_apply_watch(revision, sent_at);
    store_unlock();
}

static enum watch_outcome watch_once(struct watch *watch) {
    char path[STORE_PATH_BYTES];
    cJSON *answer_body;
    int64_t revision;
    struct timespec sent_at = clock_now();
    /* After a failure the mirror is outdated, so the store must answer the first watch without holding it. */
    int hold_ms = watch->last_outcome == WATCH_ANSWERED ? store_watch_hold_ms() : 0;
    snprintf(path, sizeof path, "/changes?prefix=&since=%lld&hold_ms=%d", (long long)watch->revision, hold_ms);
    enum store_answer answer = send_read(watch->client, path, WATCH_TIMEOUT_MS, &answer_body);
    enum watch_outcome outcome = answer == STORE_ANSWER_COMPACTED ? WATCH_COMPACTED : WATCH_FAILED;
    if (answer == STORE_ANSWER_OK && json_get_int64(answer_body, "epoch", &revision)) {
        apply_events(answer_body, revision, sent_at);
        watch->revision = MAX(watch->revision, revision);
        outcome = WATCH_ANSWERED;
    }
    cJSON_Delete(answer_body);
    return outcome;
}

static void *watch_main(void *arg) {
    (void)arg;
    struct watch watch = {.client = http_client_new(), .last_outcome = WATCH_ANSWERED};
    for (;;) {
        while (!read_in_full(&watch)) clock_sleep(clock_from_seconds(full_read_retry_s));
        do {
            watch.last_outcome = watch_once(&watch);
            if (watch.last_outcome == WATCH_FAILED) clock_sleep(clock_from_seconds(watch_retry_s));
            /* The gap lets several changes arrive in one answer; store_wake_watch ends it early. */
            sync_wakeup_wait(&wakeup, store_watch_gap());
        } while (watch.last_outcome != WATCH_COMPACTED);
    }
    return NULL;
}

void store_mirror_start(void) {
    sync_wakeup_init(&wakeup);
    sync_start_thread(watch_main, NULL);
}
