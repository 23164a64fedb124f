#include "peers.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "../clock/clock.h"
#include "../http/client.h"
#include "../http/server.h"
#include "../json/json.h"
#include "../store/store.h"
#include "../sync/sync.h"

static const struct settings *cfg;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t cond;
static unsigned hints;
static struct timespec saw[SETTINGS_SEEDS];     /* when that peer last told of a store it had just seen */
static struct timespec reached[SETTINGS_SEEDS]; /* when it last answered at all */

static void on_peer(struct http_request *r, void *ctx) {
    (void)ctx;
    if (strcmp(http_path(r), "/hint") == 0) store_wake_watch();
    store_lock();
    double age = store_synced() ? clock_seconds_since(store_last_read()) : 1e6;
    store_unlock();
    char body[64];
    snprintf(body, sizeof body, "{\"store_age_s\":%.2f}", age);
    http_reply(r, 200, body, 0);
}

static void *peer_main(void *arg) {
    int i = (int)(intptr_t)arg;
    struct http_client *c = http_client_new();
    unsigned told = 0;
    struct timespec asked = {0, 0};
    char url[128];
    for (;;) {
        pthread_mutex_lock(&lock);
        if (told == hints) sync_cond_wait(&cond, &lock, clock_from_seconds(1));
        bool hint = told != hints;
        told = hints;
        pthread_mutex_unlock(&lock);
        if (!hint && clock_seconds_since(asked) < 1) continue;
        snprintf(url, sizeof url, "http://%s/%s", cfg->seeds[i].address, hint ? "hint" : "age");
        long status;
        cJSON *a = NULL;
        asked = clock_now();
        if (http_call(c, "GET", url, NULL, 700, &status, &a) == HTTP_ANSWERED) {
            pthread_mutex_lock(&lock);
            reached[i] = clock_now();
            if (json_get_double(a, "store_age_s", 1e6) < 4) saw[i] = reached[i];
            pthread_mutex_unlock(&lock);
        }
        cJSON_Delete(a);
    }
    return NULL;
}

void peers_init(const struct settings *s) {
    cfg = s;
    sync_cond_init(&cond);
}

bool peers_listen(void) { return http_server_start(cfg->cluster_listen, 64, on_peer, NULL) != NULL; }

void peers_start(void) {
    for (int i = 0; i < cfg->n_seeds; i++) sync_start_thread(peer_main, (void *)(intptr_t)i);
}

void peers_hint(void) {
    pthread_mutex_lock(&lock);
    hints++;
    pthread_cond_broadcast(&cond);
    pthread_mutex_unlock(&lock);
}

bool peers_see_store(void) {
    bool yes = false;
    pthread_mutex_lock(&lock);
    for (int i = 0; i < cfg->n_seeds; i++) yes |= saw[i].tv_sec && clock_seconds_since(saw[i]) < 3;
    pthread_mutex_unlock(&lock);
    return yes;
}

bool peers_reach(const char *node) {
    bool yes = false;
    pthread_mutex_lock(&lock);
    for (int i = 0; i < cfg->n_seeds; i++)
        yes |= strcmp(cfg->seeds[i].node, node) == 0 && reached[i].tv_sec && clock_seconds_since(reached[i]) < 3;
    pthread_mutex_unlock(&lock);
    return yes;
}
