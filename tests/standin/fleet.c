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
    struct worker *worker;
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
    enum standin_worker_fault reach;
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
static void lose_tasks(struct worker *worker) {
    for (guint i = 0; i < worker->tasks->len; i++) {
        struct task *t = &g_array_index(worker->tasks, struct task, i);
        if (!t->ended) log_task(t, false);
    }
    g_array_set_size(worker->tasks, 0);
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

static cJSON *heartbeat_of(struct worker *worker) {
    cJSON *object = cJSON_CreateObject(), *list;
    cJSON_AddStringToObject(object, "host", worker->id);
    cJSON_AddStringToObject(object, "address", worker->address);
    cJSON_AddStringToObject(object, "flavour", "g4");
    cJSON_AddStringToObject(object, "site", "za");
    cJSON_AddBoolToObject(object, "reclaimable", worker->spot);
    cJSON_AddNumberToObject(object, "tenure", (double)worker->incarnation);
    cJSON_AddNumberToObject(object, "seq", (double)++worker->sequence);
    cJSON_AddNumberToObject(object, "fence", (double)worker->fencing_token);
    list = cJSON_AddArrayToObject(object, "tasks");
    for (guint t = 0; t < worker->tasks->len; t++) {
        struct task *x = &g_array_index(worker->tasks, struct task, t);
        if (!x->ended && !x->stays && clock_seconds_since(x->since) > x->fetch_s + RUN_S) {
            end_task(x, "done");
        }
        cJSON *entry = cJSON_CreateObject();
        cJSON_AddStringToObject(entry, "task", x->name);
        cJSON_AddNumberToObject(entry, "try", (double)x->attempt);
        cJSON_AddStringToObject(entry, "state", x->ended ? "ended" : has_image(x) ? "running" : "fetching");
        if (x->ended) cJSON_AddStringToObject(entry, "cause", x->cause);
        cJSON_AddItemToArray(list, entry);
    }
    return object;
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
    GHashTableIter iterator;
    gpointer task, s;
    int n = 0;
    if (!started) return 0;
    g_hash_table_iter_init(&iterator, started);
    while (g_hash_table_iter_next(&iterator, &task, &s))
        if (g_str_has_prefix(task, prefix)) n += ((const struct start *)s)->count;
    return n;
}

static struct timespec began(const char *task) {
    const struct start *s = started ? g_hash_table_lookup(started, task) : NULL;
    return s ? s->first : (struct timespec){0, 0};
}

static void obey(struct worker *worker, const cJSON *answer) {
    int64_t fencing_token = 0;
    if (!json_get_int64(answer, "fence", &fencing_token) || fencing_token < worker->fencing_token) return;
    worker->fencing_token = fencing_token;
    const cJSON *x;
    cJSON_ArrayForEach(x, cJSON_GetObjectItem(answer, "orders")) {
        const char *verb = json_get_string(x, "verb"), *task = json_get_string(x, "task");
        int64_t attempt = 0;
        json_get_int64(x, "try", &attempt);
        struct task *have = NULL;
        guint at = 0;
        for (guint t = 0; t < worker->tasks->len; t++) {
            struct task *y = &g_array_index(worker->tasks, struct task, t);
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
            g_array_append_val(worker->tasks, y);
            starts++;
            log_task(&y, true);
            note_start(task);
            most = MAX(most, running_now(task));
            if (peak_prefix) peak = MAX(peak, held_now(peak_prefix));
        } else if (strcmp(verb, "stop") == 0 && have && !have->ended && worker->reach != STANDIN_IGNORES_STOPS) {
            end_task(have, "stopped");
        } else if (strcmp(verb, "forget") == 0 && have && have->ended) {
            g_array_remove_index(worker->tasks, at);
        }
    }
}

/* Executes commands if token and incarnation match. */
static bool command(struct worker *worker, const cJSON *object) {
    int64_t fencing_token = 0, incarnation = 0;
    bool good = json_get_int64(object, "fence", &fencing_token) && json_get_int64(object, "tenure", &incarnation) &&
                fencing_token >= worker->fencing_token && incarnation == worker->incarnation;
    if (good) obey(worker, object);
    return good;
}

static void on_commands(struct http_request *request, void *ctx) {
    struct worker *worker = ctx;
    size_t len;
    const char *body = http_body(request, &len);
    cJSON *object = cJSON_ParseWithLength(body, len);
    pthread_mutex_lock(&lock);
    if (!worker->alive || mute || worker->muted || worker->reach >= STANDIN_CANNOT_HEAR) {
        /* Held commands are executed later, whatever became of who sent them. */
        if (worker->alive && (worker->reach == STANDIN_COMMANDS_DELAYED || worker->reach == STANDIN_HANGS)) {
            struct held *held_command = g_new0(struct held, 1);
            held_command->worker = worker;
            held_command->directives = cJSON_Duplicate(object, true);
            g_ptr_array_add(held, held_command);
        }
        pthread_mutex_unlock(&lock);
        cJSON_Delete(object);
        http_reply(request, 500, NULL, 0);
        return;
    }
    bool good = command(worker, object);
    cJSON *heartbeat = heartbeat_of(worker);
    pthread_mutex_unlock(&lock);
    cJSON_Delete(object);
    http_reply_json(request, good ? 200 : 409, heartbeat, 0);
}

/* A lease that ran out: all tasks are killed and a new incarnation begins. */
static void check_lease(struct worker *worker) {
    if (clock_seconds_since(worker->answered) < lease_s) return;
    lose_tasks(worker);
    worker->incarnation++;
    worker->answered = clock_now();
}

/* Where the next report goes, after an answer that was not 200. */
static void turn(struct worker *worker, long status, const cJSON *answer) {
    const char *master = status == 421 ? json_get_string(answer, "master") : NULL;
    int next = (worker->at + 1) % n_controllers;
    for (int i = 0; master && i < n_controllers; i++)
        if (names[i] && strcmp(names[i], master) == 0) next = i;
    worker->at = next;
}

static void *worker_main(void *arg) {
    struct worker *worker = arg;
    struct http_client *client = http_client_new();
    char url[96];
    for (;;) {
        clock_sleep(clock_from_seconds(0.15));
        pthread_mutex_lock(&lock);
        check_lease(worker);
        bool quiet = mute || worker->muted || worker->reach == STANDIN_CANNOT_REPORT || worker->reach == STANDIN_HANGS,
             alive = worker->alive;
        if (worker->reach == STANDIN_PARTITIONED) worker->at = 0;
        int at = worker->at;
        cJSON *heartbeat = heartbeat_of(worker);
        int64_t incarnation = worker->incarnation;
        g_snprintf(url, sizeof url, "http://%s/checkin", controllers[at]);
        char *text = cJSON_PrintUnformatted(heartbeat);
        if (copy_after_s > 0 && alive && !quiet) {
            struct copy *copy = g_new0(struct copy, 1);
            copy->text = g_strdup(text);
            copy->from = at;
            copy->due = clock_instant_in(clock_from_seconds(copy_after_s));
            g_queue_push_tail(copies, copy);
        }
        pthread_mutex_unlock(&lock);
        cJSON_Delete(heartbeat);
        long status = 0;
        cJSON *answer = NULL;
        struct timespec sent = clock_now();
        if (alive && !quiet) {
            bool got = http_call(client, "POST", url, text, 1000, &status, &answer) == HTTP_ANSWERED;
            int64_t fencing_token = 0;
            pthread_mutex_lock(&lock);
            if (worker->reach == STANDIN_CANNOT_HEAR || worker->reach == STANDIN_HANGS) {
                /* Lost. */
            } else if (got && status == 200 && incarnation == worker->incarnation &&
                       json_get_int64(answer, "fence", &fencing_token) && fencing_token >= worker->fencing_token) {
                worker->answered = sent;
                obey(worker, answer);
            } else if (!got || status != 200) {
                turn(worker, status, answer);
            }
            pthread_mutex_unlock(&lock);
        }
        cJSON_Delete(answer);
        free(text);
        if (!alive) break;
    }
    http_client_free(client);
    return NULL;
}

/* Sends the copies that are due, each to a controller that had not the original. */
static void *copies_main(void *arg) {
    (void)arg;
    struct http_client *client = http_client_new();
    for (;;) {
        pthread_mutex_lock(&lock);
        struct copy *copy = g_queue_peek_head(copies);
        if (copy && clock_seconds_since(copy->due) < 0) copy = NULL;
        if (copy) g_queue_pop_head(copies);
        char url[96];
        if (copy) g_snprintf(url, sizeof url, "http://%s/checkin", controllers[(copy->from + 1) % n_controllers]);
        pthread_mutex_unlock(&lock);
        if (!copy) {
            clock_sleep(clock_from_seconds(0.05));
            continue;
        }
        long status;
        http_call(client, "POST", url, copy->text, 1000, &status, NULL);
        g_free(copy->text);
        g_free(copy);
    }
    return NULL;
}

static cJSON *rent(const cJSON *object) {
    int64_t n = 0;
    json_get_int64(object, "how_many", &n);
    cJSON *out = cJSON_CreateObject(), *hosts = cJSON_AddArrayToObject(out, "hosts");
    int rented = 0;
    for (int i = 0; i < n_workers; i++) rented += workers[i].alive;
    for (int64_t i = 0; i < n && n_workers < MOST && rented + i < capacity; i++) {
        struct worker *worker = &workers[n_workers];
        g_snprintf(worker->id, sizeof worker->id, "i-%06d", n_workers);
        g_snprintf(worker->address, sizeof worker->address, "127.0.0.1:%d", first_port + n_workers);
        worker->spot = json_get_bool(object, "reclaimable");
        worker->alive = true;
        worker->answered = clock_now();
        worker->incarnation = 1;
        worker->tasks = g_array_new(FALSE, FALSE, sizeof(struct task));
        n_workers++;
        http_server_start(worker->address, 16, on_commands, worker);
        sync_start_thread(worker_main, worker);
        cJSON_AddItemToArray(hosts, cJSON_CreateString(worker->id));
    }
    return out;
}

/* The first rental requests meet what a cloud may answer before it gives anything. */
static const struct {
    unsigned status;
    const char *body;
} refusals[] = {{429, "{}"}, {503, "{\"error\":\"trouble\"}"}, {503, "{\"error\":\"no capacity\"}"}};
static unsigned refused;

static void on_cloud(struct http_request *request, void *ctx) {
    (void)ctx;
    size_t len;
    const char *path = http_path(request), *body = http_body(request, &len);
    cJSON *object = cJSON_ParseWithLength(body, len), *out = NULL;
    unsigned status = 200;
    pthread_mutex_lock(&lock);
    if (strcmp(path, "/flavors") == 0) {
        out = cJSON_Parse(
            "{\"flavours\":[{\"sku\":\"g4\",\"vcpus\":16,\"gpus\":4,\"memory_gb\":64,\"local_gb\":50,"
            "\"fetch_gb_per_s\":1,\"hourly\":10,\"market_price\":3,\"startup_s\":1,\"sites\":[\"za\"]}]}");
    } else if (strcmp(path, "/rentals/return") == 0) {
        const cJSON *x;
        cJSON_ArrayForEach(x, cJSON_GetObjectItem(object, "hosts")) for (int i = 0; i < n_workers; i++) {
            if (strcmp(workers[i].id, x->valuestring) == 0 && workers[i].alive) {
                workers[i].alive = false;
                lose_tasks(&workers[i]);
                returned++;
            }
        }
        out = cJSON_CreateObject();
    } else if (strcmp(http_method(request), "POST") == 0) {
        const char *claim = json_get_string(object, "claim"), *old = g_hash_table_lookup(claims, claim);
        char *text = cJSON_PrintUnformatted(object);
        if (old && strcmp(old, text) != 0) reused++;
        g_hash_table_insert(claims, g_strdup(claim), g_strdup(text));
        free(text);
        if (refused < G_N_ELEMENTS(refusals)) {
            status = refusals[refused].status;
            out = cJSON_Parse(refusals[refused++].body);
        } else {
            out = rent(object);
        }
    } else {
        out = cJSON_Parse("{\"hosts\":[],\"has_next\":false}");
    }
    pthread_mutex_unlock(&lock);
    cJSON_Delete(object);
    http_reply_json(request, status, out, 0);
}

bool standin_cloud_start(const char *address, const char *controller) {
    controllers[n_controllers++] = controller;
    claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    held = g_ptr_array_new();
    copies = g_queue_new();
    sync_start_thread(copies_main, NULL);
    return http_server_start(address, 16, on_cloud, NULL) != NULL;
}

void standin_workers_add_controller(const char *node, const char *controller) {
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
int standin_cloud_rentals_refused(void) { GET((int)refused) }
int standin_cloud_returned(void) { GET(returned) }
int standin_cloud_claims_reused(void) { GET(reused) }
void standin_workers_set_unreachable(bool all) { SET(mute = all) }
void standin_workers_set_one_unreachable(int index) { SET(workers[index].muted = true) }
void standin_workers_set_lease(double seconds) { SET(lease_s = seconds) }
int standin_workers_running(const char *task) { GET(running_now(task)) }
int standin_workers_most_copies(void) { GET(most) }
int standin_workers_starts(void) { GET(starts) }
struct timespec standin_workers_first_start(const char *task) {
    pthread_mutex_lock(&lock);
    struct timespec when = began(task);
    pthread_mutex_unlock(&lock);
    return when;
}
int standin_workers_starts_by_prefix(const char *prefix) { GET(starts_of(prefix)) }
void standin_cloud_refuse_no_rental(void) { SET(refused = G_N_ELEMENTS(refusals)) }
void standin_cloud_set_capacity(int machines) { SET(capacity = machines) }
void standin_workers_set_first_port(int first) { SET(first_port = first) }
void standin_workers_measure_peak(const char *prefix) { SET(peak_prefix = prefix; peak = 0) }
int standin_workers_peak(void) { GET(peak) }
void standin_workers_duplicate_heartbeats(double after_s) { SET(copy_after_s = after_s) }

static int holding(const char *task, int *index) {
    int n = 0;
    for (int i = 0; i < n_workers; i++) {
        for (guint t = 0; workers[i].alive && t < workers[i].tasks->len; t++) {
            const struct task *x = &g_array_index(workers[i].tasks, struct task, t);
            if (x->ended || strcmp(x->name, task) != 0) continue;
            n++;
            if (index) *index = i;
        }
    }
    return n;
}
int standin_workers_holding(const char *task) { GET(holding(task, NULL)) }
int standin_workers_machine_of(const char *task) {
    int index = -1;
    pthread_mutex_lock(&lock);
    holding(task, &index);
    pthread_mutex_unlock(&lock);
    return index;
}

void standin_workers_set_fetch_time(const char *prefix, double seconds) {
    pthread_mutex_lock(&lock);
    fetch_prefix = prefix;
    fetch_s = seconds;
    pthread_mutex_unlock(&lock);
}

void standin_workers_inject(int index, enum standin_worker_fault reach) {
    pthread_mutex_lock(&lock);
    for (int i = 0; i < n_workers; i++) {
        if (index < 0 || index == i) {
            if (workers[i].alive) check_lease(&workers[i]);
            workers[i].reach = reach;
        }
    }
    for (guint i = held->len; reach == STANDIN_HEALTHY && i-- > 0;) {
        struct held *held_command = held->pdata[i];
        if (index >= 0 && held_command->worker != &workers[index]) continue;
        if (held_command->worker->alive) command(held_command->worker, held_command->directives);
        cJSON_Delete(held_command->directives);
        g_free(held_command);
        g_ptr_array_remove_index(held, i);
    }
    pthread_mutex_unlock(&lock);
}

void standin_workers_report_to(int controller) {
    pthread_mutex_lock(&lock);
    for (int i = 0; i < n_workers; i++) workers[i].at = controller;
    pthread_mutex_unlock(&lock);
}
