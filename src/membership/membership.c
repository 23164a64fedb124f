#include "membership.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "../clock/clock.h"
#include "../http/client.h"
#include "../json/json.h"
#include "../logging/logging.h"
#include "../schema_version/schema_version.h"
#include "../sync/sync.h"

#define NODES_MAX 64

struct node {
    char name[64], incarnation[40];
    int64_t mod_revision;
    struct timespec since;
    bool live, workers_unreachable;
};

static const struct settings *cfg;
static struct shard shards[64];
static struct node nodes[NODES_MAX];
static int n_nodes;
static char leader[64], leader_incarnation[40];
static int64_t fencing_counter;
static char my_incarnation[40];
static int64_t my_lease;
static bool my_workers_unreachable;
static struct timespec workers_unreachable_since;
static int times_unreachable; /* in a row, each soon after the last */

/* Both with store_lock held. */
bool membership_workers_unreachable(void) { return my_workers_unreachable; }

#define WORKERS_RETRY_S 15.0
#define WORKERS_RETRY_MAX_S 120.0

double membership_workers_retry_s(int times_unreachable) {
    double s = WORKERS_RETRY_S;
    for (int i = 1; i < times_unreachable && s < WORKERS_RETRY_MAX_S; i++) s *= 2;
    return MIN(s, WORKERS_RETRY_MAX_S);
}

void membership_set_workers_unreachable(bool lost) {
    if (lost == my_workers_unreachable) return;
    my_workers_unreachable = lost;
    /* Where it can ask workers, and they can't report, it takes them for back each time: the shards must not go to and
     * fro with that. */
    if (lost)
        times_unreachable =
            clock_seconds_since(workers_unreachable_since) < 2 * WORKERS_RETRY_MAX_S ? times_unreachable + 1 : 1;
    workers_unreachable_since = clock_now();
    log_info(lost ? "isolated from most workers: releasing our shards" : "workers are reachable again");
}

const struct shard *membership_shard(int k) { return &shards[k]; }
int64_t membership_fencing_token(void) { return fencing_counter; }
const char *membership_incarnation(void) { return my_incarnation; }

bool membership_owns(int k) {
    return store_synced() && shards[k].mod_revision && strcmp(shards[k].owner, cfg->node) == 0 &&
           strcmp(shards[k].incarnation, my_incarnation) == 0 && store_revision() >= shards[k].mod_revision;
}

double membership_read_validity_s(void) {
    /* A cancellation told elsewhere after our last look must be kept within cancel_s, and an answered report keeps
     * tasks alive for lease_s more, counted from when it was sent, which is before we answer it. The margin covers the
     * drift of both clocks, twice, and the steps of timers; no more, since a zone that is cut off lives on by it. */
    double room = clock_to_seconds(cfg->cancel) - clock_to_seconds(cfg->lease);
    return room - MIN(0.5, room * 0.1) - 0.002 * clock_to_seconds(cfg->cancel);
}

bool membership_may_answer(void) {
    return store_synced() && clock_seconds_since(store_last_read()) < membership_read_validity_s();
}

/* An owner that the store refuses alone went on starting what it had allocated for as long as it may answer workers, 24
 * s, while others had confirmed cancellations. A start needs the look that a store in reach always gives. */
bool membership_may_start_tasks(void) { return membership_may_answer() && !store_unreachable(); }

bool membership_is_leader(void) {
    return strcmp(leader, cfg->node) == 0 && strcmp(leader_incarnation, my_incarnation) == 0;
}

int membership_live_controllers(void) {
    int n = 0;
    for (int i = 0; i < n_nodes; i++) n += nodes[i].live;
    return n > 0 ? n : 1;
}

double membership_write_fraction(int live, int size, int owned) {
    /* Changes go with shards, but for the jobs that any controller accepts: one that came back and owns nothing yet
     * once held a third of them, while an owner of two shards wrote for 13 s what it knew after a cut. */
    const double accepts = 0.25;
    return (accepts + owned) / (accepts * MAX(live, 1) + size);
}

