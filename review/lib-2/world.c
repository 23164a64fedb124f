#include "world.h"

#include <cjson/cJSON.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "net.h"

enum { MACHINES_MAX = 400, TASKS_MAX = 64, EVENTS_KEPT = 10000, NAME_BYTES = 64, ORDER_BYTES = 65536 };

struct world_config world_kerwatt = {
    .controllers = 3,
    .zones = {"rennes-a", "brest-b", "lorient-c"},
    .n_zones = 3,
    .teams = {{"desk-quant-00", 0, 0, 8, 32},
              {"desk-quant-01", 0, 0, 8, 32},
              {"desk-quant-02", 0, 0, 8, 32},
              {"desk-quant-03", 0, 0, 8, 32},
              {"desk-quant-04", 0, 0, 8, 32},
              {"desk-quant-05", 0, 0, 8, 32}},
    .n_teams = 6,
    .report_s = 3,
    .lease_s = 34,
    .gang_wait_s = 45,
    .gang_peer_s = 4,
    .cancel_s = 64,
    .rps = 200,
    .write_rps = 25,
    .value_kb = 16,
    .txn_ops = 16,
    .cloud_rps = 1.5,
    .list_lag_s = 10,
    .cores = 0.16,
    .mem_mb = 136,
    .sockets = 2500,
    .restart_delay_s = 8,
    .sku = "menhir-g16",
    .vcpus = 16,
    .gpus = 2,
    .memory_gb = 64,
    .local_gb = 60,
    .fetch_gb_per_s = 0.5,
    .hourly = 6.78,
    .market_price = 2.23,
    .startup_s = 25,
    .ordinary = {7, 9, 6},
    .spot = {3, 4, 3},
    .objectives =
        "[{\"kind\":\"wait\",\"class\":\"bid-forecast\",\"within_s\":18,\"share\":0.88},"
        "{\"kind\":\"finished\",\"class\":\"scenario-sweep\",\"within_s\":180,\"share\":0.9},"
        "{\"kind\":\"finished\",\"class\":\"scenario-sweep\",\"within_s\":300,\"share\":0.94},"
        "{\"kind\":\"wait\",\"class\":\"model-retrain\",\"within_s\":30,\"share\":0.85},"
        "{\"kind\":\"finished\",\"class\":\"model-retrain\",\"within_s\":400,\"share\":0.85},"
        "{\"kind\":\"guarantee\",\"within_s\":15,\"share\":0.93}]",
    .first_seq = 1,
};

struct world_config world_aria = {
    .controllers = 3,
    .zones = {"catania-uno", "siracusa-due", "palermo-tre"},
    .n_zones = 3,
    .teams = {{"rete", 0, 0, 0, 0},
              {"modelli", 0, 0, 0, 0},
              {"sanita", 0, 0, 0, 0},
              {"porti", 0, 0, 0, 0},
              {"vulcano", 0, 0, 0, 0}},
    .n_teams = 5,
    .report_s = 3,
    .lease_s = 24,
    .gang_wait_s = 30,
    .gang_peer_s = 8,
    .cancel_s = 49,
    .rps = 100,
    .write_rps = 18,
    .value_kb = 4,
    .txn_ops = 8,
    .cloud_rps = 5,
    .list_lag_s = 4,
    .cores = 0.16,
    .mem_mb = 104,
    .sockets = 2000,
    .restart_delay_s = 6,
    .sku = "lava-g48",
    .vcpus = 48,
    .gpus = 4,
    .memory_gb = 288,
    .local_gb = 150,
    .fetch_gb_per_s = 1,
    .hourly = 16.19,
    .market_price = 4.43,
    .startup_s = 30,
    .ordinary = {8, 10, 8},
    .spot = {7, 8, 7},
    .objectives =
        "[{\"kind\":\"wait\",\"class\":\"map-serve\",\"within_s\":1,\"share\":0.85},"
        "{\"kind\":\"finished\",\"class\":\"plume-trial\",\"within_s\":80,\"share\":0.9},"
        "{\"kind\":\"finished\",\"class\":\"plume-trial\",\"within_s\":200,\"share\":0.975}]",
    .first_seq = 1,
};

struct world_config world_aria_fleet = {
    .controllers = 3,
    .zones = {"catania-uno", "siracusa-due", "palermo-tre"},
    .n_zones = 3,
    .teams = {{"rete", 0, 0, 0, 0},
              {"modelli", 0, 0, 0, 0},
              {"sanita", 0, 0, 0, 0},
              {"porti", 0, 0, 0, 0},
              {"vulcano", 0, 0, 0, 0}},
    .n_teams = 5,
    .report_s = 5,
    .lease_s = 26.5,
    .gang_wait_s = 30,
    .gang_peer_s = 8,
    .cancel_s = 51.5,
    .rps = 150,
    .write_rps = 30,
    .value_kb = 4,
    .txn_ops = 8,
    .cloud_rps = 7,
    .list_lag_s = 4,
    .cores = 0.24,
    .mem_mb = 158,
    .sockets = 2989,
    .restart_delay_s = 6,
    .sku = "lava-g48",
    .vcpus = 48,
    .gpus = 4,
    .memory_gb = 288,
    .local_gb = 150,
    .fetch_gb_per_s = 1,
    .hourly = 16.19,
    .market_price = 4.43,
    .startup_s = 30,
    .ordinary = {8, 10, 8},
    .spot = {7, 8, 7},
    .objectives =
        "[{\"kind\":\"wait\",\"class\":\"map-serve\",\"within_s\":1,\"share\":0.85},"
        "{\"kind\":\"finished\",\"class\":\"plume-trial\",\"within_s\":80,\"share\":0.9},"
        "{\"kind\":\"finished\",\"class\":\"plume-trial\",\"within_s\":200,\"share\":0.975}]",
    .first_seq = 1,
};

/* ---- the record ---- */

static struct world_config cfg;
static FILE *record;
static double started_at;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char repository[512], folder[512];

double world_time(void) { return net_now() - started_at; }

void world_log(const char *format, ...) {
    va_list arguments;
    pthread_mutex_lock(&record_lock);
    fprintf(record, "%8.3f ", world_time());
    va_start(arguments, format);
    vfprintf(record, format, arguments);
    va_end(arguments);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&record_lock);
}

void world_wait_until(double time) {
    if (time > world_time()) net_sleep(time - world_time());
}

bool world_trouble(void) { return g_strcmp0(getenv("TROUBLE"), "0") != 0; }

static double uniform(double from, double to) { return g_random_double_range(from, to); }

/* The value of a query's parameter, or NULL. Freed with g_free. */
static char *query(const char *path, const char *name) {
    const char *position = strchr(path, '?');
    size_t length = strlen(name);
    while (position && *position) {
        position++;
        if (strncmp(position, name, length) == 0 && position[length] == '=') {
            g_autofree char *raw = g_strndup(position + length + 1, strcspn(position + length + 1, "&"));
            return g_uri_unescape_string(raw, NULL);
        }
        position = strchr(position, '&');
    }
    return NULL;
}

static char *print(cJSON *object) {
    char *text = cJSON_PrintUnformatted(object);
    cJSON_Delete(object);
    return text;
}

static const char *text_of(const cJSON *object, const char *name) {
    const cJSON *item = cJSON_GetObjectItemCaseSensitive(object, name);
    return cJSON_IsString(item) ? item->valuestring : NULL;
}

static double number_of(const cJSON *object, const char *name, double other) {
    const cJSON *item = cJSON_GetObjectItemCaseSensitive(object, name);
    return cJSON_IsNumber(item) ? item->valuedouble : other;
}

/* ---- the state service ---- */

struct row {
    char *text;
    long stamp, lease;
};
struct event {
    char *key, *text; /* text NULL: removed */
    long stamp;
};
struct lease {
    double ttl_s, renewed_at;
    int endpoint;
};
struct late_transaction {
    cJSON *transaction;
    double due;
};

static struct {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    GTree *rows; /* key -> struct row */
    GQueue events;
    GHashTable *leases; /* id -> struct lease */
    long epoch, next_lease;
    double requests, changes, refilled_at;
    long over_rate; /* requests that got 429 */
    bool refused[WORLD_CONTROLLERS_MAX], outage;
    double late_share, late_from_s, late_to_s, answer_delay_s;
    GPtrArray *late; /* struct late_transaction */
} state = {.lock = PTHREAD_MUTEX_INITIALIZER, .epoch = 1, .next_lease = 1, .answer_delay_s = 0.005};

static int compare_keys(gconstpointer left, gconstpointer right, gpointer data) {
    (void)data;
    return strcmp(left, right);
}

static void free_row(gpointer data) {
    struct row *row = data;
    g_free(row->text);
    g_free(row);
}

