#include "codec.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

/* Names of message members that are used more than once. */
#define KEY_INCARNATION "tenure"
#define KEY_FENCING_TOKEN "fence"
#define KEY_DIRECTIVES "orders"
#define KEY_DIRECTIVE_KIND "verb"
#define KEY_TASK "task"
#define KEY_ATTEMPT "try"

static const char *const directive_names[] = {
    [DIRECTIVE_RUN] = "run", [DIRECTIVE_STOP] = "stop", [DIRECTIVE_FORGET] = "forget"};

static const char *const task_state_names[] = {
    [TASK_FETCHING] = "fetching", [TASK_WAITING_FOR_GANG] = "gathering",
    [TASK_RUNNING] = "running",   [TASK_FLUSHING] = "flushing",
    [TASK_ENDED] = "ended",
};

static const char *const task_cause_names[TASK_END_CAUSES] = {
    [TASK_END_NOT_GIVEN] = "?",
    [TASK_END_DONE] = "done",
    [TASK_END_STOPPED] = "stopped",
    [TASK_END_GANG_LOST] = "peers",
    [TASK_END_GANG_INCOMPLETE] = "incomplete",
    [TASK_END_FAILED] = "error",
    [TASK_END_NO_ROOM] = "no_room",
    [TASK_END_BUSY] = "busy",
    [TASK_END_UNKNOWN_TASK] = "unknown",
};

struct heartbeat codec_read_heartbeat(const cJSON *message) {
    struct heartbeat heartbeat = {
        .machine_id = json_get_string(message, "host"),
        .address = json_get_string(message, "address"),
        .type_name = json_get_string(message, "flavour"),
        .zone = json_get_string(message, "site"),
        .spot = json_get_bool(message, "reclaimable"),
        .incarnation = -1,
        .sequence = -1,
        .tasks = cJSON_GetObjectItemCaseSensitive(message, "tasks"),
    };
    json_get_int64(message, KEY_INCARNATION, &heartbeat.incarnation);
    json_get_int64(message, "seq", &heartbeat.sequence);
    json_get_int64(message, KEY_FENCING_TOKEN, &heartbeat.fencing_token);
    const cJSON *notice = cJSON_GetObjectItemCaseSensitive(message, "warning_s");
    if (cJSON_IsNumber(notice)) {
        heartbeat.has_preemption_notice = true;
        heartbeat.preemption_notice_s = notice->valuedouble;
    }
    return heartbeat;
}

bool codec_read_task(const cJSON *item, struct listed_task *task) {
    task->name = json_get_string(item, KEY_TASK);
    return task->name && json_get_int64(item, KEY_ATTEMPT, &task->attempt);
}

enum task_state codec_read_task_state(const cJSON *item) {
    const char *name = json_get_string(item, "state");
    for (size_t i = TASK_FETCHING; name && i < G_N_ELEMENTS(task_state_names); i++)
        if (strcmp(name, task_state_names[i]) == 0) return (enum task_state)i;
    return TASK_RUNNING;
}

enum task_end_cause codec_read_task_cause(const cJSON *item) {
    const char *name = json_get_string(item, "cause");
    for (size_t i = TASK_END_DONE; name && i < TASK_END_CAUSES; i++)
        if (strcmp(name, task_cause_names[i]) == 0) return (enum task_end_cause)i;
    return TASK_END_NOT_GIVEN;
}

const char *codec_task_cause_name(enum task_end_cause cause) { return task_cause_names[cause]; }

void codec_add_directive(cJSON *directives, const struct directive *directive) {
    cJSON *item = cJSON_CreateObject();
    cJSON_AddStringToObject(item, KEY_DIRECTIVE_KIND, directive_names[directive->kind]);
    cJSON_AddStringToObject(item, KEY_TASK, directive->task);
    cJSON_AddNumberToObject(item, KEY_ATTEMPT, (double)directive->attempt);
    if (directive->kind == DIRECTIVE_STOP) cJSON_AddNumberToObject(item, "grace_s", directive->grace_s);
    cJSON_AddItemToArray(directives, item);
}

char *codec_describe_directives(const cJSON *directives) {
    GString *text = g_string_new(NULL);
    const cJSON *item;
    cJSON_ArrayForEach(item, directives) {
        g_string_append_printf(text, "%s%s %s@%.0f", text->len ? ", " : "", json_get_string(item, KEY_DIRECTIVE_KIND),
                               json_get_string(item, KEY_TASK), json_get_double(item, KEY_ATTEMPT, 0));
    }
    return g_string_free(text, FALSE);
}

bool codec_has_start(const cJSON *directives) {
    const cJSON *item;
    cJSON_ArrayForEach(item, directives) {
        const char *name = json_get_string(item, KEY_DIRECTIVE_KIND);
        if (name && strcmp(name, directive_names[DIRECTIVE_RUN]) == 0) return true;
    }
    return false;
}

char *codec_write_command(int64_t fencing_token, int64_t incarnation, cJSON *directives) {
    cJSON *body = cJSON_CreateObject();
    cJSON_AddNumberToObject(body, KEY_FENCING_TOKEN, (double)fencing_token);
    cJSON_AddNumberToObject(body, KEY_INCARNATION, (double)incarnation);
    cJSON_AddItemReferenceToObject(body, KEY_DIRECTIVES, directives);
    char *text = cJSON_PrintUnformatted(body);
    cJSON_Delete(body);
    return text;
}

cJSON *codec_write_response(int64_t fencing_token, cJSON *directives) {
    cJSON *body = cJSON_CreateObject();
    cJSON_AddNumberToObject(body, KEY_FENCING_TOKEN, (double)fencing_token);
    cJSON_AddItemToObject(body, KEY_DIRECTIVES, directives);
    return body;
}
