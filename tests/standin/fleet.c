#include "fleet.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "clock/clock.h"
#include "history.h"
#include "http/client.h"
#include "http/server.h"
#include "json/json.h"
#include "sync/sync.h"

#define MOST 32
#define RUN_S 0.6

struct task {
    char name[64];
    int64_t attempt;
    bool ended, stays;
    char cause[16];
    struct timespec since;
    double fetch_s;
};
struct held {
    struct worker *w;
    cJSON *directives;
};
struct copy {
    char *text;
    int from; /* the controller that had the original */
    struct timespec due;
};
struct worker {
    char id[32], address[32];
    bool alive, spot, muted;
    enum standin_reach reach;
    int at; /* the controller it reports to */
    struct timespec answered;
    int64_t incarnation, sequence, fencing_token;
    GArray *tasks;
};
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct worker workers[MOST];
static int n_workers, returned, reused, starts, most, peak, first_port = 18300;
static const char *peak_prefix;
static int capacity = MOST;
static bool mute;
static const char *controllers[8], *names[8];
static int n_controllers;
static double lease_s = 1e9;
static GHashTable *claims; /* claim -> order text */
static GPtrArray *held;    /* struct held: commands on their way */
static GQueue *copies;     /* struct copy, in the order in which they are due */
static double copy_after_s, fetch_s;
static const char *fetch_prefix;

static void log_task(const struct task *t, bool comes) { history_task(history_log(), history_now(), t->name, comes); }

static void end_task(struct task *t, const char *cause) {
    t->ended = true;
    g_strlcpy(t->cause, cause, sizeof t->cause);
    log_task(t, false);
}

/* The machine loses all that runs on it. */
static void lose_tasks(struct worker *w) {
    for (guint i = 0; i < w->tasks->len; i++) {
        struct task *t = &g_array_index(w->tasks, struct task, i);
        if (!t->ended) log_task(t, false);
    }
    g_array_set_size(w->tasks, 0);
}

static bool has_image(const struct task *t) { return clock_seconds_since(t->since) >= t->fetch_s; }

static int running_now(const char *task) {
    int n = 0;
    for (int i = 0; i < n_workers; i++) {
        for (guint t = 0; workers[i].alive && t < workers[i].tasks->len; t++) {
            struct task *x = &g_array_index(workers[i].tasks, struct task, t);
            n += !x->ended && has_image(x) && strcmp(x->name, task) == 0;
        }
    }
    return n;
}

static int held_now(const char *prefix) {
    int n = 0;
    for (int i = 0; i < n_workers; i++) {
        for (guint t = 0; workers[i].alive && t < workers[i].tasks->len; t++) {
            const struct task *x = &g_array_index(workers[i].tasks, struct task, t);
            n += !x->ended && g_str_has_prefix(x->name, prefix);
        }
    }
    return n;
}

static cJSON *heartbeat_of(struct worker *w) {
    cJSON *o = cJSON_CreateObject(), *list;
    cJSON_AddStringToObject(o, "host", w->id);
    cJSON_AddStringToObject(o, "address", w->address);
    cJSON_AddStringToObject(o, "flavour", "g4");
    cJSON_AddStringToObject(o, "site", "za");
    cJSON_AddBoolToObject(o, "reclaimable", w->spot);
    cJSON_AddNumberToObject(o, "tenure", (double)w->incarnation);
    cJSON_AddNumberToObject(o, "seq", (double)++w->sequence);
    cJSON_AddNumberToObject(o, "fence", (double)w->fencing_token);
    list = cJSON_AddArrayToObject(o, "tasks");
    for (guint t = 0; t < w->tasks->len; t++) {
        struct task *x = &g_array_index(w->tasks, struct task, t);
        if (!x->ended && !x->stays && clock_seconds_since(x->since) > x->fetch_s + RUN_S) {
            end_task(x, "done");
        }
        cJSON *e = cJSON_CreateObject();
        cJSON_AddStringToObject(e, "task", x->name);
        cJSON_AddNumberToObject(e, "try", (double)x->attempt);
        cJSON_AddStringToObject(e, "state", x->ended ? "ended" : has_image(x) ? "running" : "fetching");
        if (x->ended) cJSON_AddStringToObject(e, "cause", x->cause);
        cJSON_AddItemToArray(list, e);
    }
    return o;
}