static void add_event(const char *key, const char *text) {
    struct event *event = g_new0(struct event, 1);
    *event = (struct event){g_strdup(key), g_strdup(text), state.epoch};
    g_queue_push_tail(&state.events, event);
    if (state.events.length > EVENTS_KEPT) {
        event = g_queue_pop_head(&state.events);
        g_free(event->key);
        g_free(event->text);
        g_free(event);
    }
}

static void set_row(const char *key, const char *text, long lease) {
    struct row *row = g_new0(struct row, 1);
    *row = (struct row){g_strdup(text), state.epoch, lease};
    g_tree_replace(state.rows, g_strdup(key), row);
    add_event(key, text);
}

static void remove_row(const char *key) {
    if (g_tree_remove(state.rows, key)) add_event(key, NULL);
}

static gboolean collect_lease_key(gpointer key, gpointer value, gpointer data) {
    void **search = data;
    if (((struct row *)value)->lease == *(long *)search[0]) g_ptr_array_add(search[1], g_strdup(key));
    return FALSE;
}

static void expire_lease(long id) {
    g_autoptr(GPtrArray) keys = g_ptr_array_new_with_free_func(g_free);
    void *search[] = {&id, keys};
    g_tree_foreach(state.rows, collect_lease_key, search);
    if (keys->len) state.epoch++;
    for (guint i = 0; i < keys->len; i++) {
        world_log("state: lease %ld ended, %s removed", id, (char *)keys->pdata[i]);
        remove_row(keys->pdata[i]);
    }
    pthread_cond_broadcast(&state.changed);
}

static int execute(const cJSON *transaction, cJSON *answer) {
    const cJSON *item;
    cJSON *failed = cJSON_CreateArray();
    cJSON_ArrayForEach(item, cJSON_GetObjectItem(transaction, "if")) {
        const char *key = text_of(item, "path");
        const struct row *row = key ? g_tree_lookup(state.rows, key) : NULL;
        if ((long)number_of(item, "stamp", 0) != (row ? row->stamp : 0))
            cJSON_AddItemToArray(failed, cJSON_CreateString(key));
    }
    if (cJSON_GetArraySize(failed) > 0) {
        cJSON_AddItemToObject(answer, "failed", failed);
        cJSON_AddNumberToObject(answer, "epoch", (double)state.epoch);
        return 409;
    }
    cJSON_Delete(failed);
    const cJSON *operations = cJSON_GetObjectItem(transaction, "then");
    cJSON_ArrayForEach(item, operations) {
        long lease = (long)number_of(item, "lease", 0);
        if (lease && !g_hash_table_contains(state.leases, GINT_TO_POINTER((int)lease))) {
            cJSON_AddStringToObject(answer, "error", "no such lease");
            return 400;
        }
    }
    if (cJSON_GetArraySize(operations) > 0) state.epoch++;
    cJSON_ArrayForEach(item, operations) {
        const char *key = text_of(item, "set");
        if (key) {
            char *text = cJSON_PrintUnformatted(cJSON_GetObjectItem(item, "data"));
            set_row(key, text, (long)number_of(item, "lease", 0));
            free(text);
        } else if (text_of(item, "remove")) {
            remove_row(text_of(item, "remove"));
        }
    }
    cJSON_AddNumberToObject(answer, "epoch", (double)state.epoch);
    if (cJSON_GetArraySize(operations) > 0) pthread_cond_broadcast(&state.changed);
    return 200;
}

static bool within_limits(const cJSON *transaction, size_t length) {
    const cJSON *item;
    int operations = cJSON_GetArraySize(cJSON_GetObjectItem(transaction, "then"));
    int conditions = cJSON_GetArraySize(cJSON_GetObjectItem(transaction, "if"));
    if (operations > cfg.txn_ops || conditions > 4 * cfg.txn_ops || length > 65536) return false;
    cJSON_ArrayForEach(item, cJSON_GetObjectItem(transaction, "then")) {
        char *text = cJSON_PrintUnformatted(cJSON_GetObjectItem(item, "data"));
        bool fits = !text || (double)strlen(text) <= cfg.value_kb * 1024;
        free(text);
        if (!fits) return false;
    }
    return true;
}

static void refill(void) {
    double now = net_now(), elapsed = now - state.refilled_at;
    state.refilled_at = now;
    state.requests = MIN(cfg.rps, state.requests + elapsed * cfg.rps);
    state.changes = MIN(cfg.write_rps, state.changes + elapsed * cfg.write_rps);
}

static bool take_request(void) {
    refill();
    if (state.requests < 1) return false;
    state.requests -= 1;
    return true;
}

/* Writes a page of the list: the keys with the prefix behind `since`. */
static char *list_page(const char *path) {
    enum { PAGE_BYTES = 500 * 1024 };
    g_autofree char *prefix = query(path, "prefix"), *since = query(path, "since"), *most_text = query(path, "most");
    int most = most_text ? CLAMP(atoi(most_text), 1, 1000) : 1000, n = 0;
    GString *text = g_string_sized_new(4096);
    GTreeNode *node = since && *since ? g_tree_upper_bound(state.rows, since) : g_tree_node_first(state.rows);
    g_string_assign(text, "{\"rows\":[");
    bool has_next = false;
    for (; node && !has_next; node = g_tree_node_next(node)) {
        const char *key = g_tree_node_key(node);
        const struct row *row = g_tree_node_value(node);
        if (prefix && !g_str_has_prefix(key, prefix)) continue;
        has_next = n >= most || text->len + strlen(row->text) + 300 > PAGE_BYTES;
        if (has_next) break;
        g_string_append_printf(text, "%s{\"path\":\"%s\",\"data\":%s,\"stamp\":%ld}", n++ ? "," : "", key, row->text,
                               row->stamp);
    }
    g_string_append_printf(text, "],\"has_next\":%s,\"epoch\":%ld}", has_next ? "true" : "false", state.epoch);
    return g_string_free(text, FALSE);
}

static int answer_watch(const char *path, cJSON *answer) {
    g_autofree char *prefix = query(path, "prefix"), *since_text = query(path, "since"),
                    *hold_text = query(path, "hold_ms");
    long since = since_text ? atol(since_text) : 0;
    double deadline = net_now() + (hold_text ? atof(hold_text) / 1000 : 0);
    for (;;) {
        const struct event *oldest = g_queue_peek_head(&state.events);
        if (state.events.length >= EVENTS_KEPT && oldest && oldest->stamp > since + 1) return 410;
        const struct event *newest = g_queue_peek_tail(&state.events);
        bool any = newest && newest->stamp > since;
        if (any || net_now() >= deadline) break;
        struct timespec until;
        clock_gettime(CLOCK_REALTIME, &until);
        until.tv_nsec += 20000000;
        if (until.tv_nsec >= 1000000000) {
            until.tv_nsec -= 1000000000;
            until.tv_sec++;
        }
        pthread_cond_timedwait(&state.changed, &state.lock, &until);
    }
    cJSON_AddNumberToObject(answer, "epoch", (double)state.epoch);
    cJSON *list = cJSON_AddArrayToObject(answer, "events");
    GList *link = state.events.tail;
    while (link && link->prev && ((struct event *)link->data)->stamp > since) link = link->prev;
    for (; link; link = link->next) {
        const struct event *event = link->data;
        if (event->stamp <= since || !g_str_has_prefix(event->key, prefix ? prefix : "")) continue;
        cJSON *item = cJSON_CreateObject();
        cJSON_AddStringToObject(item, event->text ? "set" : "remove", event->key);
        if (event->text) cJSON_AddItemToObject(item, "data", cJSON_CreateRaw(event->text));
        cJSON_AddNumberToObject(item, "stamp", (double)event->stamp);
        cJSON_AddItemToArray(list, item);
    }
    return 200;
}

/* Called with the lock held. */
static int answer_state(const struct net_request *request, cJSON *answer) {
    const char *path = request->path;
    if (!take_request()) return 429;
    if (strcmp(path, "/multi") == 0) {
        cJSON *transaction = cJSON_Parse(request->body);
        int operations = cJSON_GetArraySize(cJSON_GetObjectItem(transaction, "then")), status;
        if (!transaction || !within_limits(transaction, strlen(request->body))) {
            status = 400;
        } else if (state.changes < operations) {
            status = 429;
        } else if (operations > 0 && uniform(0, 1) < state.late_share) {
            struct late_transaction *late = g_new0(struct late_transaction, 1);
            *late = (struct late_transaction){cJSON_Duplicate(transaction, true),
                                              net_now() + uniform(state.late_from_s, state.late_to_s)};
            g_ptr_array_add(state.late, late);
            state.changes -= operations;
            status = -1;
        } else {
            state.changes -= operations;
            status = execute(transaction, answer);
        }
        cJSON_Delete(transaction);
        return status;
    }
    if (g_str_has_prefix(path, "/kv/")) {
        const struct row *row = g_tree_lookup(state.rows, path + 4);
        if (!row) {
            cJSON_AddNumberToObject(answer, "epoch", (double)state.epoch);
            return 404;
        }
        cJSON_AddStringToObject(answer, "path", path + 4);
        cJSON_AddItemToObject(answer, "data", cJSON_CreateRaw(row->text));
        cJSON_AddNumberToObject(answer, "stamp", (double)row->stamp);
        return 200;
    }
    if (strcmp(path, "/grants") == 0) {
        cJSON *body = cJSON_Parse(request->body);
        struct lease *lease = g_new0(struct lease, 1);
        *lease = (struct lease){number_of(body, "ttl_ms", 5000) / 1000, net_now(), request->endpoint};
        cJSON_Delete(body);
        g_hash_table_insert(state.leases, GINT_TO_POINTER((int)state.next_lease), lease);
        cJSON_AddNumberToObject(answer, "lease", (double)state.next_lease++);
        return 200;
    }
    if (g_str_has_prefix(path, "/grants/")) {
        long id = atol(path + 8);
        struct lease *lease = g_hash_table_lookup(state.leases, GINT_TO_POINTER((int)id));
        if (!lease) return 404;
        lease->renewed_at = net_now();
        return 200;
    }
    if (g_str_has_prefix(path, "/changes")) return answer_watch(path, answer);
    return 400;
}