static void part_budget(void) {
    int owned = 0;
    for (int k = 0; k < cfg->size; k++)
        owned += strcmp(shards[k].owner, cfg->node) == 0 && strcmp(shards[k].incarnation, my_incarnation) == 0;
    store_budget_set_fraction(membership_live_controllers(),
                              membership_write_fraction(membership_live_controllers(), cfg->size, owned));
}

static void apply_node(const char *rest, const cJSON *data, int64_t mod_revision) {
    struct node *x = NULL;
    for (int i = 0; i < n_nodes; i++)
        if (strcmp(nodes[i].name, rest) == 0) x = &nodes[i];
    if (!x) {
        if (n_nodes == NODES_MAX) return;
        x = &nodes[n_nodes++];
        g_strlcpy(x->name, rest, sizeof x->name);
    }
    const char *incarnation = json_get_string(data, "inc");
    if (data && (!x->live || strcmp(x->incarnation, incarnation ? incarnation : "") != 0)) x->since = clock_now();
    if (!data && x->live) log_info("controller %s: lease expired", rest);
    x->live = data != NULL;
    part_budget();
    x->mod_revision = data ? mod_revision : 0;
    x->workers_unreachable = json_get_bool(data, "deaf");
    g_strlcpy(x->incarnation, incarnation ? incarnation : "", sizeof x->incarnation);
}

static void apply_leader(const char *rest, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    if (*rest) return;
    const char *n = json_get_string(data, "node"), *i = json_get_string(data, "inc");
    g_strlcpy(leader, n ? n : "", sizeof leader);
    g_strlcpy(leader_incarnation, i ? i : "", sizeof leader_incarnation);
}

static void apply_fencing_counter(const char *rest, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    if (*rest == 0 && cJSON_IsNumber(data)) fencing_counter = (int64_t)data->valuedouble;
}

static void apply_shard(const char *rest, const cJSON *data, int64_t mod_revision) {
    int k = (int)g_ascii_strtoll(rest, NULL, 10);
    if (k < 0 || k >= 64) return;
    struct shard *s = &shards[k];
    const char *o = json_get_string(data, "owner"), *i = json_get_string(data, "inc");
    if (strcmp(s->owner, o ? o : "") != 0 || strcmp(s->incarnation, i ? i : "") != 0) {
        s->owner_changed = clock_now();
        log_info("shard %d: owner %s", k, o ? o : "nobody");
    }
    g_strlcpy(s->owner, o ? o : "", sizeof s->owner);
    g_strlcpy(s->incarnation, i ? i : "", sizeof s->incarnation);
    s->mod_revision = data ? mod_revision : 0;
    if (!json_get_int64(data, "fence", &s->fencing_token)) s->fencing_token = 0;
    part_budget();
}

void membership_init(const struct settings *s) {
    cfg = s;
    snprintf(my_incarnation, sizeof my_incarnation, "%08x%08x", g_random_int(), g_random_int());
    store_observe_prefix(STORE_PREFIX_NODE, apply_node);
    store_observe_prefix(STORE_KEY_LEADER, apply_leader);
    store_observe_prefix(STORE_KEY_FENCING_COUNTER, apply_fencing_counter);
    store_observe_prefix(STORE_PREFIX_SHARD, apply_shard);
}

int membership_plan_assignment(int size, const int *owner, int n, int *to) {
    int held[NODES_MAX] = {0}, least = 0, most = 0;
    if (n <= 0) return -1;
    for (int k = 0; k < size; k++)
        if (owner[k] >= 0) held[owner[k]]++;
    for (int i = 1; i < n; i++) {
        if (held[i] < held[least]) least = i;
        if (held[i] > held[most]) most = i;
    }
    *to = least;
    for (int k = 0; k < size; k++)
        if (owner[k] < 0) return k;
    if (held[most] - held[least] < 2) return -1;
    for (int k = 0; k < size; k++)
        if (owner[k] == most) return k;
    return -1;
}

static cJSON *shard_value(const char *owner, const char *incarnation, int64_t fencing_token) {
    cJSON *o = cJSON_CreateObject();
    cJSON_AddStringToObject(o, "owner", owner);
    cJSON_AddStringToObject(o, "inc", incarnation);
    cJSON_AddNumberToObject(o, "fence", (double)fencing_token);
    return o;
}

