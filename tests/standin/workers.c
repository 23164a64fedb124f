#include "workers.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "clock/clock.h"
#include "command_copies.h"
#include "heartbeat_copies.h"
#include "http/client.h"
#include "http/server.h"
#include "http/status.h"
#include "json/json.h"
#include "sync/sync.h"
#include "unknown_fields.h"
#include "worker.h"

#define CONTROLLERS_MAX 8
#define CONNECTIONS_MAX 16
#define FIRST_PORT 18300
#define URL_BYTES 96
#define PATH_INSPECT "/inspect"
#define HEARTBEAT_INTERVAL_S 0.15
#define COPIES_INTERVAL_S 0.05
#define HEARTBEAT_TIMEOUT_MS 1000
#define NO_LEASE_S 1e9
#define HTTP_INTERNAL_ERROR 500
#define FAILS_ONCE_PREFIX "req-7" /* tasks with this prefix end with an error when they are started first */

/* A command that is executed when its machine's fault ends. */
struct delayed_command {
    struct standin_worker *worker;
    cJSON *command;
};

/* When a task was first started, and how often. */
struct task_starts {
    struct timespec first;
    int count;
};

static struct {
    pthread_mutex_t lock;
    struct standin_worker machines[STANDIN_WORKERS_MAX];
    int n_machines, first_port;
    struct {
        const char *node; /* NULL: the first controller, whose name is not known */
        const char *address;
    } controllers[CONTROLLERS_MAX];
    int n_controllers;
    double lease_s;
    bool unreachable;
    GPtrArray *delayed_commands; /* struct delayed_command */
    const char *fetch_prefix;
    double fetch_s;
    GHashTable *starts_of; /* task -> struct task_starts */
    int starts, most_copies, peak, delayed_responses, longest_list;
    struct standin_copy_counts command_copies;
    const char *peak_prefix;
} workers = {.lock = PTHREAD_MUTEX_INITIALIZER, .first_port = FIRST_PORT, .lease_s = NO_LEASE_S};

/* Counts of tasks. These functions are called with the lock held. */

typedef bool (*task_matcher)(const struct standin_task *task, const char *text);

static bool is_held(const struct standin_task *task, const char *name) {
    return !task->ended && strcmp(task->name, name) == 0;
}

static bool is_running(const struct standin_task *task, const char *name) {
    return is_held(task, name) && standin_task_has_image(task);
}

static bool is_held_with_prefix(const struct standin_task *task, const char *prefix) {
    return !task->ended && g_str_has_prefix(task->name, prefix);
}

/* Number of tasks on all machines that match. Unless last is NULL, *last becomes the index of the last machine that has
 * one; it is unchanged if no task matches. */
static int count_tasks(task_matcher matches, const char *text, int *last) {
    int count = 0;
    for (int i = 0; i < workers.n_machines; i++) {
        const struct standin_worker *worker = &workers.machines[i];
        for (guint k = 0; worker->alive && k < worker->tasks->len; k++) {
            if (!matches(&g_array_index(worker->tasks, struct standin_task, k), text)) continue;
            count++;
            if (last) *last = i;
        }
    }
    return count;
}

static void record_start(const char *task) {
    struct task_starts *starts = g_hash_table_lookup(workers.starts_of, task);
    if (!starts) {
        starts = g_new0(struct task_starts, 1);
        starts->first = clock_now();
        g_hash_table_insert(workers.starts_of, g_strdup(task), starts);
    }
    starts->count++;
    workers.starts++;
    workers.most_copies = MAX(workers.most_copies, count_tasks(is_running, task, NULL));
    if (workers.peak_prefix) {
        workers.peak = MAX(workers.peak, count_tasks(is_held_with_prefix, workers.peak_prefix, NULL));
    }
}

/* Execution of directives and commands. These functions are called with the lock held. */