static int on_state(const struct net_request *request, char **answer) {
    cJSON *object = cJSON_CreateObject();
    net_sleep(state.answer_delay_s);
    pthread_mutex_lock(&state.lock);
    int status = state.outage || state.refused[request->endpoint] ? 503 : 0;
    if (status == 0 && g_str_has_prefix(request->path, "/kv?")) {
        status = take_request() ? 200 : 429;
        if (status == 200) *answer = list_page(request->path);
    } else if (status == 0) {
        status = answer_state(request, object);
    }
    if (status == 429) state.over_rate++;
    /* a watch that was open when the outage began stays open */
    while (status == 200 && g_str_has_prefix(request->path, "/changes") &&
           (state.outage || state.refused[request->endpoint])) {
        pthread_mutex_unlock(&state.lock);
        net_sleep(0.02);
        pthread_mutex_lock(&state.lock);
    }
    pthread_mutex_unlock(&state.lock);
    if (status < 0) {
        cJSON_Delete(object);
        net_sleep(4); /* no answer */
        return 0;
    }
    if (strcmp(request->path, "/multi") == 0 && strstr(request->body, "\"then\""))
        world_log("state: controller %d %.600s -> %d", request->endpoint, request->body, status);
    if (*answer) {
        cJSON_Delete(object);
    } else {
        *answer = print(object);
    }
    return status;
}

static gboolean lease_is_over(gpointer id, gpointer value, gpointer data) {
    const struct lease *lease = value;
    if (net_now() - lease->renewed_at < lease->ttl_s) return FALSE;
    g_array_append_val((GArray *)data, id);
    return TRUE;
}

static void tick_state(void) {
    pthread_mutex_lock(&state.lock);
    if (!state.outage) {
        g_autoptr(GArray) ended = g_array_new(FALSE, FALSE, sizeof(gpointer));
        g_hash_table_foreach_remove(state.leases, lease_is_over, ended);
        for (guint i = 0; i < ended->len; i++) expire_lease(GPOINTER_TO_INT(g_array_index(ended, gpointer, i)));
    }
    for (guint i = 0; i < state.late->len && !state.outage; i++) {
        struct late_transaction *late = state.late->pdata[i];
        if (net_now() < late->due) continue;
        cJSON *answer = cJSON_CreateObject();
        int status = execute(late->transaction, answer);
        char *text = print(late->transaction);
        world_log("state: late %.600s -> %d", text, status);
        free(text);
        cJSON_Delete(answer);
        g_free(late);
        g_ptr_array_remove_index(state.late, i--);
    }
    pthread_mutex_unlock(&state.lock);
}

void world_state_refuse(int controller, bool refused) {
    pthread_mutex_lock(&state.lock);
    state.refused[controller] = refused;
    pthread_mutex_unlock(&state.lock);
    world_log("trouble: the state service %s controller %d", refused ? "refuses" : "serves", controller);
}

static void restart_lease(gpointer id, gpointer value, gpointer data) {
    (void)id;
    (void)data;
    ((struct lease *)value)->renewed_at = net_now();
}

void world_state_outage(bool outage) {
    pthread_mutex_lock(&state.lock);
    state.outage = outage;
    if (!outage) g_hash_table_foreach(state.leases, restart_lease, NULL);
    pthread_mutex_unlock(&state.lock);
    world_log("trouble: the state service is %s", outage ? "down" : "up");
}

void world_state_late_writes(double share, double from_s, double to_s) {
    pthread_mutex_lock(&state.lock);
    state.late_share = share;
    state.late_from_s = from_s;
    state.late_to_s = to_s;
    pthread_mutex_unlock(&state.lock);
    world_log("trouble: a share of %.2f of transactions is late", share);
}

void world_state_answer_delay(double seconds) { state.answer_delay_s = seconds; }

void world_state_put(const char *key, const char *value) {
    pthread_mutex_lock(&state.lock);
    state.epoch++;
    set_row(key, value, 0);
    pthread_mutex_unlock(&state.lock);
}

char *world_state_get(const char *key) {
    pthread_mutex_lock(&state.lock);
    const struct row *row = g_tree_lookup(state.rows, key);
    char *text = row ? strdup(row->text) : NULL;
    pthread_mutex_unlock(&state.lock);
    return text;
}

long world_state_epoch(void) { return state.epoch; }

long world_state_over_rate(void) { return state.over_rate; }

/* ---- jobs as the workers know them ---- */

struct known_job {
    struct world_job spec;
    int team, starts;
    double told_cancelled_at; /* < 0: not told */
    GHashTable *done;         /* set of task numbers whose result is kept */
    double progress_s;
};

enum task_state { FETCHING, GATHERING, RUNNING, FLUSHING, ENDED };
static const char *const task_states[] = {"fetching", "gathering", "running", "flushing", "ended"};

struct task {
    char name[NAME_BYTES];
    struct known_job *job;
    int number;
    int64_t attempt;
    enum task_state state;
    const char *cause;
    bool stored, present;
    double state_since, ends_at;
};

struct machine {
    char id[NAME_BYTES];
    int index, port, zone, listener;
    bool spot, up, gone, cut, hung, faulty;
    double rented_at, up_at, listed_at, gone_at;
    uint64_t tenure, seq, fence;
    double lease_from; /* when the last answered report was sent, or the session began */
    int controller;
    bool changed;
    double last_report, fence_changed_at;
    struct task tasks[TASKS_MAX];
    int n_tasks;
    char *images[8];
};

static struct {
    pthread_mutex_t lock;
    struct machine *machines[MACHINES_MAX];
    int n_machines;
    GHashTable *jobs, *claims;
    int starts, violations, refusals;
    double cloud_calls, cloud_refilled_at;
    double late_report_share, late_report_from_s, late_report_to_s;
    double late_command_share, late_command_from_s, late_command_to_s;
    bool ending;
} fleet = {.lock = PTHREAD_MUTEX_INITIALIZER};

static int controller_ports[WORLD_CONTROLLERS_MAX];

static void violation(const char *rule, const char *format, ...) __attribute__((format(printf, 2, 3)));
static void violation(const char *rule, const char *format, ...) {
    char text[256];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    fleet.violations++;
    world_log("RULE BROKEN %s: %s", rule, text);
}

static struct known_job *find_job(const char *uid) { return g_hash_table_lookup(fleet.jobs, uid); }

static int zone_tasks(const struct known_job *job, int zone, const struct task *except) {
    int n = 0;
    for (int i = 0; i < fleet.n_machines; i++) {
        const struct machine *machine = fleet.machines[i];
        for (int k = 0; k < machine->n_tasks; k++) {
            const struct task *task = &machine->tasks[k];
            if (task->job == job && task->present && task != except && (zone < 0 || machine->zone == zone)) n++;
        }
    }
    return n;
}