/* When a task was started first, and how often. */
struct start {
    struct timespec first;
    int count;
};
static GHashTable *started; /* task -> struct start */

static void note_start(const char *task) {
    if (!started) started = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    struct start *s = g_hash_table_lookup(started, task);
    if (!s) {
        s = g_new0(struct start, 1);
        s->first = clock_now();
        g_hash_table_insert(started, g_strdup(task), s);
    }
    s->count++;
}

static int starts_of(const char *prefix) {
    GHashTableIter it;
    gpointer task, s;
    int n = 0;
    if (!started) return 0;
    g_hash_table_iter_init(&it, started);
    while (g_hash_table_iter_next(&it, &task, &s))
        if (g_str_has_prefix(task, prefix)) n += ((const struct start *)s)->count;
    return n;
}

static struct timespec began(const char *task) {
    const struct start *s = started ? g_hash_table_lookup(started, task) : NULL;
    return s ? s->first : (struct timespec){0, 0};
}

static void obey(struct worker *w, const cJSON *answer) {
    int64_t fencing_token = 0;
    if (!json_get_int64(answer, "fence", &fencing_token) || fencing_token < w->fencing_token) return;
    w->fencing_token = fencing_token;
    const cJSON *x;
    cJSON_ArrayForEach(x, cJSON_GetObjectItem(answer, "orders")) {
        const char *verb = json_get_string(x, "verb"), *task = json_get_string(x, "task");
        int64_t attempt = 0;
        json_get_int64(x, "try", &attempt);
        struct task *have = NULL;
        guint at = 0;
        for (guint t = 0; t < w->tasks->len; t++) {
            struct task *y = &g_array_index(w->tasks, struct task, t);
            if (y->attempt == attempt && strcmp(y->name, task) == 0) {
                have = y;
                at = t;
            }
        }
        if (strcmp(verb, "run") == 0 && !have) {
            struct task y;
            memset(&y, 0, sizeof y);
            g_strlcpy(y.name, task, sizeof y.name);
            y.attempt = attempt;
            y.since = clock_now();
            y.stays = strncmp(task, "req-9", 5) == 0;
            y.fetch_s = fetch_prefix && g_str_has_prefix(task, fetch_prefix) ? fetch_s : 0;
            g_array_append_val(w->tasks, y);
            starts++;
            log_task(&y, true);
            note_start(task);
            most = MAX(most, running_now(task));
            if (peak_prefix) peak = MAX(peak, held_now(peak_prefix));
        } else if (strcmp(verb, "stop") == 0 && have && !have->ended && w->reach != STANDIN_DEFIANT) {
            end_task(have, "stopped");
        } else if (strcmp(verb, "forget") == 0 && have && have->ended) {
            g_array_remove_index(w->tasks, at);
        }
    }
}

/* Executes commands if token and incarnation match. */
static bool command(struct worker *w, const cJSON *o) {
    int64_t fencing_token = 0, incarnation = 0;
    bool good = json_get_int64(o, "fence", &fencing_token) && json_get_int64(o, "tenure", &incarnation) &&
                fencing_token >= w->fencing_token && incarnation == w->incarnation;
    if (good) obey(w, o);
    return good;
}

