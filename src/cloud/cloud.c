#include "cloud.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../clock/clock.h"
#include "../events/events.h"
#include "../http/client.h"
#include "../json/json.h"
#include "../logging/logging.h"
#include "../machine_types/machine_types.h"
#include "../machines/machines.h"
#include "../membership/membership.h"
#include "../quota/quota.h"
#include "../sync/sync.h"

#define RENTAL_REQUESTS_MAX \
    128 /* by shard, type, zone and kind; one controller may own all shards. Those beyond come next time */

static const struct settings *cfg;

struct capacity_backoff {
    struct timespec until;
    double pause;
};
static GHashTable *capacity_backoffs; /* "sku site kind" -> closed */

static struct sync_wakeup wakeup;

static char *place_key(const char *type_name, const char *site, bool spot) {
    return g_strdup_printf("%s %s %d", type_name, site, spot);
}

bool cloud_may_rent(const char *type_name, const char *site, bool spot) {
    char *key = place_key(type_name, site, spot);
    struct capacity_backoff *c = g_hash_table_lookup(capacity_backoffs, key);
    g_free(key);
    return !c || clock_seconds_since(c->until) >= 0;
}

/* A machine of this kind was given back: the next one may be had at once. */
static void capacity_freed(const struct machine *machine) {
    char *key = place_key(machine->type_name, machine->zone, machine->spot);
    g_hash_table_remove(capacity_backoffs, key);
    g_free(key);
}

/* Calls are scarce, and asking in vain takes them from work that could be served: the pause grows to a minute, and is
 * over at once when any controller gives back a machine of the kind. */
static void note_capacity(const struct rental_request *o, bool had) {
    char *key = place_key(o->type_name, o->zone, o->spot);
    struct capacity_backoff *c = g_hash_table_lookup(capacity_backoffs, key);
    if (had) {
        g_hash_table_remove(capacity_backoffs, key);
        g_free(key);
        return;
    }
    if (!c) {
        c = g_new0(struct capacity_backoff, 1);
        g_hash_table_insert(capacity_backoffs, key, c);
    } else {
        g_free(key);
    }
    c->pause = c->pause > 0 ? MIN(c->pause * 2, 60) : 7;
    c->until = clock_instant_in(clock_from_seconds(c->pause));
    log_info("cloud: no capacity for %s in %s (%s), retrying in %.0f s", o->type_name, o->zone,
             o->spot ? "spot" : "on-demand", c->pause);
}

static struct cloud_planner planner;

void cloud_set_planner(struct cloud_planner chosen) { planner = chosen; }

/* The cloud counts the calls of all controllers: each keeps to its part. */
static double tokens;
static struct timespec tokens_at, held_off;

/* The part of the calls that goes with the shards owned: one that owns none has little to ask. */
static double call_rate(void) {
    int mine = 0;
    store_lock();
    int all = quota_any_divided() ? cfg->size : MIN(cfg->size, cfg->n_teams);
    for (int k = 0; k < all; k++) mine += membership_owns(k);
    double least = 0.2 / membership_live_controllers();
    store_unlock();
    return cfg->cloud_rps * MAX((double)mine / all, least);
}

/* Urgent calls may take the next call's part: the service allows short bursts. */
static bool may_call(bool urgent) {
    double rate = call_rate();
    struct timespec now = clock_now();
    tokens = MIN(tokens + (clock_to_seconds(now) - clock_to_seconds(tokens_at)) * rate, MAX(1, rate * 1.5));
    tokens_at = now;
    if (clock_to_seconds(now) < clock_to_seconds(held_off) || tokens < (urgent ? 0 : 1)) return false;
    tokens -= 1;
    return true;
}

static enum http_outcome call(struct http_client *c, const char *method, const char *path, const char *body,
                              cJSON **answer, long *status) {
    char url[256];
    snprintf(url, sizeof url, "http://%s%s", cfg->cloud, path);
    enum http_outcome o = http_call(c, method, url, body, 5000, status, answer);
    if (o == HTTP_ANSWERED && (*status == 429)) {
        /* It cost nothing and is soon tried again, at a time of its own: controllers that started together once asked
         * together ever after, and the last of them got nothing for 40 s. */
        held_off = clock_instant_in(clock_from_seconds(g_random_double_range(0.3, 1.1)));
        tokens += 1;
    }
    if (o != HTTP_ANSWERED || *status == 503) held_off = clock_instant_in(clock_from_seconds(0.5));
    return o;
}