/* The task has its image: it is on the machine from now on. Checks the rules. */
static void check_start(struct machine *machine, struct task *task) {
    double vcpus = 0, gpus = 0;
    struct known_job *job = task->job;
    task->present = true;
    fleet.starts++;
    job->starts++;
    world_log("task %s try %" PRId64 " starts on %s in %s", task->name, task->attempt, machine->id,
              cfg.zones[machine->zone]);
    for (int i = 0; i < fleet.n_machines; i++) {
        struct machine *other = fleet.machines[i];
        for (int k = 0; k < other->n_tasks; k++) {
            struct task *held = &other->tasks[k];
            if (!held->present) continue;
            if (held != task && strcmp(held->name, task->name) == 0)
                violation("ran_twice", "%s is on %s and %s", task->name, machine->id, other->id);
            if (held->job->team == job->team) {
                vcpus += held->job->spec.vcpus;
                gpus += held->job->spec.gpus;
            }
        }
    }
    const struct world_team *team = &cfg.teams[job->team];
    if ((team->cpus_max > 0 && vcpus > team->cpus_max + 1e-6) || (team->gpus_max > 0 && gpus > team->gpus_max + 1e-6))
        violation("quota", "team %s uses %.1f CPUs and %.1f GPUs", team->name, vcpus, gpus);
    if ((job->spec.site && strcmp(job->spec.site, cfg.zones[machine->zone]) != 0) ||
        (machine->spot && !job->spec.reclaimable) ||
        (job->spec.together && zone_tasks(job, -1, task) != zone_tasks(job, machine->zone, task)) ||
        (job->spec.spread && zone_tasks(job, machine->zone, task) + 1 > (job->spec.tasks + 1) / 2))
        violation("wrong_place", "%s on %s in %s", task->name, machine->id, cfg.zones[machine->zone]);
    if (job->told_cancelled_at >= 0 && world_time() > job->told_cancelled_at + cfg.cancel_s)
        violation("ran_cancelled", "%s starts %.1f s after its user was told", task->name,
                  world_time() - job->told_cancelled_at);
    if (job->spec.prereqs) {
        cJSON *list = cJSON_Parse(job->spec.prereqs);
        const cJSON *item;
        cJSON_ArrayForEach(item, list) {
            const struct known_job *first = find_job(item->valuestring);
            if (!first || (int)g_hash_table_size(first->done) < first->spec.tasks)
                violation("too_early", "%s starts before %s is done", task->name, item->valuestring);
        }
        cJSON_Delete(list);
    }
}

static void end_task(struct machine *machine, struct task *task, const char *cause) {
    if (task->state == ENDED) return;
    world_log("task %s try %" PRId64 " ends on %s: %s", task->name, task->attempt, machine->id, cause);
    if (strcmp(cause, "done") == 0) g_hash_table_add(task->job->done, GINT_TO_POINTER(task->number + 1));
    task->state = ENDED;
    task->cause = cause;
    task->present = false;
    machine->changed = true;
}

static void lose_tasks(struct machine *machine, const char *why) {
    for (int i = 0; i < machine->n_tasks; i++)
        if (machine->tasks[i].state != ENDED)
            world_log("task %s try %" PRId64 " is killed on %s: %s", machine->tasks[i].name, machine->tasks[i].attempt,
                      machine->id, why);
    machine->n_tasks = 0;
}

static bool has_image(const struct machine *machine, const char *image) {
    for (int i = 0; i < 8; i++)
        if (machine->images[i] && strcmp(machine->images[i], image) == 0) return true;
    return false;
}

static void add_image(struct machine *machine, const char *image) {
    if (has_image(machine, image)) return;
    g_free(machine->images[7]);
    memmove(&machine->images[1], &machine->images[0], 7 * sizeof machine->images[0]);
    machine->images[0] = g_strdup(image);
}

static void start_running(struct machine *machine, struct task *task) {
    const struct world_job *spec = &task->job->spec;
    task->state = RUNNING;
    task->state_since = net_now();
    task->ends_at = strcmp(spec->shape, "standing") == 0 ? 1e18 : net_now() + spec->runtime_s;
    machine->changed = true;
}

static int count_gathering(const struct known_job *job, int64_t attempt) {
    int n = 0;
    for (int i = 0; i < fleet.n_machines; i++) {
        const struct machine *machine = fleet.machines[i];
        for (int k = 0; k < machine->n_tasks && !machine->hung; k++) {
            const struct task *task = &machine->tasks[k];
            n += task->job == job && task->attempt == attempt && task->state == GATHERING;
        }
    }
    return n;
}

static int count_live(const struct known_job *job, int64_t attempt) {
    int n = 0;
    for (int i = 0; i < fleet.n_machines; i++) {
        const struct machine *machine = fleet.machines[i];
        for (int k = 0; k < machine->n_tasks && !machine->hung; k++) {
            const struct task *task = &machine->tasks[k];
            n += task->job == job && task->attempt == attempt && (task->state == RUNNING || task->state == FLUSHING);
        }
    }
    return n;
}

static void start_gang(const struct known_job *job, int64_t attempt) {
    for (int i = 0; i < fleet.n_machines; i++) {
        struct machine *machine = fleet.machines[i];
        for (int k = 0; k < machine->n_tasks; k++) {
            struct task *task = &machine->tasks[k];
            if (task->job == job && task->attempt == attempt && task->state == GATHERING) start_running(machine, task);
        }
    }
}

static void complete_gang(const struct known_job *job, int64_t attempt) {
    for (int i = 0; i < fleet.n_machines; i++) {
        struct machine *machine = fleet.machines[i];
        for (int k = 0; k < machine->n_tasks; k++) {
            struct task *task = &machine->tasks[k];
            if (task->job == job && task->attempt == attempt && task->state == RUNNING) end_task(machine, task, "done");
        }
    }
}

static void tick_task(struct machine *machine, struct task *task) {
    struct known_job *job = task->job;
    const struct world_job *spec = &job->spec;
    bool gang = strcmp(spec->shape, "group") == 0;
    double now = net_now();
    if (task->state == FETCHING && now >= task->ends_at) {
        add_image(machine, spec->image);
        check_start(machine, task);
        if (g_hash_table_contains(job->done, GINT_TO_POINTER(task->number + 1))) {
            end_task(machine, task, "done");
        } else if (gang) {
            task->state = GATHERING;
            task->state_since = now;
            machine->changed = true;
            if (count_gathering(job, task->attempt) == spec->tasks) start_gang(job, task->attempt);
        } else {
            start_running(machine, task);
        }
    } else if (task->state == GATHERING && now - task->state_since > cfg.gang_wait_s) {
        end_task(machine, task, "incomplete");
    } else if (task->state == RUNNING && gang && count_live(job, task->attempt) < spec->tasks &&
               now - task->state_since > cfg.gang_peer_s) {
        end_task(machine, task, "peers");
    } else if (task->state == RUNNING && machine->faulty && now - task->state_since > 2) {
        end_task(machine, task, "error");
    } else if (task->state == RUNNING && now >= task->ends_at) {
        if (gang) {
            complete_gang(job, task->attempt);
        } else {
            end_task(machine, task, "done");
        }
    } else if (task->state == FLUSHING && now >= task->ends_at) {
        task->stored = true;
        end_task(machine, task, "stopped");
    }
    if (task->present && job->told_cancelled_at >= 0 && world_time() > job->told_cancelled_at + cfg.cancel_s + 0.2) {
        violation("ran_cancelled", "%s is on %s %.1f s after its user was told", task->name, machine->id,
                  world_time() - job->told_cancelled_at);
        job->told_cancelled_at = 1e9; /* once */
    }
}

/* ---- workers ---- */

static char *report_text(struct machine *machine) {
    cJSON *report = cJSON_CreateObject();
    char address[32], number[32];
    snprintf(address, sizeof address, "127.0.0.1:%d", machine->port);
    cJSON_AddStringToObject(report, "host", machine->id);
    cJSON_AddStringToObject(report, "address", address);
    cJSON_AddStringToObject(report, "flavour", cfg.sku);
    cJSON_AddStringToObject(report, "site", cfg.zones[machine->zone]);
    cJSON_AddBoolToObject(report, "reclaimable", machine->spot);
    snprintf(number, sizeof number, "%" PRIu64, machine->tenure);
    cJSON_AddRawToObject(report, "tenure", number);
    snprintf(number, sizeof number, "%" PRIu64, machine->seq++);
    cJSON_AddRawToObject(report, "seq", number);
    snprintf(number, sizeof number, "%" PRIu64, machine->fence);
    cJSON_AddRawToObject(report, "fence", number);
    cJSON_AddNullToObject(report, "warning_s");
    cJSON *tasks = cJSON_AddArrayToObject(report, "tasks");
    for (int i = 0; i < machine->n_tasks; i++) {
        const struct task *task = &machine->tasks[i];
        cJSON *item = cJSON_CreateObject();
        cJSON_AddStringToObject(item, "task", task->name);
        snprintf(number, sizeof number, "%" PRId64, task->attempt);
        cJSON_AddRawToObject(item, "try", number);
        cJSON_AddStringToObject(item, "state", task_states[task->state]);
        if (task->state == ENDED) cJSON_AddStringToObject(item, "cause", task->cause);
        if (task->stored) cJSON_AddBoolToObject(item, "stored", true);
        cJSON_AddItemToArray(tasks, item);
    }
    return print(report);
}