static struct standin_task_plan plan_task(const char *task) {
    bool slow = workers.fetch_prefix && g_str_has_prefix(task, workers.fetch_prefix);
    return (struct standin_task_plan){
        .fetch_s = slow ? workers.fetch_s : 0,
        .fails = g_str_has_prefix(task, FAILS_ONCE_PREFIX) && !g_hash_table_contains(workers.starts_of, task)};
}

static void execute_directives(struct standin_worker *worker, const cJSON *object) {
    const cJSON *entry;
    if (!standin_worker_accept_token(worker, object)) return;
    cJSON_ArrayForEach(entry, cJSON_GetObjectItem(object, "orders")) {
        struct standin_directive directive = standin_directive_read(entry);
        struct standin_task_plan plan = plan_task(directive.task);
        if (standin_worker_execute(worker, &directive, &plan)) record_start(directive.task);
    }
}

static bool execute_command(struct standin_worker *worker, const cJSON *command) {
    bool accepted = standin_worker_accepts_command(worker, command);
    if (accepted) execute_directives(worker, command);
    return accepted;
}

static bool receives_commands(const struct standin_worker *worker) {
    return worker->alive && !workers.unreachable && !worker->unreachable &&
           (worker->fault < STANDIN_CANNOT_RECEIVE || worker->fault == STANDIN_STARTS_DELAYED);
}

/* Keeps a command until the machine's fault ends. It is executed then even if the controller that sent it is gone. */
static void delay_command(struct standin_worker *worker, const cJSON *command) {
    bool delays =
        worker->fault == STANDIN_COMMANDS_DELAYED || worker->fault == STANDIN_HANGS || worker->fault == STANDIN_DEAF;
    if (!worker->alive || !delays) return;
    struct delayed_command *delayed = g_new0(struct delayed_command, 1);
    delayed->worker = worker;
    delayed->command = cJSON_Duplicate(command, true);
    g_ptr_array_add(workers.delayed_commands, delayed);
}

/* Executes the delayed commands of one machine; NULL: of all machines. */
static void execute_delayed(const struct standin_worker *worker) {
    for (guint i = workers.delayed_commands->len; i-- > 0;) {
        struct delayed_command *delayed = workers.delayed_commands->pdata[i];
        if (worker && delayed->worker != worker) continue;
        if (delayed->worker->alive) execute_command(delayed->worker, delayed->command);
        cJSON_Delete(delayed->command);
        g_free(delayed);
        g_ptr_array_remove_index(workers.delayed_commands, i);
    }
}

static void deliver_command_copies(void) {
    struct command_copy *copy;
    while ((copy = command_copies_take_due())) {
        if (copy->worker->alive && execute_command(copy->worker, copy->command)) {
            workers.command_copies.carried_out++;
        } else {
            workers.command_copies.refused++;
        }
        command_copy_free(copy);
    }
}

static bool has_fault(const struct standin_worker *worker, enum standin_worker_fault fault) {
    pthread_mutex_lock(&workers.lock);
    bool has = worker->fault == fault;
    pthread_mutex_unlock(&workers.lock);
    return has;
}

/* Handles a controller's command or inspection, on the thread of the machine's HTTP server. */
static void on_command(struct http_request *request, void *ctx) {
    struct standin_worker *worker = ctx;
    size_t length;
    const char *body = http_body(request, &length);
    cJSON *command = cJSON_ParseWithLength(body, length), *heartbeat = NULL;
    bool inspection = strcmp(http_path(request), PATH_INSPECT) == 0, accepted = false;
    if (has_fault(worker, STANDIN_STARTS_DELAYED)) clock_sleep(clock_from_seconds(STANDIN_COMMAND_DELAY_S));
    pthread_mutex_lock(&workers.lock);
    if (inspection) {
        accepted = receives_commands(worker);
        heartbeat = accepted ? standin_worker_heartbeat(worker) : NULL;
    } else if (receives_commands(worker)) {
        accepted = execute_command(worker, command);
        if (accepted) command_copies_add(worker, command);
        heartbeat = standin_worker_heartbeat(worker);
    } else {
        delay_command(worker, command);
    }
    pthread_mutex_unlock(&workers.lock);
    cJSON_Delete(command);
    if (heartbeat) {
        standin_unknown_fields_reply(STANDIN_SENDER_WORKER_ANSWER, request, accepted ? HTTP_OK : HTTP_CONFLICT,
                                     heartbeat);
    } else {
        http_reply(request, HTTP_INTERNAL_ERROR, NULL, 0);
    }
}

