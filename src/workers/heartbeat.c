/* Workers' reports over HTTP: who answers them, and how. */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "../events/events.h"
#include "../http/server.h"
#include "../json/json.h"
#include "../machines/occupancy.h"
#include "../membership/membership.h"
#include "../peers/peers.h"
#include "internal.h"

static void go_elsewhere(struct http_request *r, const char *master) {
    char body[128];
    if (master && *master && strcmp(master, workers_settings->node) != 0)
        snprintf(body, sizeof body, "{\"master\":\"%s\"}", master);
    else
        snprintf(body, sizeof body, "{}");
    http_reply(r, 421, body, 0);
}

/* In a zone that is cut off, the owner of a machine may be outside. Then a controller inside answers for it with the
 * token that the machine has, so that its lease goes on, and orders nothing but the end of cancelled tasks. Nobody else
 * relies on the lease's end: a start elsewhere needs a report's or the cloud's proof. Bound like an owner's answers to
 * the last look at the store, and over as soon as store or owner is in reach. */
bool workers_may_proxy(const struct machine *m) {
    const char *owner = m->shard < 0 ? "" : membership_shard(m->shard)->owner;
    return store_unreachable() && membership_may_answer() && strcmp(m->zone, workers_settings->area) == 0 &&
           strcmp(owner, workers_settings->node) != 0 && !peers_reach(owner);
}

/* A start that the owner sent before it learned of the cancellation may be held up on its way into the zone. Our own
 * look may be later than the cancellation: kept alive, the incarnation would take that start after cancel_s. */
bool workers_start_in_doubt(const struct machine *m, const cJSON *heartbeat) {
    const cJSON *x;
    int cancelled = 0, listed = 0;
    for (guint i = 0; i < m->allocations->len; i++)
        cancelled += ((const struct allocation *)m->allocations->pdata[i])->job->state == JOB_CANCELLED;
    GHashTable *seen = g_hash_table_new(g_direct_hash, g_direct_equal); /* a report may name a task twice */
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(heartbeat, "tasks")) {
        int64_t attempt = 0;
        const char *task = json_get_string(x, "task");
        struct allocation *b =
            task && json_get_int64(x, "try", &attempt) ? workers_listed_allocation(m, task, attempt) : NULL;
        if (b && b->job->state == JOB_CANCELLED) listed += g_hash_table_add(seen, b);
    }
    g_hash_table_destroy(seen);
    return listed < cancelled;
}

cJSON *workers_proxy_answer(struct machine *m, const cJSON *heartbeat) {
    cJSON *a = cJSON_CreateObject(), *directives = cJSON_CreateArray();
    workers_list_cancelled(m, heartbeat);
    for (guint i = 0; i < m->agent.unknown_tasks->len; i++) {
        const struct unknown_task *s = &g_array_index(m->agent.unknown_tasks, struct unknown_task, i);
        workers_add_directive(directives, "stop", s->task, s->attempt, 0);
    }
    cJSON_AddNumberToObject(a, "fence", (double)machines_fencing_token(m));
    cJSON_AddItemToObject(a, "orders", directives);
    return a;
}

/* A machine that no record names: the owner of the shard that it would be in asks it, and adopts it. */
static void on_unrecorded(struct http_request *r, const char *id, const char *address) {
    int k = machines_shard_of(id);
    if (!membership_owns(k)) {
        go_elsewhere(r, membership_shard(k)->owner);
        return;
    }
    if (!machines_known(id) && address && *address) workers_ask_unregistered(id, address);
    http_reply(r, 503, NULL, 1);
}

/* A machine of another's shard, or of one that we do not know to be ours yet. */
static void on_anothers(struct http_request *r, struct machine *m, const cJSON *heartbeat) {
    const struct shard *s = membership_shard(m->shard);
    int64_t fencing_token = 0;
    json_get_int64(heartbeat, "fence", &fencing_token);
    if (fencing_token <= machines_fencing_token(m) && workers_may_proxy(m) && !workers_start_in_doubt(m, heartbeat))
        http_reply_json(r, 200, workers_proxy_answer(m, heartbeat), 0);
    else if (strcmp(s->owner, workers_settings->node) == 0)
        http_reply(r, 503, NULL, 1);
    else
        go_elsewhere(r, s->owner);
}

static void learn_address(struct machine *m, const char *address) {
    if (!address || !*address || strcmp(address, m->address) == 0) return;
    g_strlcpy(m->address, address, sizeof m->address);
    m->address_unrecorded = true;
}

static void answer_heartbeat(struct http_request *r, struct machine *m, const cJSON *heartbeat, int64_t fencing_token) {
    bool newest = workers_reconcile(m, heartbeat, true);
    if (newest && fencing_token >= machines_fencing_token(m)) machines_add_occupancy_sample(m);
    if (m->commands.outcome_unknown && !workers_start_in_flight(m) &&
        machines_fencing_token(m) <= m->commands.unknown_token) {
        /* A command may still be on its way: this machine's lease is renewed under a higher token only. */
        m->commands.needs_token_raise = true;
        events_publish(EVENT_SCHEDULE);
        http_reply(r, 503, NULL, 1);
        return;
    }
    cJSON *a = cJSON_CreateObject();
    cJSON_AddNumberToObject(a, "fence", (double)machines_fencing_token(m));
    cJSON_AddItemToObject(a, "orders", newest ? workers_directives(m, false) : cJSON_CreateArray());
    http_reply_json(r, 200, a, 0);
    m->liveness.heartbeat_acknowledged = true;
}

static void on_ours(struct http_request *r, struct machine *m, const cJSON *heartbeat, const char *address) {
    int64_t fencing_token = 0;
    json_get_int64(heartbeat, "fence", &fencing_token);
    learn_address(m, address);
    if (fencing_token > machines_fencing_token(m))
        go_elsewhere(r, NULL); /* someone newer commands it */
    else if (!membership_may_answer())
        http_reply(r, 503, NULL, 1);
    else
        answer_heartbeat(r, m, heartbeat, fencing_token);
}

#define ID_MAX 60

static void on_heartbeat(struct http_request *r) {
    size_t len;
    const char *body = http_body(r, &len);
    cJSON *heartbeat = cJSON_ParseWithLength(body, len);
    const char *id = json_get_string(heartbeat, "host"), *address = json_get_string(heartbeat, "address");
    if (!id || !json_get_string(heartbeat, "flavour") || !json_get_string(heartbeat, "site") || strlen(id) > ID_MAX) {
        http_reply(r, 400, "{\"error\":\"host, flavour or site is missing\"}", 0);
        cJSON_Delete(heartbeat);
        return;
    }
    store_lock();
    struct machine *m = machines_find(id);
    if (!store_synced())
        http_reply(r, 503, NULL, 1);
    else if (!m)
        on_unrecorded(r, id, address);
    else if (!machines_owned(m))
        on_anothers(r, m, heartbeat);
    else
        on_ours(r, m, heartbeat, address);
    store_unlock();
    cJSON_Delete(heartbeat);
}

bool workers_route(struct http_request *r) {
    if (strcmp(http_path(r), "/checkin") != 0) return false;
    http_close_when_crowded(r);
    if (strcmp(http_method(r), "POST") != 0)
        http_reply(r, 405, NULL, 0);
    else
        on_heartbeat(r);
    return true;
}