/* The types are read by one controller and kept in the state service for all: each asking for itself would use up the
 * cloud's calls just when the first machines are to be rented. */
static void read_machine_types(struct http_client *c) {
    cJSON *a = NULL;
    long status;
    if (call(c, "GET", "/flavors", NULL, &a, &status) == HTTP_ANSWERED && status == 200) {
        char *text = cJSON_PrintUnformatted(a);
        store_lock();
        machine_types_apply(a);
        store_unlock();
        if (text && strlen(text) < cfg->next_value_kb * 1024 - 64) {
            struct store_txn t;
            struct store_response ans;
            store_txn_init(&t);
            store_txn_put(&t, STORE_KEY_MACHINE_TYPES, cJSON_Duplicate(a, true), 0);
            store_commit(c, STORE_PRIORITY_ALLOCATE, &t, &ans);
            store_response_clear(&ans);
            store_txn_free(&t);
        }
        free(text);
    }
    cJSON_Delete(a);
}

/* A page a time, going round: a whole list takes more calls than a large fleet's controllers have. */
static void read_list(struct http_client *c) {
    static char since[64] = "";
    char path[200];
    cJSON *a = NULL, *x;
    long status;
    snprintf(path, sizeof path, "/rentals?since=%s&most=500", since);
    if (call(c, "GET", path, NULL, &a, &status) == HTTP_ANSWERED && status == 200) {
        store_lock();
        cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(a, "hosts")) {
            const char *id = json_get_string(x, "uid"), *address = json_get_string(x, "address"),
                       *type_name = json_get_string(x, "flavour"), *site = json_get_string(x, "site"),
                       *state = json_get_string(x, "state");
            if (!id || !type_name || !site || !state || strlen(id) >= sizeof since) continue;
            g_strlcpy(since, id, sizeof since);
            struct machine *m = machines_find(id);
            if (m && machines_owned(m)) {
                if (strcmp(state, "failed") == 0 && !m->retirement.return_wanted) {
                    log_info("machine %s: listed as failed, returning it", id);
                    m->retirement.return_wanted = true;
                    events_publish(EVENT_SCHEDULE);
                }
                if (!m->address[0] && address && *address) {
                    g_strlcpy(m->address, address, sizeof m->address);
                    m->address_unrecorded = true;
                }
            } else if (!m && !machines_known(id) && strcmp(state, "failed") != 0 &&
                       json_get_double(x, "age_s", 0) > 15) {
                machines_adopt(id, address ? address : "", type_name, site, json_get_bool(x, "reclaimable"));
            }
        }
        store_unlock();
        if (!json_get_bool(a, "has_next")) since[0] = 0;
    }
    cJSON_Delete(a);
}

/* A claim is never used again, by nobody: the incarnation is random and the counter moves on. A claim whose answer is
 * lost is asked again under its name until the cloud answers. */
static struct {
    bool open;
    char claim[80];
    struct rental_request order;
} pending;
static unsigned claims;

static void rent(struct http_client *c) {
    struct rental_request o = pending.order;
    cJSON *b = cJSON_CreateObject(), *a = NULL;
    cJSON_AddStringToObject(b, "claim", pending.claim);
    cJSON_AddStringToObject(b, "flavour", o.type_name);
    cJSON_AddStringToObject(b, "site", o.zone);
    cJSON_AddBoolToObject(b, "reclaimable", o.spot);
    cJSON_AddNumberToObject(b, "how_many", o.count);
    char *text = cJSON_PrintUnformatted(b);
    long status;
    enum http_outcome out = call(c, "POST", "/rentals", text, &a, &status);
    if (out == HTTP_ANSWERED && status == 200) {
        const cJSON *x, *hosts = cJSON_GetObjectItemCaseSensitive(a, "hosts");
        store_lock();
        cJSON_ArrayForEach(x, hosts) if (cJSON_IsString(x))
            machines_rented(o.shard, x->valuestring, o.type_name, o.zone, o.spot);
        note_capacity(&o, cJSON_GetArraySize(hosts) >= o.count);
        store_unlock();
        log_info("cloud: rented %d of %d %s in %s (%s) for shard %d", cJSON_GetArraySize(hosts), o.count, o.type_name,
                 o.zone, o.spot ? "spot" : "on-demand", o.shard);
        pending.open = false;
    } else if (out == HTTP_ANSWERED && status == 503) {
        const char *e = json_get_string(a, "error");
        if (e && strcmp(e, "no capacity") == 0) {
            held_off = clock_now();
            store_lock();
            note_capacity(&o, false);
            store_unlock();
        }
        pending.open = false;
    } else if (out == HTTP_NOT_SENT || (out == HTTP_ANSWERED && status == 400)) {
        pending.open = false;
    }
    free(text);
    cJSON_Delete(b);
    cJSON_Delete(a);
}