static void run_order(struct machine *machine, const char *name, int64_t attempt) {
    const char *slash = strrchr(name, '/');
    struct task *task;
    for (int i = 0; i < machine->n_tasks; i++)
        if (machine->tasks[i].attempt == attempt && strcmp(machine->tasks[i].name, name) == 0) return;
    if (!slash || machine->n_tasks == TASKS_MAX) return;
    g_autofree char *uid = g_strndup(name, (gsize)(slash - name));
    struct known_job *job = find_job(uid);
    if (!job) return;
    double vcpus = job->spec.vcpus, gpus = job->spec.gpus, memory = job->spec.memory_gb;
    bool busy = false;
    for (int i = 0; i < machine->n_tasks; i++) {
        if (machine->tasks[i].state == ENDED) continue;
        busy |= strcmp(machine->tasks[i].name, name) == 0;
        vcpus += machine->tasks[i].job->spec.vcpus;
        gpus += machine->tasks[i].job->spec.gpus;
        memory += machine->tasks[i].job->spec.memory_gb;
    }
    task = &machine->tasks[machine->n_tasks++];
    *task = (struct task){.job = job, .number = atoi(slash + 1), .attempt = attempt, .state_since = net_now()};
    g_strlcpy(task->name, name, sizeof task->name);
    machine->changed = true;
    if (busy || vcpus > cfg.vcpus + 1e-6 || gpus > cfg.gpus + 1e-6 || memory > cfg.memory_gb + 1e-6) {
        task->state = ENDED;
        task->cause = busy ? "busy" : "no_room";
        world_log("task %s try %" PRId64 " is refused by %s: %s", name, attempt, machine->id, task->cause);
        return;
    }
    double fetch_s = has_image(machine, job->spec.image) ? 0 : job->spec.pull_gb / cfg.fetch_gb_per_s;
    task->ends_at = net_now() + fetch_s;
    world_log("task %s try %" PRId64 " is ordered on %s in %s", name, attempt, machine->id, cfg.zones[machine->zone]);
}

static void execute_orders(struct machine *machine, const cJSON *orders) {
    const cJSON *order;
    cJSON_ArrayForEach(order, orders) {
        const char *verb = text_of(order, "verb"), *name = text_of(order, "task");
        int64_t attempt = (int64_t)number_of(order, "try", 0);
        if (!verb || !name) continue;
        if (strcmp(verb, "run") == 0) run_order(machine, name, attempt);
        for (int i = 0; i < machine->n_tasks; i++) {
            struct task *task = &machine->tasks[i];
            if (task->attempt != attempt || strcmp(task->name, name) != 0) continue;
            if (strcmp(verb, "forget") == 0 && task->state == ENDED) {
                memmove(task, task + 1, (size_t)(machine->n_tasks - i - 1) * sizeof *task);
                machine->n_tasks--;
                break;
            }
            if (strcmp(verb, "stop") != 0 || task->state == ENDED) continue;
            const struct world_job *spec = &task->job->spec;
            double grace_s = number_of(order, "grace_s", 0);
            if (task->state == RUNNING && spec->checkpoint_s > 0 && grace_s >= spec->flush_s) {
                task->state = FLUSHING;
                task->ends_at = net_now() + spec->flush_s;
                machine->changed = true;
            } else if (task->state != FLUSHING || grace_s <= 0) {
                end_task(machine, task, "stopped");
            }
        }
    }
}

static bool read_u64(const cJSON *object, const char *name, uint64_t *value) {
    const cJSON *item = cJSON_GetObjectItemCaseSensitive(object, name);
    if (!cJSON_IsNumber(item) || item->valuedouble < 0) return false;
    *value = (uint64_t)item->valuedouble;
    return true;
}

static void see_fence(struct machine *machine, uint64_t fence) {
    if (fence <= machine->fence) return;
    machine->fence = fence;
    if (net_now() - machine->fence_changed_at > cfg.lease_s / 2) {
        machine->fence_changed_at = net_now();
        machine->changed = true;
    }
}

static int run_command(struct machine *machine, const char *body) {
    cJSON *command = cJSON_Parse(body);
    uint64_t fence = 0, tenure = 0;
    int status = 409;
    if (!read_u64(command, "fence", &fence) || !read_u64(command, "tenure", &tenure)) {
        status = 400;
    } else if (fence >= machine->fence && tenure == machine->tenure) {
        see_fence(machine, fence);
        execute_orders(machine, cJSON_GetObjectItem(command, "orders"));
        status = 200;
    }
    cJSON_Delete(command);
    return status;
}

struct late_command {
    struct machine *machine;
    char *body;
    double delay_s;
};

static void *late_command_main(void *arg) {
    struct late_command *late = arg;
    net_sleep(late->delay_s);
    pthread_mutex_lock(&fleet.lock);
    if (!late->machine->gone && late->machine->up) {
        int status = run_command(late->machine, late->body);
        world_log("command to %s arrives late: %s -> %d", late->machine->id, late->body, status);
    }
    pthread_mutex_unlock(&fleet.lock);
    free(late->body);
    free(late);
    return NULL;
}

static void start_thread(void *(*function)(void *), void *arg) {
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, 256 * 1024);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_create(&thread, &attributes, function, arg);
    pthread_attr_destroy(&attributes);
}

static int on_worker(const struct net_request *request, char **answer) {
    struct machine *machine = fleet.machines[request->endpoint];
    pthread_mutex_lock(&fleet.lock);
    while ((machine->cut || machine->hung) && !machine->gone) { /* silent */
        pthread_mutex_unlock(&fleet.lock);
        net_sleep(0.2);
        pthread_mutex_lock(&fleet.lock);
        if (!machine->hung && machine->cut) continue;
    }
    int status = 0;
    if (machine->up && !machine->gone) {
        if (strcmp(request->path, "/inspect") == 0) {
            status = 200;
        } else if (strcmp(request->path, "/commands") == 0) {
            if (uniform(0, 1) < fleet.late_command_share) {
                struct late_command *late = malloc(sizeof *late);
                *late = (struct late_command){machine, strdup(request->body),
                                              uniform(fleet.late_command_from_s, fleet.late_command_to_s)};
                start_thread(late_command_main, late);
                pthread_mutex_unlock(&fleet.lock);
                net_sleep(4);
                return 0;
            }
            status = run_command(machine, request->body);
        } else {
            status = 404;
        }
        *answer = report_text(machine);
    }
    pthread_mutex_unlock(&fleet.lock);
    return status;
}

struct late_report {
    char *body;
    double delay_s;
};

static void *late_report_main(void *arg) {
    struct late_report *late = arg;
    net_sleep(late->delay_s);
    for (int i = 0; i < cfg.controllers; i++) {
        int status = net_call(controller_ports[i], "POST", "/checkin", late->body, 2, NULL);
        world_log("late report to controller %d: %.120s -> %d", i, late->body, status);
    }
    free(late->body);
    free(late);
    return NULL;
}

static void send_report(struct machine *machine) {
    /* called without the lock */
    pthread_mutex_lock(&fleet.lock);
    char *body = report_text(machine);
    uint64_t tenure = machine->tenure;
    int controller = machine->controller, status = 0;
    double sent_at = net_now();
    bool cut = machine->cut;
    machine->changed = false;
    machine->last_report = sent_at;
    if (!cut && uniform(0, 1) < fleet.late_report_share) {
        struct late_report *late = malloc(sizeof *late);
        *late = (struct late_report){strdup(body), uniform(fleet.late_report_from_s, fleet.late_report_to_s)};
        start_thread(late_report_main, late);
    }
    pthread_mutex_unlock(&fleet.lock);
    char *text = NULL;
    if (!cut) {
        status = net_call(controller_ports[controller], "POST", "/checkin", body, 4, &text);
    } else {
        net_sleep(4);
    }
    free(body);
    pthread_mutex_lock(&fleet.lock);
    cJSON *answer = cJSON_Parse(text ? text : "");
    if (machine->cut || machine->hung) status = 0;
    if (status == 200) {
        uint64_t fence;
        if (tenure == machine->tenure && read_u64(answer, "fence", &fence) && fence >= machine->fence) {
            machine->lease_from = sent_at;
            see_fence(machine, fence);
            execute_orders(machine, cJSON_GetObjectItem(answer, "orders"));
        }
    } else {
        const char *master = status == 421 ? text_of(answer, "master") : NULL;
        int next = -1;
        for (int i = 0; master && i < cfg.controllers; i++) {
            char name[16];
            snprintf(name, sizeof name, "host-%d", i);
            if (strcmp(master, name) == 0 && i != controller) next = i;
        }
        if (next >= 0) {
            machine->controller = next;
        } else {
            machine->controller = (controller + 1) % cfg.controllers;
            machine->last_report = net_now() - cfg.report_s; /* in 1 s */
        }
        if (!machine->gone) {
            pthread_mutex_unlock(&fleet.lock);
            net_sleep(next >= 0 ? 0.1 : 1);
            pthread_mutex_lock(&fleet.lock);
        }
        machine->changed = true;
    }
    cJSON_Delete(answer);
    pthread_mutex_unlock(&fleet.lock);
    free(text);
}

