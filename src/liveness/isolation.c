/* Detects that this controller is isolated from its workers, as opposed to the workers being down. */
#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>

#include "../clock/clock.h"
#include "../http/client.h"
#include "../http/status.h"
#include "../json/json.h"
#include "../membership/membership.h"
#include "../store/store.h"
#include "internal.h"
#include "liveness.h"
#include "silence.h"
#include "zones.h"

#define ISOLATION_MACHINES_MIN 20 /* fewer machines may all fail at the same time */
#define ISOLATION_MARGIN_S 2.0    /* added to the silence limit of a zone with as many machines */
#define PROBED_WORKERS 3
#define PROBE_TIMEOUT_MS 500
#define URL_MAX 128

bool liveness_controller_isolated(int n_up, double shortest_silence_s, double heartbeat_interval_s) {
    return n_up >= ISOLATION_MACHINES_MIN &&
           shortest_silence_s > zones_silence_limit_s(n_up, heartbeat_interval_s) + ISOLATION_MARGIN_S;
}

static void add_to_summary(struct liveness_summary *summary, struct machine *machine, double recent_s) {
    if (!machines_owned(machine) || !machine->liveness.up || machines_leaving(machine)) return;
    double silence_s = clock_seconds_since(machine->liveness.last_heard);
    summary->up++;
    summary->heard += silence_s < recent_s;
    summary->heartbeats_heard += clock_seconds_since(machine->liveness.last_heartbeat) < recent_s;
    summary->shortest_silence_s = MIN(summary->shortest_silence_s, silence_s);
}

struct liveness_summary liveness_summary(void) {
    struct liveness_summary summary = {.shortest_silence_s = HUGE_VAL};
    double recent_s = silence_heard_recently_s();
    for (int shard = 0; shard < liveness_settings->n_shards; shard++) {
        for (guint i = 0; membership_owns(shard) && i < machines_of_shard(shard)->len; i++)
            add_to_summary(&summary, machines_of_shard(shard)->pdata[i], recent_s);
    }
    return summary;
}

/* Returns whether the worker answers an inspect request within the timeout. */
static bool answers_probe(struct http_client *client, const char *url) {
    long status = 0;
    cJSON *answer = NULL;
    bool answered = http_call(client, "GET", url, NULL, PROBE_TIMEOUT_MS, &status, &answer) == HTTP_ANSWERED;
    cJSON_Delete(answer);
    return answered && status == HTTP_OK;
}

/* Fills urls for workers chosen at random, possibly the same worker twice. Returns the number of URLs. */
static int choose_probe_urls(char urls[PROBED_WORKERS][URL_MAX]) {
    int n_urls = 0;
    store_lock();
    GPtrArray *machines = machines_all();
    for (guint i = 0; i < machines->len && n_urls < PROBED_WORKERS; i++) {
        const struct machine *machine = machines->pdata[g_random_int_range(0, (gint32)machines->len)];
        if (machine->address[0]) snprintf(urls[n_urls++], URL_MAX, "http://%s/inspect", machine->address);
    }
    store_unlock();
    return n_urls;
}

bool liveness_probe_workers(struct http_client *client) {
    char urls[PROBED_WORKERS][URL_MAX];
    int n_urls = choose_probe_urls(urls);
    for (int i = 0; i < n_urls; i++)
        if (answers_probe(client, urls[i])) return true;
    return n_urls == 0;
}
