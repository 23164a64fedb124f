/* The JSON of the worker protocol: reads heartbeats and workers' answers, and writes commands and responses that carry
 * directives. Only codec.c knows the member names of these messages. Pure: callable from any thread, with or without
 * store_lock. */
#ifndef FF_WORKERS_CODEC_H
#define FF_WORKERS_CODEC_H
#include <stdbool.h>
#include <stdint.h>

#include "../json/json.h"
#include "../model/allocation.h"

/* A heartbeat, or a worker's answer to a command or an inspection, which has the same members. The strings and the
 * list of tasks belong to the JSON message that the heartbeat was read from. */
struct heartbeat {
    const char *machine_id, *address, *type_name, *zone; /* NULL: absent */
    bool spot;
    int64_t incarnation, sequence; /* -1: absent, or not an integer */
    int64_t fencing_token;         /* the highest token that the worker has received; 0: absent, or not an integer */
    bool has_preemption_notice;
    double preemption_notice_s; /* seconds until the cloud reclaims the machine */
    const cJSON *tasks;         /* a JSON value of any type; NULL: absent */
};

/* Reads a heartbeat. If message is NULL, every member is absent. */
struct heartbeat codec_read_heartbeat(const cJSON *message);

/* An item of a heartbeat's list of tasks. */
struct listed_task {
    const char *name; /* JOB/INDEX */
    int64_t attempt;
};

/* Reads the task's name and attempt. Returns false if the name or the attempt is absent or has the wrong type. */
bool codec_read_task(const cJSON *item, struct listed_task *task);
/* Returns the task's state. If the state is absent or unknown to this version, returns TASK_RUNNING, since the task may
 * run. */
enum task_state codec_read_task_state(const cJSON *item);
/* Returns the cause of the task's end. */
enum task_end_cause codec_read_task_cause(const cJSON *item);
/* Returns the protocol's name of the cause, or "?" if none was given. */
const char *codec_task_cause_name(enum task_end_cause cause);

/* DIRECTIVE_FORGET removes an attempt that has ended from the worker's list of tasks. */
enum directive_kind { DIRECTIVE_RUN, DIRECTIVE_STOP, DIRECTIVE_FORGET };

/* A directive: what a worker has to do with an attempt of a task. */
struct directive {
    enum directive_kind kind;
    const char *task; /* JOB/INDEX */
    int64_t attempt;
    double grace_s; /* DIRECTIVE_STOP: time in which the task may save its state */
};

/* Appends the directive's JSON to the list. */
void codec_add_directive(cJSON *directives, const struct directive *directive);
/* Returns the directives as text for the log, "VERB TASK@ATTEMPT, ...", which the caller frees with g_free. */
char *codec_describe_directives(const cJSON *directives);
/* Returns whether the list contains a directive that starts a task. */
bool codec_has_start(const cJSON *directives);

/* Returns the body of a command, which the caller frees. The caller keeps ownership of the list of directives. */
char *codec_write_command(int64_t fencing_token, int64_t incarnation, cJSON *directives);
/* Returns the body of a response to a heartbeat, which the caller frees. The body takes ownership of the directives. */
cJSON *codec_write_response(int64_t fencing_token, cJSON *directives);
#endif