static void *worker_main(void *arg) {
    struct machine *machine = arg;
    double next = 0;
    for (;;) {
        net_sleep(0.05);
        pthread_mutex_lock(&fleet.lock);
        bool gone = machine->gone || fleet.ending, up = machine->up, hung = machine->hung;
        double now = net_now();
        bool due = now >= next || (machine->changed && now - machine->last_report >= 0.5);
        pthread_mutex_unlock(&fleet.lock);
        if (gone) return NULL;
        if (!up || hung || !due) continue;
        next = now + cfg.report_s * uniform(0.75, 1.25);
        send_report(machine);
    }
}

static void tick_machine(struct machine *machine) {
    double now = net_now();
    if (machine->gone) return;
    if (!machine->up) {
        if (now < machine->up_at) return;
        machine->up = true;
        machine->lease_from = now;
        world_log("machine %s is up", machine->id);
        start_thread(worker_main, machine);
    }
    if (machine->hung) return;
    if (now - machine->lease_from > cfg.lease_s) {
        lose_tasks(machine, "its lease ended");
        machine->tenure++;
        machine->lease_from = now;
        machine->changed = true;
    }
    for (int i = 0; i < machine->n_tasks; i++) tick_task(machine, &machine->tasks[i]);
}

static void *tick_main(void *arg) {
    (void)arg;
    for (;;) {
        tick_state();
        pthread_mutex_lock(&fleet.lock);
        for (int i = 0; i < fleet.n_machines && !fleet.ending; i++) tick_machine(fleet.machines[i]);
        pthread_mutex_unlock(&fleet.lock);
        net_sleep(0.05);
    }
    return NULL;
}

/* ---- the cloud ---- */

static int count_rented(int zone, bool spot) {
    int n = 0;
    for (int i = 0; i < fleet.n_machines; i++) {
        const struct machine *machine = fleet.machines[i];
        n += !machine->gone && machine->zone == zone && machine->spot == spot;
    }
    return n;
}

/* The machine's port is bound now and refuses to answer until the machine is up. */
static struct machine *add_machine(int zone, bool spot, double rented_at) {
    struct machine *machine = g_new0(struct machine, 1);
    machine->index = fleet.n_machines;
    snprintf(machine->id, sizeof machine->id, "i-%06d", fleet.n_machines + 1);
    machine->zone = zone;
    machine->spot = spot;
    machine->tenure = 1;
    machine->seq = cfg.first_seq;
    machine->rented_at = rented_at;
    machine->up_at = rented_at + cfg.startup_s * (0.7 + 0.1 * (machine->index % 6)); /* 0.6 to 1.5 is usual */
    machine->listed_at = rented_at + cfg.list_lag_s;
    machine->controller = (int)g_random_int_range(0, cfg.controllers);
    fleet.machines[fleet.n_machines++] = machine;
    do {
        machine->port = net_free_port();
        machine->listener = net_serve(machine->port, machine->index, on_worker);
    } while (machine->listener < 0);
    return machine;
}

static int rent(const cJSON *body, cJSON *answer) {
    const char *claim = text_of(body, "claim"), *site = text_of(body, "site"), *sku = text_of(body, "flavour");
    int wanted = (int)number_of(body, "how_many", 0), zone = -1;
    bool spot = cJSON_IsTrue(cJSON_GetObjectItem(body, "reclaimable"));
    for (int i = 0; site && i < cfg.n_zones; i++)
        if (strcmp(cfg.zones[i], site) == 0) zone = i;
    if (!claim || zone < 0 || !sku || strcmp(sku, cfg.sku) != 0 || wanted < 1 || wanted > 50) return 400;
    const char *earlier = g_hash_table_lookup(fleet.claims, claim);
    if (earlier) {
        cJSON_AddItemToObject(answer, "hosts", cJSON_Parse(earlier));
        return 200;
    }
    int room = (spot ? cfg.spot[zone] : cfg.ordinary[zone]) - count_rented(zone, spot);
    if (room <= 0 || fleet.n_machines + wanted > MACHINES_MAX) {
        fleet.refusals++;
        cJSON_AddStringToObject(answer, "error", "no capacity");
        return 503;
    }
    cJSON *hosts = cJSON_AddArrayToObject(answer, "hosts");
    for (int i = 0; i < MIN(room, wanted); i++) {
        const struct machine *machine = add_machine(zone, spot, net_now());
        cJSON_AddItemToArray(hosts, cJSON_CreateString(machine->id));
    }
    char *text = cJSON_PrintUnformatted(hosts);
    g_hash_table_insert(fleet.claims, g_strdup(claim), g_strdup(text));
    free(text);
    return 200;
}

static void take_machine(struct machine *machine, const char *why) {
    if (machine->gone) return;
    lose_tasks(machine, why);
    machine->gone = true;
    machine->gone_at = net_now();
    if (machine->listener >= 0) shutdown(machine->listener, SHUT_RDWR);
}

static int return_hosts(const cJSON *body) {
    const cJSON *host;
    if (cJSON_GetArraySize(cJSON_GetObjectItem(body, "hosts")) > 100) return 400;
    cJSON_ArrayForEach(host, cJSON_GetObjectItem(body, "hosts")) {
        for (int i = 0; i < fleet.n_machines; i++)
            if (cJSON_IsString(host) && strcmp(fleet.machines[i]->id, host->valuestring) == 0)
                take_machine(fleet.machines[i], "the machine was returned");
    }
    return 200;
}

static int list_hosts(const char *path, cJSON *answer) {
    g_autofree char *since = query(path, "since"), *most_text = query(path, "most");
    int most = most_text ? CLAMP(atoi(most_text), 1, 500) : 500, n = 0;
    bool has_next = false;
    double now = net_now();
    cJSON *hosts = cJSON_AddArrayToObject(answer, "hosts");
    for (int i = 0; i < fleet.n_machines; i++) {
        const struct machine *machine = fleet.machines[i];
        if (now < machine->listed_at || (machine->gone && now > machine->gone_at + cfg.list_lag_s)) continue;
        if (since && strcmp(machine->id, since) <= 0) continue;
        if (n == most) {
            has_next = true;
            break;
        }
        cJSON *item = cJSON_CreateObject();
        char address[32];
        snprintf(address, sizeof address, "127.0.0.1:%d", machine->port);
        cJSON_AddStringToObject(item, "uid", machine->id);
        cJSON_AddStringToObject(item, "address", address);
        cJSON_AddStringToObject(item, "flavour", cfg.sku);
        cJSON_AddStringToObject(item, "site", cfg.zones[machine->zone]);
        cJSON_AddBoolToObject(item, "reclaimable", machine->spot);
        cJSON_AddStringToObject(item, "state",
                                machine->up && now > machine->up_at + cfg.list_lag_s ? "running" : "booting");
        cJSON_AddNumberToObject(item, "age_s", now - cfg.list_lag_s - machine->rented_at);
        cJSON_AddItemToArray(hosts, item);
        n++;
    }
    cJSON_AddBoolToObject(answer, "has_next", has_next);
    return 200;
}

static int list_flavours(cJSON *answer) {
    cJSON *list = cJSON_AddArrayToObject(answer, "flavours"), *item = cJSON_CreateObject();
    cJSON_AddStringToObject(item, "sku", cfg.sku);
    cJSON_AddNumberToObject(item, "vcpus", cfg.vcpus);
    cJSON_AddNumberToObject(item, "gpus", cfg.gpus);
    cJSON_AddNumberToObject(item, "memory_gb", cfg.memory_gb);
    cJSON_AddNumberToObject(item, "local_gb", cfg.local_gb);
    cJSON_AddNumberToObject(item, "fetch_gb_per_s", cfg.fetch_gb_per_s);
    cJSON_AddNumberToObject(item, "hourly", cfg.hourly);
    cJSON_AddNumberToObject(item, "market_price", cfg.market_price);
    cJSON_AddNumberToObject(item, "startup_s", cfg.startup_s);
    cJSON *sites = cJSON_AddArrayToObject(item, "sites");
    for (int i = 0; i < cfg.n_zones; i++) cJSON_AddItemToArray(sites, cJSON_CreateString(cfg.zones[i]));
    cJSON_AddItemToArray(list, item);
    return 200;
}

static int on_cloud(const struct net_request *request, char **answer) {
    cJSON *body = cJSON_Parse(request->body), *object = cJSON_CreateObject();
    int status = 404;
    pthread_mutex_lock(&fleet.lock);
    double now = net_now();
    fleet.cloud_calls = MIN(2 * cfg.cloud_rps, fleet.cloud_calls + (now - fleet.cloud_refilled_at) * cfg.cloud_rps);
    fleet.cloud_refilled_at = now;
    if (fleet.cloud_calls < 1) {
        status = 429;
    } else {
        fleet.cloud_calls -= 1;
        if (strcmp(request->path, "/flavors") == 0) status = list_flavours(object);
        if (strcmp(request->path, "/rentals") == 0) status = rent(body, object);
        if (strcmp(request->path, "/rentals/return") == 0) status = return_hosts(body);
        if (g_str_has_prefix(request->path, "/rentals?")) status = list_hosts(request->path, object);
    }
    pthread_mutex_unlock(&fleet.lock);
    *answer = print(object);
    if (strcmp(request->method, "POST") == 0)
        world_log("cloud: %s %s -> %d %s", request->path, request->body, status, *answer);
    cJSON_Delete(body);
    return status;
}