/* Heartbeats. */

/* One heartbeat, ready to be sent. */
struct heartbeat {
    char url[URL_BYTES];
    char *text;
    int64_t incarnation;
    bool alive, sent;
};

static bool sends_heartbeats(const struct standin_worker *worker) {
    return worker->alive && !workers.unreachable && !worker->unreachable && worker->fault != STANDIN_CANNOT_REPORT &&
           worker->fault != STANDIN_HANGS;
}

static void heartbeat_url(char *url, int controller) {
    g_snprintf(url, URL_BYTES, "http://%s/checkin", workers.controllers[controller].address);
}

static struct heartbeat prepare_heartbeat(struct standin_worker *worker) {
    struct heartbeat heartbeat;
    pthread_mutex_lock(&workers.lock);
    standin_worker_check_lease(worker, workers.lease_s);
    if (worker->fault == STANDIN_PARTITIONED) worker->controller = 0;
    cJSON *object = standin_worker_heartbeat(worker);
    workers.longest_list = MAX(workers.longest_list, (int)worker->tasks->len);
    heartbeat.text = standin_unknown_fields_print(STANDIN_SENDER_WORKER_HEARTBEAT, object);
    heartbeat.incarnation = worker->incarnation;
    heartbeat.alive = worker->alive;
    heartbeat.sent = sends_heartbeats(worker);
    heartbeat_url(heartbeat.url, worker->controller);
    if (heartbeat.sent) heartbeat_copies_add(heartbeat.text, worker->controller, workers.n_controllers);
    pthread_mutex_unlock(&workers.lock);
    cJSON_Delete(object);
    return heartbeat;
}

/* Chooses a controller after an answer other than 200: the leader that it names, or else the next one. With the lock
 * held. */
static void choose_controller(struct standin_worker *worker, long status, const cJSON *answer) {
    const char *leader = status == HTTP_MISDIRECTED_REQUEST ? json_get_string(answer, "master") : NULL;
    int next = (worker->controller + 1) % workers.n_controllers;
    for (int i = 0; leader && i < workers.n_controllers; i++) {
        const char *node = workers.controllers[i].node;
        if (node && strcmp(node, leader) == 0) next = i;
    }
    worker->controller = next;
}

/* With the lock held. */
static void handle_answer(struct standin_worker *worker, const struct heartbeat *heartbeat, struct timespec sent_at,
                          long status, const cJSON *answer) {
    int64_t fencing_token = 0;
    if (worker->fault == STANDIN_CANNOT_RECEIVE || worker->fault == STANDIN_HANGS || worker->fault == STANDIN_DEAF)
        return;
    if (status != HTTP_OK) {
        choose_controller(worker, status, answer);
    } else if (heartbeat->incarnation == worker->incarnation && json_get_int64(answer, "fence", &fencing_token) &&
               fencing_token >= worker->fencing_token) {
        worker->last_answer = sent_at;
        execute_directives(worker, answer);
    }
}

/* Returns whether the response is delayed: it has the fault STANDIN_STARTS_DELAYED and brings a new start. */
static bool delays_response(const struct standin_worker *worker, const cJSON *answer) {
    const cJSON *entry;
    bool delays = false;
    pthread_mutex_lock(&workers.lock);
    cJSON_ArrayForEach(entry, cJSON_GetObjectItem(answer, "orders")) {
        struct standin_directive directive = standin_directive_read(entry);
        delays |= worker->fault == STANDIN_STARTS_DELAYED && standin_worker_would_start(worker, &directive);
    }
    workers.delayed_responses += delays;
    pthread_mutex_unlock(&workers.lock);
    return delays;
}