static void on_commands(struct http_request *r, void *ctx) {
    struct worker *w = ctx;
    size_t len;
    const char *body = http_body(r, &len);
    cJSON *o = cJSON_ParseWithLength(body, len);
    pthread_mutex_lock(&lock);
    if (!w->alive || mute || w->muted || w->reach >= STANDIN_DEAF) {
        /* Held commands are executed later, whatever became of who sent them. */
        if (w->alive && (w->reach == STANDIN_HELD || w->reach == STANDIN_HANGS)) {
            struct held *h = g_new0(struct held, 1);
            h->w = w;
            h->directives = cJSON_Duplicate(o, true);
            g_ptr_array_add(held, h);
        }
        pthread_mutex_unlock(&lock);
        cJSON_Delete(o);
        http_reply(r, 500, NULL, 0);
        return;
    }
    bool good = command(w, o);
    cJSON *rep = heartbeat_of(w);
    pthread_mutex_unlock(&lock);
    cJSON_Delete(o);
    http_reply_json(r, good ? 200 : 409, rep, 0);
}

/* A lease that ran out: all tasks are killed and a new incarnation begins. */
static void check_lease(struct worker *w) {
    if (clock_seconds_since(w->answered) < lease_s) return;
    lose_tasks(w);
    w->incarnation++;
    w->answered = clock_now();
}

/* Where the next report goes, after an answer that was not 200. */
static void turn(struct worker *w, long status, const cJSON *answer) {
    const char *master = status == 421 ? json_get_string(answer, "master") : NULL;
    int next = (w->at + 1) % n_controllers;
    for (int i = 0; master && i < n_controllers; i++)
        if (names[i] && strcmp(names[i], master) == 0) next = i;
    w->at = next;
}

static void *worker_main(void *arg) {
    struct worker *w = arg;
    struct http_client *c = http_client_new();
    char url[96];
    for (;;) {
        clock_sleep(clock_from_seconds(0.15));
        pthread_mutex_lock(&lock);
        check_lease(w);
        bool quiet = mute || w->muted || w->reach == STANDIN_MUTE || w->reach == STANDIN_HANGS, alive = w->alive;
        if (w->reach == STANDIN_ISLAND) w->at = 0;
        int at = w->at;
        cJSON *rep = heartbeat_of(w);
        int64_t incarnation = w->incarnation;
        g_snprintf(url, sizeof url, "http://%s/checkin", controllers[at]);
        char *text = cJSON_PrintUnformatted(rep);
        if (copy_after_s > 0 && alive && !quiet) {
            struct copy *k = g_new0(struct copy, 1);
            k->text = g_strdup(text);
            k->from = at;
            k->due = clock_instant_in(clock_from_seconds(copy_after_s));
            g_queue_push_tail(copies, k);
        }
        pthread_mutex_unlock(&lock);
        cJSON_Delete(rep);
        long status = 0;
        cJSON *a = NULL;
        struct timespec sent = clock_now();
        if (alive && !quiet) {
            bool got = http_call(c, "POST", url, text, 1000, &status, &a) == HTTP_ANSWERED;
            int64_t fencing_token = 0;
            pthread_mutex_lock(&lock);
            if (w->reach == STANDIN_DEAF || w->reach == STANDIN_HANGS) {
                /* Lost. */
            } else if (got && status == 200 && incarnation == w->incarnation &&
                       json_get_int64(a, "fence", &fencing_token) && fencing_token >= w->fencing_token) {
                w->answered = sent;
                obey(w, a);
            } else if (!got || status != 200) {
                turn(w, status, a);
            }
            pthread_mutex_unlock(&lock);
        }
        cJSON_Delete(a);
        free(text);
        if (!alive) break;
    }
    http_client_free(c);
    return NULL;
}

/* Sends the copies that are due, each to a controller that had not the original. */
static void *copies_main(void *arg) {
    (void)arg;
    struct http_client *c = http_client_new();
    for (;;) {
        pthread_mutex_lock(&lock);
        struct copy *k = g_queue_peek_head(copies);
        if (k && clock_seconds_since(k->due) < 0) k = NULL;
        if (k) g_queue_pop_head(copies);
        char url[96];
        if (k) g_snprintf(url, sizeof url, "http://%s/checkin", controllers[(k->from + 1) % n_controllers]);
        pthread_mutex_unlock(&lock);
        if (!k) {
            clock_sleep(clock_from_seconds(0.05));
            continue;
        }
        long status;
        http_call(c, "POST", url, k->text, 1000, &status, NULL);
        g_free(k->text);
        g_free(k);
    }
    return NULL;
}