void world_cloud_capacity(int zone, int ordinary, int spot) {
    pthread_mutex_lock(&fleet.lock);
    cfg.ordinary[zone] = ordinary;
    cfg.spot[zone] = spot;
    pthread_mutex_unlock(&fleet.lock);
    world_log("cloud: %s has %d ordinary and %d spot machines", cfg.zones[zone], ordinary, spot);
}

int world_cloud_refusals(void) { return fleet.refusals; }

int world_machines_rented(int zone) {
    int n = 0;
    pthread_mutex_lock(&fleet.lock);
    for (int i = 0; i < fleet.n_machines; i++) n += zone < 0 || fleet.machines[i]->zone == zone;
    pthread_mutex_unlock(&fleet.lock);
    return n;
}

int world_machines_held(void) {
    int n = 0;
    pthread_mutex_lock(&fleet.lock);
    for (int i = 0; i < fleet.n_machines; i++) n += !fleet.machines[i]->gone;
    pthread_mutex_unlock(&fleet.lock);
    return n;
}

int world_machines_up(int zone, bool spot) {
    int n = 0;
    pthread_mutex_lock(&fleet.lock);
    for (int i = 0; i < fleet.n_machines; i++) {
        const struct machine *machine = fleet.machines[i];
        n += machine->up && !machine->gone && machine->spot == spot && (zone < 0 || machine->zone == zone);
    }
    pthread_mutex_unlock(&fleet.lock);
    return n;
}

void world_machine_cut(int zone, bool cut) {
    pthread_mutex_lock(&fleet.lock);
    for (int i = 0; i < fleet.n_machines; i++)
        if (zone < 0 || fleet.machines[i]->zone == zone) fleet.machines[i]->cut = cut;
    pthread_mutex_unlock(&fleet.lock);
    world_log("trouble: machines of %s are %s", zone < 0 ? "all zones" : cfg.zones[zone], cut ? "cut off" : "back");
}

void world_machines_hang(const char *uid, bool hang) {
    pthread_mutex_lock(&fleet.lock);
    for (int i = 0; i < fleet.n_machines; i++) {
        struct machine *machine = fleet.machines[i];
        for (int k = 0; k < machine->n_tasks; k++)
            if (strcmp(machine->tasks[k].job->spec.uid, uid) == 0 && machine->hung != hang) {
                machine->hung = hang;
                world_log("trouble: machine %s %s", machine->id, hang ? "hangs" : "goes on");
            }
    }
    pthread_mutex_unlock(&fleet.lock);
}

void world_machines_turn_faulty(void) {
    pthread_mutex_lock(&fleet.lock);
    for (int i = 0; i < fleet.n_machines; i++) {
        if (fleet.machines[i]->gone) continue;
        fleet.machines[i]->faulty = true;
        world_log("trouble: machine %s is faulty from now on", fleet.machines[i]->id);
    }
    pthread_mutex_unlock(&fleet.lock);
}

void world_late_reports(double share, double from_s, double to_s) {
    fleet.late_report_share = share;
    fleet.late_report_from_s = from_s;
    fleet.late_report_to_s = to_s;
}

void world_late_commands(double share, double from_s, double to_s) {
    fleet.late_command_share = share;
    fleet.late_command_from_s = from_s;
    fleet.late_command_to_s = to_s;
}

/* ---- tasks ---- */

int world_starts(const char *uid) {
    pthread_mutex_lock(&fleet.lock);
    const struct known_job *job = uid ? find_job(uid) : NULL;
    int starts = !uid ? fleet.starts : job ? job->starts : 0;
    pthread_mutex_unlock(&fleet.lock);
    return starts;
}

int world_running_in(const char *uid, int zone) {
    pthread_mutex_lock(&fleet.lock);
    const struct known_job *job = find_job(uid);
    int n = job ? zone_tasks(job, zone, NULL) : 0;
    pthread_mutex_unlock(&fleet.lock);
    return n;
}

int world_running(const char *uid) { return world_running_in(uid, -1); }

int world_violations(void) { return fleet.violations; }

void world_told_cancelled(const char *uid) {
    pthread_mutex_lock(&fleet.lock);
    struct known_job *job = find_job(uid);
    if (job && job->told_cancelled_at < 0) job->told_cancelled_at = world_time();
    pthread_mutex_unlock(&fleet.lock);
}

/* ---- users ---- */

void world_know(const struct world_job *spec) {
    pthread_mutex_lock(&fleet.lock);
    if (!find_job(spec->uid)) {
        struct known_job *job = g_new0(struct known_job, 1);
        job->spec = *spec;
        job->spec.uid = g_strdup(spec->uid);
        job->spec.image = g_strdup(spec->image ? spec->image : "img-00");
        job->spec.prereqs = g_strdup(spec->prereqs);
        job->told_cancelled_at = -1;
        job->done = g_hash_table_new(NULL, NULL);
        for (int i = 0; i < cfg.n_teams; i++)
            if (strcmp(cfg.teams[i].name, spec->owner) == 0) job->team = i;
        g_hash_table_insert(fleet.jobs, (char *)job->spec.uid, job);
    }
    pthread_mutex_unlock(&fleet.lock);
}

int world_submit_at(int controller, const struct world_job *job) {
    cJSON *body = cJSON_CreateObject();
    world_know(job);
    cJSON_AddStringToObject(body, "uid", job->uid);
    cJSON_AddStringToObject(body, "jobclass", job->jobclass);
    cJSON_AddStringToObject(body, "owner", job->owner);
    cJSON_AddStringToObject(body, "shape", job->shape);
    cJSON_AddStringToObject(body, "rank", job->rank);
    cJSON_AddNumberToObject(body, "tasks", job->tasks);
    cJSON_AddNumberToObject(body, "vcpus", job->vcpus);
    cJSON_AddNumberToObject(body, "gpus", job->gpus);
    cJSON_AddNumberToObject(body, "memory_gb", job->memory_gb);
    cJSON_AddStringToObject(body, "image", job->image ? job->image : "img-00");
    cJSON_AddNumberToObject(body, "pull_gb", job->pull_gb);
    if (job->site) cJSON_AddStringToObject(body, "site", job->site);
    cJSON_AddBoolToObject(body, "together", job->together);
    cJSON_AddBoolToObject(body, "spread", job->spread);
    cJSON_AddBoolToObject(body, "reclaimable", job->reclaimable);
    cJSON_AddNumberToObject(body, "runtime_s", job->runtime_s);
    cJSON_AddNumberToObject(body, "checkpoint_s", job->checkpoint_s);
    cJSON_AddNumberToObject(body, "flush_s", job->flush_s);
    if (job->due_s > 0) cJSON_AddNumberToObject(body, "due_s", job->due_s);
    if (job->prereqs) cJSON_AddRawToObject(body, "prereqs", job->prereqs);
    char *text = print(body), *answer = NULL;
    int status = net_call(controller_ports[controller], "POST", "/work", text, 5, &answer);
    world_log("user: POST /work at controller %d: %s -> %d %s", controller, text, status, answer ? answer : "");
    free(text);
    free(answer);
    return status;
}

int world_submit(const struct world_job *job) {
    double first = net_now();
    int status = 0;
    for (int i = 0; net_now() - first < 60; i++) {
        status = world_submit_at(i % cfg.controllers, job);
        if (status == 200 || status == 201 || status == 400 || status == 422) break;
        net_sleep(1);
    }
    return status;
}

static int ask(int controller, const char *method, const char *path, char state_name[16]) {
    char *answer = NULL;
    int status =
        net_call(controller_ports[controller], method, path, strcmp(method, "POST") == 0 ? "{}" : NULL, 2, &answer);
    cJSON *object = cJSON_Parse(answer ? answer : "");
    g_strlcpy(state_name, text_of(object, "state") ? text_of(object, "state") : "", 16);
    world_log("user: %s %s at controller %d -> %d %s", method, path, controller, status, answer ? answer : "");
    cJSON_Delete(object);
    free(answer);
    return status;
}

int world_poll_at(int controller, const char *uid, char state_name[16]) {
    char path[NAME_BYTES + 16];
    snprintf(path, sizeof path, "/work/%s", uid);
    return ask(controller, "GET", path, state_name);
}