static void send_heartbeat(struct http_client *client, struct standin_worker *worker,
                           const struct heartbeat *heartbeat) {
    long status = 0;
    cJSON *answer = NULL;
    struct timespec sent_at = clock_now();
    enum http_outcome outcome =
        http_call(client, "POST", heartbeat->url, heartbeat->text, HEARTBEAT_TIMEOUT_MS, &status, &answer);
    if (delays_response(worker, answer)) clock_sleep(clock_from_seconds(STANDIN_RESPONSE_DELAY_S));
    pthread_mutex_lock(&workers.lock);
    handle_answer(worker, heartbeat, sent_at, outcome == HTTP_ANSWERED ? status : 0, answer);
    pthread_mutex_unlock(&workers.lock);
    cJSON_Delete(answer);
}

static void *worker_main(void *arg) {
    struct standin_worker *worker = arg;
    struct http_client *client = http_client_new();
    for (bool alive = true; alive;) {
        clock_sleep(clock_from_seconds(HEARTBEAT_INTERVAL_S));
        struct heartbeat heartbeat = prepare_heartbeat(worker);
        if (heartbeat.sent) send_heartbeat(client, worker, &heartbeat);
        g_free(heartbeat.text);
        alive = heartbeat.alive;
    }
    http_client_free(client);
    return NULL;
}

/* Delivers the copies of commands that are due, and sends the copy of a heartbeat that is due first. Returns false if
 * no heartbeat was due. */
static bool deliver_copies(struct http_client *client) {
    char url[URL_BYTES];
    long status;
    pthread_mutex_lock(&workers.lock);
    deliver_command_copies();
    struct heartbeat_copy *copy = heartbeat_copies_take_due();
    if (copy) heartbeat_url(url, copy->controller);
    pthread_mutex_unlock(&workers.lock);
    if (!copy) return false;
    http_call(client, "POST", url, copy->text, HEARTBEAT_TIMEOUT_MS, &status, NULL);
    heartbeat_copy_free(copy);
    return true;
}

static void *copies_main(void *arg) {
    (void)arg;
    struct http_client *client = http_client_new();
    for (;;)
        if (!deliver_copies(client)) clock_sleep(clock_from_seconds(COPIES_INTERVAL_S));
    return NULL;
}

/* Functions by which the stand-in of the cloud adds and removes machines. */

void standin_workers_start(const char *controller) {
    workers.starts_of = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    workers.delayed_commands = g_ptr_array_new();
    standin_workers_add_controller(NULL, controller);
    sync_start_thread(copies_main, NULL);
}

const char *standin_workers_add(bool spot) {
    struct standin_worker *worker = NULL;
    pthread_mutex_lock(&workers.lock);
    if (workers.n_machines < STANDIN_WORKERS_MAX) {
        int index = workers.n_machines++;
        worker = &workers.machines[index];
        standin_worker_init(worker, index, workers.first_port + index, spot);
        http_server_start(worker->address, CONNECTIONS_MAX, on_command, worker);
        sync_start_thread(worker_main, worker);
    }
    pthread_mutex_unlock(&workers.lock);
    return worker ? worker->id : NULL;
}

bool standin_workers_remove(const char *id) {
    bool removed = false;
    pthread_mutex_lock(&workers.lock);
    for (int i = 0; i < workers.n_machines; i++) {
        struct standin_worker *worker = &workers.machines[i];
        if (!worker->alive || strcmp(worker->id, id) != 0) continue;
        worker->alive = false;
        standin_worker_lose_tasks(worker);
        removed = true;
    }
    pthread_mutex_unlock(&workers.lock);
    return removed;
}

