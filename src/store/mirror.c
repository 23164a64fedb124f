#include "mirror.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <time.h>

#include "../clock/clock.h"
#include "../http/client.h"
#include "../json/json.h"
#include "client.h"
#include "mirror_updates.h"

/* Number of revisions for which a removed key is remembered, so that a slow read that was sent before the removal
 * does not restore the key. */
enum { REMOVED_KEY_RETENTION_REVISIONS = 5000 };
enum { MS_PER_SECOND = 1000 };

struct observer {
    char *prefix;
    store_observer notify;
};

struct key_revision {
    int64_t mod_revision;
    bool removed;
};

static const struct settings *cfg;
static struct {
    pthread_mutex_t lock; /* store_lock */
    GArray *observers;
    GHashTable *key_revisions; /* key -> struct key_revision; includes recently removed keys */
    int64_t revision;          /* of the store; all changes up to it are applied */
    bool synced;
    struct timespec last_read_sent_at;
} mirror = {.lock = PTHREAD_MUTEX_INITIALIZER};

void store_mirror_init(const struct settings *settings) { cfg = settings; }

void store_lock(void) { pthread_mutex_lock(&mirror.lock); }
void store_unlock(void) { pthread_mutex_unlock(&mirror.lock); }

/* ---- records ---- */

void store_observe_prefix(const char *prefix, store_observer observer) {
    if (!mirror.observers) mirror.observers = g_array_new(FALSE, FALSE, sizeof(struct observer));
    if (!mirror.key_revisions) mirror.key_revisions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    struct observer new_observer = {g_strdup(prefix), observer};
    g_array_append_val(mirror.observers, new_observer);
}

void store_apply(const char *key, const cJSON *data, int64_t mod_revision) {
    struct key_revision *entry = g_hash_table_lookup(mirror.key_revisions, key);
    /* The result of a late watch or read must not replace that of a newer one or of this controller's own write. */
    if (entry && entry->mod_revision >= mod_revision) return;
    if (!entry) {
        entry = g_new0(struct key_revision, 1);
        g_hash_table_insert(mirror.key_revisions, g_strdup(key), entry);
    }
    entry->mod_revision = mod_revision;
    entry->removed = data == NULL;
    for (guint i = 0; i < mirror.observers->len; i++) {
        const struct observer *observer = &g_array_index(mirror.observers, struct observer, i);
        if (g_str_has_prefix(key, observer->prefix))
            observer->notify(key + strlen(observer->prefix), data, mod_revision);
    }
}

void store_apply_committed(const struct store_txn *txn, int64_t revision) {
    const cJSON *operation;
    cJSON_ArrayForEach(operation, txn->operations) {
        struct store_change change = store_change_read(operation);
        if (change.key) store_apply(change.key, change.data, revision);
    }
}

int64_t store_key_revision(const char *key) {
    const struct key_revision *entry = g_hash_table_lookup(mirror.key_revisions, key);
    return entry && !entry->removed ? entry->mod_revision : 0;
}

bool store_refresh(struct http_client *client, const char *key) {
    cJSON *data;
    int64_t mod_revision, revision;
    if (store_get(client, key, &data, &mod_revision, &revision) != STORE_OK) return false;
    store_lock();
    if (data) {
        store_apply(key, data, mod_revision);
    } else if (store_key_revision(key) && store_key_revision(key) <= revision) {
        store_apply(key, NULL, revision);
    }
    store_unlock();
    cJSON_Delete(data);
    return true;
}

/* ---- freshness ---- */

int64_t store_revision(void) { return mirror.revision; }
bool store_synced(void) { return mirror.synced; }
struct timespec store_last_read_sent(void) {
    return mirror.last_read_sent_at;
}

int store_watch_hold_ms(void) {
    static const double hold_min_s = 0.1, hold_max_s = 0.7;
    /* An idle watch must return well before the last read becomes too old to answer workers. */
    double validity_s = clock_to_seconds(cfg->cancel_timeout) - clock_to_seconds(cfg->worker_lease);
    return (int)(CLAMP(validity_s / 8, hold_min_s, hold_max_s) * MS_PER_SECOND);
}

struct timespec store_watch_gap(void) {
    return cfg->tuning.watch_gap;
}

bool store_unreachable(void) {
    static const double answer_delay_max_s = 0.9;
    /* Until an idle watch returns, the last successful read is the watch before it. That watch may have been sent two
     * hold times and one gap ago. */
    double idle_read_age_max_s = 2 * store_watch_hold_ms() / (double)MS_PER_SECOND +
                                 clock_to_seconds(cfg->tuning.watch_gap) + answer_delay_max_s;
    return !mirror.synced || clock_seconds_since(mirror.last_read_sent_at) > idle_read_age_max_s;
}

/* ---- updates by the watch thread ---- */

static gboolean is_expired_removal(gpointer key, gpointer value, gpointer data) {
    (void)key;
    (void)data;
    const struct key_revision *entry = value;
    return entry->removed && entry->mod_revision + REMOVED_KEY_RETENTION_REVISIONS <= mirror.revision;
}

void store_mirror_apply_watch(int64_t revision, struct timespec sent_at) {
    if (revision > mirror.revision) mirror.revision = revision;
    g_hash_table_foreach_remove(mirror.key_revisions, is_expired_removal, NULL);
    mirror.last_read_sent_at = sent_at;
}

/* Applies the removal of the keys that a full read no longer lists. They were removed while no watch was running. */
static void remove_unlisted_keys(GHashTable *listed_keys, int64_t revision) {
    GPtrArray *removed_keys = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iterator;
    gpointer key, value;
    g_hash_table_iter_init(&iterator, mirror.key_revisions);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const struct key_revision *entry = value;
        if (!entry->removed && entry->mod_revision <= revision && !g_hash_table_contains(listed_keys, key))
            g_ptr_array_add(removed_keys, g_strdup(key));
    }
    for (guint i = 0; i < removed_keys->len; i++) store_apply(removed_keys->pdata[i], NULL, revision);
    g_ptr_array_free(removed_keys, TRUE);
}

void store_mirror_finish_full_read(GHashTable *listed_keys, int64_t revision, struct timespec sent_at) {
    remove_unlisted_keys(listed_keys, revision);
    mirror.revision = revision;
    mirror.last_read_sent_at = sent_at;
    mirror.synced = true;
}
