#include "peers.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "../clock/clock.h"
#include "../http/client.h"
#include "../http/server.h"
#include "../http/status.h"
#include "../json/json.h"
#include "../store/store.h"
#include "../sync/sync.h"

enum { CONNECTIONS_MAX = 64, ASK_TIMEOUT_MS = 700, URL_BYTES = 128, BODY_BYTES = 64 };
static const double ask_interval_s = 1;
static const double store_age_never_read_s = 1e6;
static const double store_age_seen_max_s = 4; /* a peer whose last read is older doesn't see the store */
static const double lately_s = 3;

/* What a peer last said; zero: nothing yet. */
struct peer {
    struct timespec saw_store; /* when it last told of a store that it had just read */
    struct timespec reached;   /* when it last answered at all */
};

static const struct settings *cfg;
static struct {
    pthread_mutex_t lock;
    pthread_cond_t hinted;
    unsigned hints; /* counts peers_hint; each thread knows how many it has passed on */
    struct peer peers[SETTINGS_SEEDS];
} shared = {.lock = PTHREAD_MUTEX_INITIALIZER};

/* ---- answering peers ---- */

/* "GET /hint" says that the store has changed. Every request is answered with the age of the last read. */
static void answer_peer(struct http_request *request, void *context) {
    (void)context;
    if (strcmp(http_path(request), "/hint") == 0) store_wake_watch();
    store_lock();
    double age_s = store_synced() ? clock_seconds_since(store_last_read()) : store_age_never_read_s;
    store_unlock();
    char body[BODY_BYTES];
    snprintf(body, sizeof body, "{\"store_age_s\":%.2f}", age_s);
    http_reply(request, HTTP_OK, body, 0);
}

/* ---- asking peers ---- */

/* Waits for a hint, but for a second at most; whether there are hints after those that were passed on. */
static bool wait_for_hint(unsigned *passed_on) {
    pthread_mutex_lock(&shared.lock);
    if (*passed_on == shared.hints) sync_cond_wait(&shared.hinted, &shared.lock, clock_from_seconds(ask_interval_s));
    bool hint = *passed_on != shared.hints;
    *passed_on = shared.hints;
    pthread_mutex_unlock(&shared.lock);
    return hint;
}

static void ask_peer(struct http_client *client, int index, const char *path) {
    char url[URL_BYTES];
    long status;
    cJSON *answer = NULL;
    snprintf(url, sizeof url, "http://%s/%s", cfg->seeds[index].address, path);
    if (http_call(client, "GET", url, NULL, ASK_TIMEOUT_MS, &status, &answer) == HTTP_ANSWERED) {
        struct peer *peer = &shared.peers[index];
        pthread_mutex_lock(&shared.lock);
        peer->reached = clock_now();
        if (json_get_double(answer, "store_age_s", store_age_never_read_s) < store_age_seen_max_s)
            peer->saw_store = peer->reached;
        pthread_mutex_unlock(&shared.lock);
    }
    cJSON_Delete(answer);
}

static void *peer_main(void *arg) {
    int index = (int)(intptr_t)arg;
    struct http_client *client = http_client_new();
    unsigned hints_passed_on = 0;
    struct timespec asked = {0, 0};
    for (;;) {
        bool hint = wait_for_hint(&hints_passed_on);
        if (!hint && clock_seconds_since(asked) < ask_interval_s) continue;
        asked = clock_now();
        ask_peer(client, index, hint ? "hint" : "age");
    }
    return NULL;
}

void peers_init(const struct settings *settings) {
    cfg = settings;
    sync_cond_init(&shared.hinted);
}

bool peers_listen(void) { return http_server_start(cfg->cluster_listen, CONNECTIONS_MAX, answer_peer, NULL) != NULL; }

void peers_start(void) {
    for (int i = 0; i < cfg->n_seeds; i++) sync_start_thread(peer_main, (void *)(intptr_t)i);
}

/* ---- what is known of peers ---- */

void peers_hint(void) {
    pthread_mutex_lock(&shared.lock);
    shared.hints++;
    pthread_cond_broadcast(&shared.hinted);
    pthread_mutex_unlock(&shared.lock);
}

static bool is_lately(struct timespec instant) { return instant.tv_sec && clock_seconds_since(instant) < lately_s; }

bool peers_see_store(void) {
    bool seen = false;
    pthread_mutex_lock(&shared.lock);
    for (int i = 0; i < cfg->n_seeds; i++) seen |= is_lately(shared.peers[i].saw_store);
    pthread_mutex_unlock(&shared.lock);
    return seen;
}

bool peers_reach(const char *node) {
    bool reached = false;
    pthread_mutex_lock(&shared.lock);
    for (int i = 0; i < cfg->n_seeds; i++)
        reached |= strcmp(cfg->seeds[i].node, node) == 0 && is_lately(shared.peers[i].reached);
    pthread_mutex_unlock(&shared.lock);
    return reached;
}