int standin_workers_alive(void) {
    int alive = 0;
    pthread_mutex_lock(&workers.lock);
    for (int i = 0; i < workers.n_machines; i++) alive += workers.machines[i].alive;
    pthread_mutex_unlock(&workers.lock);
    return alive;
}

bool standin_workers_is_alive(int index) {
    pthread_mutex_lock(&workers.lock);
    bool alive = index < workers.n_machines && workers.machines[index].alive;
    pthread_mutex_unlock(&workers.lock);
    return alive;
}

int standin_workers_added(void) {
    pthread_mutex_lock(&workers.lock);
    int added = workers.n_machines;
    pthread_mutex_unlock(&workers.lock);
    return added;
}

/* Functions by which tests change the stand-ins. */

void standin_workers_add_controller(const char *node, const char *controller) {
    pthread_mutex_lock(&workers.lock);
    workers.controllers[workers.n_controllers].node = node;
    workers.controllers[workers.n_controllers++].address = controller;
    pthread_mutex_unlock(&workers.lock);
}

void standin_workers_set_first_port(int first) {
    pthread_mutex_lock(&workers.lock);
    workers.first_port = first;
    pthread_mutex_unlock(&workers.lock);
}

void standin_workers_set_lease(double seconds) {
    pthread_mutex_lock(&workers.lock);
    workers.lease_s = seconds;
    pthread_mutex_unlock(&workers.lock);
}

void standin_workers_inject(int index, enum standin_worker_fault fault) {
    pthread_mutex_lock(&workers.lock);
    for (int i = 0; i < workers.n_machines; i++) {
        struct standin_worker *worker = &workers.machines[i];
        if (index >= 0 && index != i) continue;
        if (worker->alive) standin_worker_check_lease(worker, workers.lease_s);
        worker->fault = fault;
    }
    if (fault == STANDIN_HEALTHY) execute_delayed(index < 0 ? NULL : &workers.machines[index]);
    pthread_mutex_unlock(&workers.lock);
}

int standin_workers_delayed_starts(const char *prefix) {
    int starts = 0;
    pthread_mutex_lock(&workers.lock);
    for (guint i = 0; i < workers.delayed_commands->len; i++) {
        const struct delayed_command *delayed = workers.delayed_commands->pdata[i];
        const cJSON *entry;
        cJSON_ArrayForEach(entry, cJSON_GetObjectItem(delayed->command, "orders")) {
            struct standin_directive directive = standin_directive_read(entry);
            starts += strcmp(directive.verb, "run") == 0 && g_str_has_prefix(directive.task, prefix);
        }
    }
    pthread_mutex_unlock(&workers.lock);
    return starts;
}

void standin_workers_replace(int index) {
    pthread_mutex_lock(&workers.lock);
    standin_worker_replace(&workers.machines[index]);
    pthread_mutex_unlock(&workers.lock);
}

void standin_workers_set_unreachable(bool unreachable) {
    pthread_mutex_lock(&workers.lock);
    workers.unreachable = unreachable;
    pthread_mutex_unlock(&workers.lock);
}

void standin_workers_set_machine_unreachable(int index) {
    pthread_mutex_lock(&workers.lock);
    workers.machines[index].unreachable = true;
    pthread_mutex_unlock(&workers.lock);
}

void standin_workers_duplicate_heartbeats(double after_s) {
    pthread_mutex_lock(&workers.lock);
    heartbeat_copies_set_delay(after_s);
    pthread_mutex_unlock(&workers.lock);
}

void standin_workers_copy_commands(const struct standin_copy_delay *delay) {
    pthread_mutex_lock(&workers.lock);
    if (delay) {
        command_copies_start(delay);
    } else {
        command_copies_stop();
    }
    pthread_mutex_unlock(&workers.lock);
}

void standin_workers_deliver_command_copies(void) {
    pthread_mutex_lock(&workers.lock);
    command_copies_make_due();
    deliver_command_copies();
    pthread_mutex_unlock(&workers.lock);
}