int world_cancel_at(int controller, const char *uid, char state_name[16]) {
    char path[NAME_BYTES + 16];
    snprintf(path, sizeof path, "/work/%s/cancel", uid);
    int status = ask(controller, "POST", path, state_name);
    if (status == 200 && strcmp(state_name, "cancelled") == 0) world_told_cancelled(uid);
    return status;
}

/* ---- the platform ---- */

static struct {
    pid_t pid;
    int peer_port, state_port;
    char settings[600];
} controllers[WORLD_CONTROLLERS_MAX];

static int compare_names(const void *left, const void *right) {
    return strcmp(*(const char *const *)left, *(const char *const *)right);
}

static void write_settings(int index, int cloud_port) {
    cJSON *root = cJSON_CreateObject(), *list, *object;
    char text[64];
    snprintf(text, sizeof text, "host-%d", index);
    cJSON_AddStringToObject(root, "node", text);
    cJSON_AddStringToObject(root, "area", cfg.zones[index % cfg.n_zones]);
    snprintf(text, sizeof text, "127.0.0.1:%d", controller_ports[index]);
    cJSON_AddStringToObject(root, "bind", text);
    snprintf(text, sizeof text, "127.0.0.1:%d", controllers[index].peer_port);
    cJSON_AddStringToObject(root, "cluster_listen", text);
    list = cJSON_AddArrayToObject(root, "seeds");
    for (int i = 0; i < cfg.controllers; i++) {
        if (i == index) continue;
        object = cJSON_CreateObject();
        snprintf(text, sizeof text, "host-%d", i);
        cJSON_AddStringToObject(object, "node", text);
        cJSON_AddStringToObject(object, "area", cfg.zones[i % cfg.n_zones]);
        snprintf(text, sizeof text, "127.0.0.1:%d", controllers[i].peer_port);
        cJSON_AddStringToObject(object, "address", text);
        cJSON_AddItemToArray(list, object);
    }
    object = cJSON_AddObjectToObject(root, "services");
    snprintf(text, sizeof text, "127.0.0.1:%d", cloud_port);
    cJSON_AddStringToObject(object, "cloud", text);
    snprintf(text, sizeof text, "127.0.0.1:%d", controllers[index].state_port);
    cJSON_AddStringToObject(object, "state", text);
    cJSON *settings = cJSON_AddObjectToObject(root, "settings");
    cJSON_AddNumberToObject(settings, "size", cfg.controllers);
    list = cJSON_AddArrayToObject(settings, "zones");
    const char *sorted[WORLD_ZONES_MAX];
    memcpy(sorted, cfg.zones, sizeof sorted);
    qsort(sorted, (size_t)cfg.n_zones, sizeof *sorted, compare_names);
    for (int i = 0; i < cfg.n_zones; i++) cJSON_AddItemToArray(list, cJSON_CreateString(sorted[i]));
    list = cJSON_AddArrayToObject(settings, "teams");
    for (int i = 0; i < cfg.n_teams; i++) {
        object = cJSON_CreateObject();
        cJSON_AddStringToObject(object, "name", cfg.teams[i].name);
        cJSON_AddNumberToObject(object, "cpus", cfg.teams[i].cpus);
        cJSON_AddNumberToObject(object, "cpus_max", cfg.teams[i].cpus_max);
        cJSON_AddNumberToObject(object, "gpus", cfg.teams[i].gpus);
        cJSON_AddNumberToObject(object, "gpus_max", cfg.teams[i].gpus_max);
        cJSON_AddItemToArray(list, object);
    }
    cJSON_AddRawToObject(settings, "objectives", cfg.objectives);
    object = cJSON_AddObjectToObject(settings, "workers");
    cJSON_AddNumberToObject(object, "report_s", cfg.report_s);
    cJSON_AddNumberToObject(object, "lease_s", cfg.lease_s);
    cJSON_AddNumberToObject(object, "gang_wait_s", cfg.gang_wait_s);
    cJSON_AddNumberToObject(object, "gang_peer_s", cfg.gang_peer_s);
    cJSON_AddNumberToObject(object, "cancel_s", cfg.cancel_s);
    object = cJSON_AddObjectToObject(settings, "state");
    cJSON_AddNumberToObject(object, "rps", cfg.rps);
    cJSON_AddNumberToObject(object, "write_rps", cfg.write_rps);
    cJSON_AddNumberToObject(object, "value_kb", cfg.value_kb);
    cJSON_AddNumberToObject(object, "txn_ops", cfg.txn_ops);
    object = cJSON_AddObjectToObject(settings, "cloud");
    cJSON_AddNumberToObject(object, "rps", cfg.cloud_rps);
    cJSON_AddNumberToObject(object, "list_lag_s", cfg.list_lag_s);
    object = cJSON_AddObjectToObject(settings, "machine_limits");
    cJSON_AddNumberToObject(object, "cores", cfg.cores);
    cJSON_AddNumberToObject(object, "mem_mb", cfg.mem_mb);
    cJSON_AddNumberToObject(object, "sockets", cfg.sockets);
    cJSON_AddNumberToObject(settings, "clock_error_ms", 25);
    char *json = print(root);
    snprintf(controllers[index].settings, sizeof controllers[index].settings, "%s/node-%d.json", folder, index);
    if (!g_file_set_contents(controllers[index].settings, json, -1, NULL)) exit(2);
    free(json);
}

void world_controller_start(int index) {
    char program[600], log_path[600];
    snprintf(program, sizeof program, "%s/target/fieldfield", repository);
    snprintf(log_path, sizeof log_path, "%s/node-%d.log", folder, index);
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        FILE *log = freopen(log_path, "a", stderr);
        if (!log || chdir(repository) != 0) _exit(127);
        execl(program, "target/fieldfield", "--config", controllers[index].settings, (char *)NULL);
        _exit(127);
    }
    controllers[index].pid = pid;
    world_log("platform: controller %d started as process %d", index, (int)pid);
}

void world_controller_kill(int index) {
    if (controllers[index].pid <= 0) return;
    kill(controllers[index].pid, SIGKILL);
    waitpid(controllers[index].pid, NULL, 0);
    controllers[index].pid = 0;
    world_log("platform: controller %d killed", index);
}

void world_controller_signal(int index, int signal_number) {
    if (controllers[index].pid > 0) kill(controllers[index].pid, signal_number);
    world_log("platform: signal %d to controller %d", signal_number, index);
}

int world_controller_pid(int index) { return (int)controllers[index].pid; }

bool world_controllers_alive(void) {
    for (int i = 0; i < cfg.controllers; i++) {
        int status;
        if (controllers[i].pid > 0 && waitpid(controllers[i].pid, &status, WNOHANG) == controllers[i].pid) {
            world_log("platform: controller %d ended by itself, status %d", i, status);
            controllers[i].pid = 0;
            return false;
        }
    }
    return true;
}

void world_start(const struct world_config *config, int argc, char **argv) {
    if (argc < 3) {
        fprintf(stderr, "usage: %s REPOSITORY RECORD\n", argv[0]);
        exit(2);
    }
    cfg = *config;
    signal(SIGPIPE, SIG_IGN);
    started_at = net_now();
    g_strlcpy(repository, argv[1], sizeof repository);
    record = fopen(argv[2], "w");
    g_strlcpy(folder, getenv("REVIEW_TMP") ? getenv("REVIEW_TMP") : "/tmp", sizeof folder);
    if (!record) exit(2);
    world_log("TROUBLE=%d", world_trouble());
    state.rows = g_tree_new_full(compare_keys, NULL, g_free, free_row);
    state.leases = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    state.late = g_ptr_array_new();
    state.requests = cfg.rps;
    state.changes = cfg.write_rps;
    state.refilled_at = net_now();
    pthread_cond_init(&state.changed, NULL);
    fleet.jobs = g_hash_table_new(g_str_hash, g_str_equal);
    fleet.claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    fleet.cloud_refilled_at = net_now();
    fleet.cloud_calls = 2 * cfg.cloud_rps;
    int cloud_port = net_free_port();
    if (net_serve(cloud_port, 0, on_cloud) < 0) exit(2);
    for (int i = 0; i < cfg.controllers; i++) {
        controllers[i].state_port = net_free_port();
        if (net_serve(controllers[i].state_port, i, on_state) < 0) exit(2);
        controller_ports[i] = net_free_port();
        controllers[i].peer_port = net_free_port();
    }
    for (int i = 0; i < cfg.controllers; i++) write_settings(i, cloud_port);
    for (int i = 0; i < cfg.up_at_start; i++) add_machine(i % cfg.n_zones, false, net_now() - 300);
    start_thread(tick_main, NULL);
}

int world_finish(bool broken) {
    pthread_mutex_lock(&fleet.lock);
    fleet.ending = true;
    pthread_mutex_unlock(&fleet.lock);
    for (int i = 0; i < cfg.controllers; i++) world_controller_kill(i);
    world_log("%s", broken ? "result: the rule was broken" : "result: the rule held");
    return broken ? 1 : 0;
}