static cJSON *node_value(void) {
    cJSON *o = cJSON_CreateObject();
    cJSON_AddStringToObject(o, "inc", my_incarnation);
    if (my_workers_unreachable) cJSON_AddBoolToObject(o, "deaf", true);
    return o;
}

static void add_me(struct store_txn *t) {
    struct store_key key = store_key_node(cfg->node);
    store_txn_compare(t, key.text, store_key_revision(key.text));
}

/* Gives shard K to a node, moving the fence up. Called with the lock held; fills the transaction only. */
static void assign_shard(struct store_txn *t, int k, const struct node *to) {
    struct store_key key = store_key_shard(k);
    store_txn_compare(t, key.text, shards[k].mod_revision);
    store_txn_put(t, key.text, shard_value(to->name, to->incarnation, fencing_counter + 1), 0);
    store_txn_compare(t, STORE_KEY_FENCING_COUNTER, store_key_revision(STORE_KEY_FENCING_COUNTER));
    store_txn_put(t, STORE_KEY_FENCING_COUNTER, cJSON_CreateNumber((double)(fencing_counter + 1)), 0);
    struct store_key node_key = store_key_node(to->name);
    store_txn_compare(t, node_key.text, to->mod_revision);
    add_me(t);
}

static struct node *find_node(const char *name) {
    for (int i = 0; i < n_nodes; i++)
        if (strcmp(nodes[i].name, name) == 0) return &nodes[i];
    return NULL;
}

#define ANNOUNCEMENTS_MAX 4

static membership_announcement announcements[ANNOUNCEMENTS_MAX];
static int n_announcements;
static membership_worker_probe worker_probe;

void membership_add_announcement(membership_announcement announcement) {
    g_assert(n_announcements < ANNOUNCEMENTS_MAX);
    announcements[n_announcements++] = announcement;
}

void membership_set_worker_probe(membership_worker_probe probe) { worker_probe = probe; }

static bool add_announcement(struct store_txn *t) {
    for (int i = 0; i < n_announcements; i++)
        if (announcements[i](t)) return true;
    return false;
}

/* One step of the duties that need the store: become leader, take back, give. True if something is to be sent. */
static bool next_step(struct store_txn *t) {
    struct node *me = find_node(cfg->node);
    if (schema_version_store_unreadable() || !store_synced() || !me || !me->live ||
        strcmp(me->incarnation, my_incarnation) != 0)
        return false;
    for (int k = 0; k < cfg->size; k++) /* Ours from before a restart: no need to wait for anyone. */
        if (strcmp(shards[k].owner, cfg->node) == 0 && strcmp(shards[k].incarnation, my_incarnation) != 0) {
            assign_shard(t, k, me);
            return true;
        }
    if (add_announcement(t)) return true;
    if (me->workers_unreachable != my_workers_unreachable) {
        add_me(t);
        store_txn_put(t, store_key_node(cfg->node).text, node_value(), my_lease);
        return true;
    }
    struct node *lead = leader[0] ? find_node(leader) : NULL;
    if (!lead || !lead->live || strcmp(lead->incarnation, leader_incarnation) != 0) {
        cJSON *o = cJSON_CreateObject();
        cJSON_AddStringToObject(o, "node", cfg->node);
        cJSON_AddStringToObject(o, "inc", my_incarnation);
        store_txn_compare(t, STORE_KEY_LEADER, store_key_revision(STORE_KEY_LEADER));
        add_me(t);
        if (lead) {
            store_txn_compare(t, store_key_node(lead->name).text, lead->mod_revision);
        }
        store_txn_put(t, STORE_KEY_LEADER, o, my_lease);
        return true;
    }
    if (lead != me) return false;
    int owner[64] = {0}, live[NODES_MAX], n = 0, to = -1, index[NODES_MAX] = {0};
    bool hearing = false;
    for (int i = 0; i < n_nodes; i++) hearing |= nodes[i].live && !nodes[i].workers_unreachable;
    for (int i = 0; i < n_nodes; i++) {
        index[i] = -1;
        if (nodes[i].live && !(hearing && nodes[i].workers_unreachable)) {
            index[i] = n;
            live[n++] = i;
        }
    }
    bool orphans = false;
    for (int k = 0; k < cfg->size; k++) {
        struct node *o = shards[k].owner[0] ? find_node(shards[k].owner) : NULL;
        owner[k] = o && o->live ? index[o - nodes] : -1; /* -1 for one that has lost the workers, too */
        if (owner[k] < 0) orphans = true;
    }
    int k = membership_plan_assignment(cfg->size, owner, n, &to);
    if (k < 0) return false;
    struct node *target = &nodes[live[to]];
    /* A planned shift waits until the controller has stayed a while, so that shards don't flap with it, and until what
     * brought the controller has passed: a new owner has to ask all machines anew. */
    double settled = clock_to_seconds(cfg->lease) / 2;
    if (!orphans &&
        (clock_seconds_since(target->since) < settled || clock_seconds_since(shards[k].owner_changed) < settled))
        return false;
    struct node *was = shards[k].owner[0] ? find_node(shards[k].owner) : NULL;
    if (orphans && shards[k].owner[0] && !(was && was->live)) {
        store_txn_compare(t, store_key_node(shards[k].owner).text, 0);
    }
    assign_shard(t, k, target);
    log_info("shard %d: assigning it to %s", k, target->name);
    return true;
}

