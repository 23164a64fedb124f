/* Whether it is this controller that hears nobody, rather than its workers that are silent. */
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

#define ISOLATION_MACHINES_MIN 20 /* fewer may fall silent by themselves */
#define ISOLATION_MARGIN_S 2.0    /* beyond the silence that shows a cut zone */
#define PROBED_WORKERS 3
#define PROBE_TIMEOUT_MS 500
#define URL_MAX 128

bool liveness_controller_isolated(int n_up, double newest_s, double heartbeat_interval_s) {
    return n_up >= ISOLATION_MACHINES_MIN &&
           newest_s > zones_silence_s(n_up, heartbeat_interval_s) + ISOLATION_MARGIN_S;
}

static void add_to_summary(struct liveness_summary *summary, struct machine *machine, double lately_s) {
    if (!machines_owned(machine) || !machine->liveness.up || machines_leaving(machine)) return;
    double silence_s = clock_seconds_since(machine->liveness.last_heard);
    summary->up++;
    summary->heard += silence_s < lately_s;
    summary->heartbeats_heard += clock_seconds_since(machine->liveness.last_heartbeat) < lately_s;
    summary->newest_s = MIN(summary->newest_s, silence_s);
}

struct liveness_summary liveness_summary(void) {
    struct liveness_summary summary = {.newest_s = HUGE_VAL};
    double lately_s = silence_heard_lately_s();
    for (int shard = 0; shard < liveness_settings->size; shard++) {
        for (guint i = 0; membership_owns(shard) && i < machines_of_shard(shard)->len; i++)
            add_to_summary(&summary, machines_of_shard(shard)->pdata[i], lately_s);
    }
    return summary;
}

static bool answers(struct http_client *client, const char *url) {
    long status = 0;
    cJSON *answer = NULL;
    bool answered = http_call(client, "GET", url, NULL, PROBE_TIMEOUT_MS, &status, &answer) == HTTP_ANSWERED;
    cJSON_Delete(answer);
    return answered && status == HTTP_OK;
}

static int choose_urls(char urls[PROBED_WORKERS][URL_MAX]) {
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
    int n_urls = choose_urls(urls);
    for (int i = 0; i < n_urls; i++)
        if (answers(client, urls[i])) return true;
    return n_urls == 0;
}