static cJSON *rent(const cJSON *o) {
    int64_t n = 0;
    json_get_int64(o, "how_many", &n);
    cJSON *out = cJSON_CreateObject(), *hosts = cJSON_AddArrayToObject(out, "hosts");
    int rented = 0;
    for (int i = 0; i < n_workers; i++) rented += workers[i].alive;
    for (int64_t i = 0; i < n && n_workers < MOST && rented + i < capacity; i++) {
        struct worker *w = &workers[n_workers];
        g_snprintf(w->id, sizeof w->id, "i-%06d", n_workers);
        g_snprintf(w->address, sizeof w->address, "127.0.0.1:%d", first_port + n_workers);
        w->spot = json_get_bool(o, "reclaimable");
        w->alive = true;
        w->answered = clock_now();
        w->incarnation = 1;
        w->tasks = g_array_new(FALSE, FALSE, sizeof(struct task));
        n_workers++;
        http_server_start(w->address, 16, on_commands, w);
        sync_start_thread(worker_main, w);
        cJSON_AddItemToArray(hosts, cJSON_CreateString(w->id));
    }
    return out;
}

/* The first rental requests meet what a cloud may answer before it gives anything. */
static const struct {
    unsigned status;
    const char *body;
} refusals[] = {{429, "{}"}, {503, "{\"error\":\"trouble\"}"}, {503, "{\"error\":\"no capacity\"}"}};
static unsigned refused;

static void on_cloud(struct http_request *r, void *ctx) {
    (void)ctx;
    size_t len;
    const char *p = http_path(r), *body = http_body(r, &len);
    cJSON *o = cJSON_ParseWithLength(body, len), *out = NULL;
    unsigned status = 200;
    pthread_mutex_lock(&lock);
    if (strcmp(p, "/flavors") == 0) {
        out = cJSON_Parse(
            "{\"flavours\":[{\"sku\":\"g4\",\"vcpus\":16,\"gpus\":4,\"memory_gb\":64,\"local_gb\":50,"
            "\"fetch_gb_per_s\":1,\"hourly\":10,\"market_price\":3,\"startup_s\":1,\"sites\":[\"za\"]}]}");
    } else if (strcmp(p, "/rentals/return") == 0) {
        const cJSON *x;
        cJSON_ArrayForEach(x, cJSON_GetObjectItem(o, "hosts")) for (int i = 0; i < n_workers; i++) {
            if (strcmp(workers[i].id, x->valuestring) == 0 && workers[i].alive) {
                workers[i].alive = false;
                lose_tasks(&workers[i]);
                returned++;
            }
        }
        out = cJSON_CreateObject();
    } else if (strcmp(http_method(r), "POST") == 0) {
        const char *claim = json_get_string(o, "claim"), *old = g_hash_table_lookup(claims, claim);
        char *text = cJSON_PrintUnformatted(o);
        if (old && strcmp(old, text) != 0) reused++;
        g_hash_table_insert(claims, g_strdup(claim), g_strdup(text));
        free(text);
        if (refused < G_N_ELEMENTS(refusals)) {
            status = refusals[refused].status;
            out = cJSON_Parse(refusals[refused++].body);
        } else {
            out = rent(o);
        }
    } else {
        out = cJSON_Parse("{\"hosts\":[],\"has_next\":false}");
    }
    pthread_mutex_unlock(&lock);
    cJSON_Delete(o);
    http_reply_json(r, status, out, 0);
}

