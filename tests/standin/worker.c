#include "worker.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <time.h>

#include "clock/clock.h"
#include "history.h"
#include "json/json.h"

#define RUN_S 0.6                        /* run time of a task after its image is fetched */
#define RUN_UNTIL_STOPPED_PREFIX "req-9" /* tasks with this prefix run until they are stopped */
#define LISTEN_FORMAT "127.0.0.1:%d"     /* each machine has its own port */

static void log_start(const struct standin_task *task) {
    history_add_task_event(history_log(), history_now(), task->name, true);
}

static void log_end(const struct standin_task *task) {
    history_add_task_event(history_log(), history_now(), task->name, false);
}

void standin_worker_init(struct standin_worker *worker, int index, int port, bool spot) {
    g_snprintf(worker->id, sizeof worker->id, "i-%06d", index);
    g_snprintf(worker->address, sizeof worker->address, LISTEN_FORMAT, port);
    worker->spot = spot;
    worker->alive = true;
    worker->last_answer = clock_now();
    worker->incarnation = 1;
    worker->started = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    worker->tasks = g_array_new(FALSE, FALSE, sizeof(struct standin_task));
}

static void end_task(struct standin_task *task, const char *cause) {
    task->ended = true;
    g_strlcpy(task->cause, cause, sizeof task->cause);
    log_end(task);
}

void standin_worker_lose_tasks(struct standin_worker *worker) {
    for (guint i = 0; i < worker->tasks->len; i++) {
        const struct standin_task *task = &g_array_index(worker->tasks, struct standin_task, i);
        if (!task->ended) log_end(task);
    }
    g_array_set_size(worker->tasks, 0);
}

void standin_worker_replace(struct standin_worker *worker) {
    standin_worker_lose_tasks(worker);
    g_hash_table_remove_all(worker->started);
    worker->incarnation = 1;
    worker->sequence = worker->fencing_token = 0;
    worker->last_answer = clock_now();
}

void standin_worker_check_lease(struct standin_worker *worker, double lease_s) {
    if (clock_seconds_since(worker->last_answer) < lease_s) return;
    standin_worker_lose_tasks(worker);
    worker->incarnation++;
    worker->last_answer = clock_now();
}

bool standin_task_has_image(const struct standin_task *task) {
    return clock_seconds_since(task->started) >= task->fetch_s;
}

static const char *state_of(const struct standin_task *task) {
    if (task->ended) return "ended";
    return standin_task_has_image(task) ? "running" : "fetching";
}

static cJSON *task_entry(const struct standin_task *task) {
    cJSON *entry = cJSON_CreateObject();
    cJSON_AddStringToObject(entry, "task", task->name);
    cJSON_AddNumberToObject(entry, "try", (double)task->attempt);
    cJSON_AddStringToObject(entry, "state", state_of(task));
    if (task->ended) cJSON_AddStringToObject(entry, "cause", task->cause);
    return entry;
}

cJSON *standin_worker_heartbeat(struct standin_worker *worker) {
    cJSON *object = cJSON_CreateObject();
    cJSON_AddStringToObject(object, "host", worker->id);
    cJSON_AddStringToObject(object, "address", worker->address);
    cJSON_AddStringToObject(object, "flavour", "g4");
    cJSON_AddStringToObject(object, "site", "za");
    cJSON_AddBoolToObject(object, "reclaimable", worker->spot);
    cJSON_AddNumberToObject(object, "tenure", (double)worker->incarnation);
    cJSON_AddNumberToObject(object, "seq", (double)++worker->sequence);
    cJSON_AddNumberToObject(object, "fence", (double)worker->fencing_token);
    cJSON *list = cJSON_AddArrayToObject(object, "tasks");
    for (guint i = 0; i < worker->tasks->len; i++) {
        struct standin_task *task = &g_array_index(worker->tasks, struct standin_task, i);
        bool finished = clock_seconds_since(task->started) > task->fetch_s + RUN_S;
        if (!task->ended && !task->runs_until_stopped && finished) end_task(task, task->fails ? "error" : "done");
        cJSON_AddItemToArray(list, task_entry(task));
    }
    return object;
}

bool standin_worker_accept_token(struct standin_worker *worker, const cJSON *object) {
    int64_t fencing_token = 0;
    if (!json_get_int64(object, "fence", &fencing_token) || fencing_token < worker->fencing_token) return false;
    worker->fencing_token = fencing_token;
    return true;
}

bool standin_worker_accepts_command(const struct standin_worker *worker, const cJSON *command) {
    int64_t fencing_token = 0, incarnation = 0;
    return json_get_int64(command, "fence", &fencing_token) && json_get_int64(command, "tenure", &incarnation) &&
           fencing_token >= worker->fencing_token && incarnation == worker->incarnation;
}

struct standin_directive standin_directive_read(const cJSON *object) {
    struct standin_directive directive = {
        .verb = json_get_string(object, "verb"), .task = json_get_string(object, "task"), .attempt = 0};
    json_get_int64(object, "try", &directive.attempt);
    return directive;
}

/* Index of the directive's task with the same attempt; -1: the machine does not have this task. */
static int find_task(const struct standin_worker *worker, const struct standin_directive *directive) {
    for (guint i = 0; i < worker->tasks->len; i++) {
        const struct standin_task *task = &g_array_index(worker->tasks, struct standin_task, i);
        if (task->attempt == directive->attempt && strcmp(task->name, directive->task) == 0) return (int)i;
    }
    return -1;
}

bool standin_worker_would_start(const struct standin_worker *worker, const struct standin_directive *directive) {
    return strcmp(directive->verb, "run") == 0 && find_task(worker, directive) < 0;
}

static void start_task(struct standin_worker *worker, const struct standin_directive *directive,
                       const struct standin_task_plan *plan) {
    struct standin_task task = {.attempt = directive->attempt,
                                .started = clock_now(),
                                .runs_until_stopped = g_str_has_prefix(directive->task, RUN_UNTIL_STOPPED_PREFIX),
                                .fails = plan->fails,
                                .fetch_s = plan->fetch_s};
    g_strlcpy(task.name, directive->task, sizeof task.name);
    g_array_append_val(worker->tasks, task);
    char *attempt = g_strdup_printf("%s:%lld", task.name, (long long)task.attempt);
    worker->restarts += !g_hash_table_add(worker->started, attempt);
    log_start(&task);
}

bool standin_worker_execute(struct standin_worker *worker, const struct standin_directive *directive,
                            const struct standin_task_plan *plan) {
    if (standin_worker_would_start(worker, directive)) {
        start_task(worker, directive, plan);
        return true;
    }
    int index = find_task(worker, directive);
    struct standin_task *task = index < 0 ? NULL : &g_array_index(worker->tasks, struct standin_task, index);
    if (strcmp(directive->verb, "stop") == 0 && task && !task->ended && worker->fault != STANDIN_IGNORES_STOPS) {
        end_task(task, "stopped");
    } else if (strcmp(directive->verb, "forget") == 0 && task && task->ended) {
        g_array_remove_index(worker->tasks, (guint)index);
    }
    return false;
}