static void return_machines(struct http_client *c, char ids[][64], int n) {
    cJSON *b = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(b, "hosts"), *a = NULL;
    for (int i = 0; i < n; i++) cJSON_AddItemToArray(list, cJSON_CreateString(ids[i]));
    char *text = cJSON_PrintUnformatted(b);
    long status;
    if (call(c, "POST", "/rentals/return", text, &a, &status) == HTTP_ANSWERED && status == 200) {
        store_lock();
        for (int i = 0; i < n; i++) {
            machines_returned(ids[i]);
            log_info("machine %s: returned", ids[i]);
        }
        store_unlock();
    }
    free(text);
    cJSON_Delete(b);
    cJSON_Delete(a);
}

static void *cloud_main(void *arg) {
    (void)arg;
    struct http_client *c = http_client_new();
    struct timespec listed = {0, 0}, typed = {0, 0};
    struct timespec began = clock_now(), returned = clock_now();
    for (;;) {
        sync_wakeup_wait(&wakeup, clock_from_seconds(0.25));
        store_lock();
        bool leads = membership_is_leader(), typed_once = machine_types_known();
        double list_every = MAX(2.5, 6 * membership_live_controllers() / cfg->cloud_rps);
        store_unlock();
        if ((!typed_once && (leads || clock_seconds_since(began) > 6)) || (leads && clock_seconds_since(typed) > 120)) {
            if (!may_call(false)) continue;
            read_machine_types(c);
            typed = clock_now();
            continue;
        }
        if (!typed_once) continue;
        char ids[100][64];
        struct rental_request requests[RENTAL_REQUESTS_MAX];
        int busy, wants = 0;
        store_lock();
        int back = planner.plan_returns(ids, 100, &busy);
        store_unlock();
        /* A plan for a whole shard is worth its time only when a call can be made. */
        if (!may_call(busy > 0)) continue;
        store_lock();
        bool list_first = clock_seconds_since(listed) > 4 * list_every;
        /* Returns are few calls for many machines; they must not wait for rentals without end, and tasks that can start
         * elsewhere only once their silent machine is returned wait for nothing. */
        bool back_first = busy || back >= 20 || (back && clock_seconds_since(returned) > 12);
        if (!pending.open && !back_first && !list_first) wants = planner.plan_rentals(requests, RENTAL_REQUESTS_MAX);
        store_unlock();
        if (back && (back_first || !(pending.open || wants || list_first))) {
            return_machines(c, ids, back);
            returned = clock_now();
        } else if (pending.open || wants) {
            if (!pending.open) {
                pending.open = true;
                pending.order = requests[0];
                g_snprintf(pending.claim, sizeof pending.claim, "%s-%s-%u", cfg->node, membership_incarnation(),
                           ++claims);
            }
            rent(c);
            if (wants > 1) sync_wakeup_signal(&wakeup);
        } else if (clock_seconds_since(listed) > list_every) {
            read_list(c);
            listed = clock_now();
        } else {
            tokens += 1; /* nothing to ask */
        }
    }
    return NULL;
}

void cloud_init(const struct settings *s) {
    cfg = s;
    machines_on_returned(capacity_freed);
    capacity_backoffs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    tokens_at = clock_now();
    tokens = 1;
    sync_wakeup_init(&wakeup);
}

void cloud_start(void) { sync_start_thread(cloud_main, NULL); }