bool standin_cloud_start(const char *address, const char *controller) {
    controllers[n_controllers++] = controller;
    claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    held = g_ptr_array_new();
    copies = g_queue_new();
    sync_start_thread(copies_main, NULL);
    return http_server_start(address, 16, on_cloud, NULL) != NULL;
}

void standin_workers_knows(const char *node, const char *controller) {
    pthread_mutex_lock(&lock);
    names[n_controllers] = node;
    controllers[n_controllers++] = controller;
    pthread_mutex_unlock(&lock);
}

#define SET(body)              \
    pthread_mutex_lock(&lock); \
    body;                      \
    pthread_mutex_unlock(&lock);
#define GET(expr)                \
    pthread_mutex_lock(&lock);   \
    int v = (expr);              \
    pthread_mutex_unlock(&lock); \
    return v;
int standin_cloud_rented(void) { GET(n_workers) }
int standin_cloud_refused(void) { GET((int)refused) }
int standin_cloud_returned(void) { GET(returned) }
int standin_cloud_claims_reused(void) { GET(reused) }
void standin_workers_mute(bool all) { SET(mute = all) }
void standin_workers_mute_one(int index) { SET(workers[index].muted = true) }
void standin_workers_lease(double seconds) { SET(lease_s = seconds) }
int standin_workers_running(const char *task) { GET(running_now(task)) }
int standin_workers_most(void) { GET(most) }
int standin_workers_starts(void) { GET(starts) }
struct timespec standin_workers_began(const char *task) {
    pthread_mutex_lock(&lock);
    struct timespec when = began(task);
    pthread_mutex_unlock(&lock);
    return when;
}
int standin_workers_starts_of(const char *prefix) { GET(starts_of(prefix)) }
void standin_cloud_willing(void) { SET(refused = G_N_ELEMENTS(refusals)) }
void standin_cloud_capacity(int machines) { SET(capacity = machines) }
void standin_workers_ports(int first) { SET(first_port = first) }
void standin_workers_watch(const char *prefix) { SET(peak_prefix = prefix; peak = 0) }
int standin_workers_peak(void) { GET(peak) }
void standin_workers_copies(double after_s) { SET(copy_after_s = after_s) }

static int holding(const char *task, int *on) {
    int n = 0;
    for (int i = 0; i < n_workers; i++) {
        for (guint t = 0; workers[i].alive && t < workers[i].tasks->len; t++) {
            const struct task *x = &g_array_index(workers[i].tasks, struct task, t);
            if (x->ended || strcmp(x->name, task) != 0) continue;
            n++;
            if (on) *on = i;
        }
    }
    return n;
}
int standin_workers_holding(const char *task) { GET(holding(task, NULL)) }
int standin_workers_on(const char *task) {
    int on = -1;
    pthread_mutex_lock(&lock);
    holding(task, &on);
    pthread_mutex_unlock(&lock);
    return on;
}

void standin_workers_fetch(const char *prefix, double seconds) {
    pthread_mutex_lock(&lock);
    fetch_prefix = prefix;
    fetch_s = seconds;
    pthread_mutex_unlock(&lock);
}

void standin_workers_reach(int index, enum standin_reach reach) {
    pthread_mutex_lock(&lock);
    for (int i = 0; i < n_workers; i++) {
        if (index < 0 || index == i) {
            if (workers[i].alive) check_lease(&workers[i]);
            workers[i].reach = reach;
        }
    }
    for (guint i = held->len; reach == STANDIN_WELL && i-- > 0;) {
        struct held *h = held->pdata[i];
        if (index >= 0 && h->w != &workers[index]) continue;
        if (h->w->alive) command(h->w, h->directives);
        cJSON_Delete(h->directives);
        g_free(h);
        g_ptr_array_remove_index(held, i);
    }
    pthread_mutex_unlock(&lock);
}

void standin_workers_turn_to(int controller) {
    pthread_mutex_lock(&lock);
    for (int i = 0; i < n_workers; i++) workers[i].at = controller;
    pthread_mutex_unlock(&lock);
}