void standin_workers_report_to(int controller) {
    pthread_mutex_lock(&workers.lock);
    for (int i = 0; i < workers.n_machines; i++) workers.machines[i].controller = controller;
    pthread_mutex_unlock(&workers.lock);
}

void standin_workers_set_fetch_time(const char *prefix, double seconds) {
    pthread_mutex_lock(&workers.lock);
    workers.fetch_prefix = prefix;
    workers.fetch_s = seconds;
    pthread_mutex_unlock(&workers.lock);
}

void standin_workers_measure_peak(const char *prefix) {
    pthread_mutex_lock(&workers.lock);
    workers.peak_prefix = prefix;
    workers.peak = 0;
    pthread_mutex_unlock(&workers.lock);
}

/* Functions by which tests read the stand-ins. */

int standin_workers_running(const char *task) {
    pthread_mutex_lock(&workers.lock);
    int count = count_tasks(is_running, task, NULL);
    pthread_mutex_unlock(&workers.lock);
    return count;
}

int standin_workers_holding(const char *task) {
    pthread_mutex_lock(&workers.lock);
    int count = count_tasks(is_held, task, NULL);
    pthread_mutex_unlock(&workers.lock);
    return count;
}

int standin_workers_machine_of(const char *task) {
    int index = -1;
    pthread_mutex_lock(&workers.lock);
    count_tasks(is_held, task, &index);
    pthread_mutex_unlock(&workers.lock);
    return index;
}

int standin_workers_most_copies(void) {
    pthread_mutex_lock(&workers.lock);
    int most = workers.most_copies;
    pthread_mutex_unlock(&workers.lock);
    return most;
}

int standin_workers_starts(void) {
    pthread_mutex_lock(&workers.lock);
    int starts = workers.starts;
    pthread_mutex_unlock(&workers.lock);
    return starts;
}

int standin_workers_starts_by_prefix(const char *prefix) {
    GHashTableIter iterator;
    gpointer task, starts;
    int count = 0;
    pthread_mutex_lock(&workers.lock);
    g_hash_table_iter_init(&iterator, workers.starts_of);
    while (g_hash_table_iter_next(&iterator, &task, &starts)) {
        if (g_str_has_prefix(task, prefix)) count += ((const struct task_starts *)starts)->count;
    }
    pthread_mutex_unlock(&workers.lock);
    return count;
}

int standin_workers_restarts(void) {
    int restarts = 0;
    pthread_mutex_lock(&workers.lock);
    for (int i = 0; i < workers.n_machines; i++) restarts += workers.machines[i].restarts;
    pthread_mutex_unlock(&workers.lock);
    return restarts;
}

struct standin_copy_counts standin_workers_command_copies(void) {
    pthread_mutex_lock(&workers.lock);
    struct standin_copy_counts counts = workers.command_copies;
    pthread_mutex_unlock(&workers.lock);
    return counts;
}

int standin_workers_longest_list(void) {
    pthread_mutex_lock(&workers.lock);
    int longest = workers.longest_list;
    workers.longest_list = 0;
    pthread_mutex_unlock(&workers.lock);
    return longest;
}

int standin_workers_delayed_responses(void) {
    pthread_mutex_lock(&workers.lock);
    int delayed = workers.delayed_responses;
    pthread_mutex_unlock(&workers.lock);
    return delayed;
}

struct timespec standin_workers_first_start(const char *task) {
    pthread_mutex_lock(&workers.lock);
    const struct task_starts *starts = g_hash_table_lookup(workers.starts_of, task);
    struct timespec first = starts ? starts->first : (struct timespec){0, 0};
    pthread_mutex_unlock(&workers.lock);
    return first;
}

int standin_workers_peak(void) {
    pthread_mutex_lock(&workers.lock);
    int peak = workers.peak;
    pthread_mutex_unlock(&workers.lock);
    return peak;
}