static void join(struct http_client *c) {
    int64_t lease;
    if (store_lease_grant(c, cfg->tuning.node_lease, &lease) != STORE_OK) return;
    struct store_key key = store_key_node(cfg->node);
    struct store_txn t;
    struct store_response a;
    store_refresh(c, key.text);
    store_txn_init(&t);
    store_lock();
    store_txn_compare(&t, key.text, store_key_revision(key.text));
    store_unlock();
    store_txn_put(&t, key.text, node_value(), lease);
    if (store_commit(c, STORE_PRIORITY_LEASE, &t, &a) == STORE_OK) {
        store_lock();
        my_lease = lease;
        store_apply_committed(&t, a.revision);
        store_unlock();
        log_info("joined as %s/%s", cfg->node, my_incarnation);
    }
    store_response_clear(&a);
    store_txn_free(&t);
}

static void *membership_main(void *arg) {
    (void)arg;
    struct http_client *c = http_client_new();
    struct timespec renewed = clock_now();
    for (;;) {
        if (!my_lease) {
            join(c);
            renewed = clock_now();
            if (!my_lease) clock_sleep(clock_from_seconds(0.4));
            continue;
        }
        if (clock_seconds_since(renewed) > clock_to_seconds(cfg->tuning.node_lease) / 4) {
            enum store_result r = store_lease_renew(c, my_lease);
            if (r == STORE_OK) renewed = clock_now();
            if (r == STORE_CONFLICT) {
                log_info("our lease has expired, rejoining");
                my_lease = 0;
                continue;
            }
        }
        store_lock();
        bool try_again = my_workers_unreachable &&
                         clock_seconds_since(workers_unreachable_since) > membership_workers_retry_s(times_unreachable);
        store_unlock();
        if (try_again && worker_probe && worker_probe(c)) {
            store_lock();
            membership_set_workers_unreachable(false);
            store_unlock();
        }
        struct store_txn t;
        struct store_response a;
        store_txn_init(&t);
        store_lock();
        bool send = next_step(&t);
        store_unlock();
        if (send) {
            enum store_result r = store_commit(c, STORE_PRIORITY_LEASE, &t, &a);
            if (r == STORE_OK) {
                store_lock();
                store_apply_committed(&t, a.revision);
                store_unlock();
            } else if (r == STORE_CONFLICT) {
                for (guint i = 0; i < a.conflicts->len; i++) store_refresh(c, a.conflicts->pdata[i]);
            }
            store_response_clear(&a);
            store_wake_watch();
        }
        store_txn_free(&t);
        clock_sleep(clock_from_seconds(send ? 0.05 : 0.2));
    }
    return NULL;
}

void membership_start(void) { sync_start_thread(membership_main, NULL); }
