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

enum { CONNECTIONS_MAX = 64, REQUEST_TIMEOUT_MS = 700, URL_BYTES = 128, BODY_BYTES = 64 };
static const double request_interval_s = 1;
static const double store_age_never_read_s = 1e6; /* reported before the first full read of the store */
static const double recent_store_age_max_s = 4;   /* a peer whose last read is older has not recently read the store */
static const double answer_valid_s = 3;           /* age up to which an answer of a peer counts */

/* When the latest answers of one peer arrived; zero: no such answer yet. */
struct peer {
    struct timespec read_store_at; /* the latest answer that reported a recent read of the store */
    struct timespec answered_at;   /* the latest answer of any kind */
};

static const struct settings *cfg;
static struct {
    pthread_mutex_t lock;
    pthread_cond_t hint_added;
    unsigned n_hints; /* calls of peers_notify_store_change; each thread compares this with the number it has handled */
    struct peer peers[SETTINGS_PEERS_MAX];
} shared = {.lock = PTHREAD_MUTEX_INITIALIZER};

/* ---- requests from peers ---- */

/* A request for "/hint" reports that the store has changed. Every request is answered with the age of this controller's
 * last read of the store. */
static void handle_request(struct http_request *request, void *context) {
    (void)context;
    if (strcmp(http_path(request), "/hint") == 0) store_wake_watch();
    store_lock();
    double age_s = store_synced() ? clock_seconds_since(store_last_read_sent()) : store_age_never_read_s;
    store_unlock();
    char body[BODY_BYTES];
    snprintf(body, sizeof body, "{\"store_age_s\":%.2f}", age_s);
    http_reply(request, HTTP_OK, body, 0);
}

/* ---- requests to peers ---- */

/* Waits for a new hint for at most request_interval_s. Returns whether there is one, and sets *hints_handled, the
 * number of hints that the calling thread has handled, to the number of all hints. */
static bool wait_for_hint(unsigned *hints_handled) {
    pthread_mutex_lock(&shared.lock);
    if (*hints_handled == shared.n_hints)
        sync_cond_wait(&shared.hint_added, &shared.lock, clock_from_seconds(request_interval_s));
    bool new_hint = *hints_handled != shared.n_hints;
    *hints_handled = shared.n_hints;
    pthread_mutex_unlock(&shared.lock);
    return new_hint;
}

static void send_request(struct http_client *client, int index, const char *path) {
    char url[URL_BYTES];
    long status;
    cJSON *answer = NULL;
    snprintf(url, sizeof url, "http://%s/%s", cfg->peers[index].address, path);
    if (http_call(client, "GET", url, NULL, REQUEST_TIMEOUT_MS, &status, &answer) == HTTP_ANSWERED) {
        struct peer *peer = &shared.peers[index];
        pthread_mutex_lock(&shared.lock);
        peer->answered_at = clock_now();
        if (json_get_double(answer, "store_age_s", store_age_never_read_s) < recent_store_age_max_s)
            peer->read_store_at = peer->answered_at;
        pthread_mutex_unlock(&shared.lock);
    }
    cJSON_Delete(answer);
}

static void *peer_main(void *arg) {
    int index = (int)(intptr_t)arg;
    struct http_client *client = http_client_new();
    unsigned hints_handled = 0;
    struct timespec request_sent_at = {0, 0};
    for (;;) {
        bool new_hint = wait_for_hint(&hints_handled);
        if (!new_hint && clock_seconds_since(request_sent_at) < request_interval_s) continue;
        request_sent_at = clock_now();
        send_request(client, index, new_hint ? "hint" : "age");
    }
    return NULL;
}

void peers_init(const struct settings *settings) {
    cfg = settings;
    sync_cond_init(&shared.hint_added);
}

bool peers_listen(void) {
    return http_server_start(cfg->peer_listen_address, CONNECTIONS_MAX, handle_request, NULL) != NULL;
}

void peers_start(void) {
    for (int i = 0; i < cfg->n_peers; i++) sync_start_thread(peer_main, (void *)(intptr_t)i);
}

/* ---- hints and state of the peers ---- */

void peers_notify_store_change(void) {
    pthread_mutex_lock(&shared.lock);
    shared.n_hints++;
    pthread_cond_broadcast(&shared.hint_added);
    pthread_mutex_unlock(&shared.lock);
}

static bool is_valid_answer(struct timespec answered_at) {
    return answered_at.tv_sec && clock_seconds_since(answered_at) < answer_valid_s;
}

bool peers_any_reads_store(void) {
    bool any_reads_store = false;
    pthread_mutex_lock(&shared.lock);
    for (int i = 0; i < cfg->n_peers; i++) any_reads_store |= is_valid_answer(shared.peers[i].read_store_at);
    pthread_mutex_unlock(&shared.lock);
    return any_reads_store;
}

bool peers_is_reachable(const char *node) {
    bool reachable = false;
    pthread_mutex_lock(&shared.lock);
    for (int i = 0; i < cfg->n_peers; i++)
        reachable |= strcmp(cfg->peers[i].node, node) == 0 && is_valid_answer(shared.peers[i].answered_at);
    pthread_mutex_unlock(&shared.lock);
    return reachable;
}
