/* The JSON of the worker protocol: heartbeats and workers' answers in, directives and responses out. The protocol's
 * member names stand in codec.c only. Pure: any thread, no lock. */
#ifndef FF_WORKERS_CODEC_H
#define FF_WORKERS_CODEC_H
#include <stdbool.h>
#include <stdint.h>

#include "../json/json.h"
#include "../model/allocation.h"

/* A heartbeat, or a worker's answer to a command or an inspection, which has the same members. Read once; the texts
 * and the list of tasks belong to the JSON that it was read from. */
struct heartbeat {
    const char *machine_id, *address, *type_name, *zone; /* NULL: absent */
    bool spot;
    int64_t incarnation, sequence; /* -1: absent, or no whole number */
    int64_t fencing_token;         /* the newest that the worker has been shown; 0: absent, or no whole number */
    bool has_preemption_notice;
    double preemption_notice_s; /* seconds until the cloud reclaims the machine */
    const cJSON *tasks;         /* of any type; NULL: absent */
};

/* message NULL: nothing is there. */
struct heartbeat codec_read_heartbeat(const cJSON *message);

/* An item of a heartbeat's list of tasks. */
struct listed_task {
    const char *name; /* JOB/INDEX */
    int64_t attempt;
};

/* False where the name or the attempt is absent or of another type. */
bool codec_read_task(const cJSON *item, struct listed_task *task);
/* A state that this version does not know is that of a task that may run. */
enum task_state codec_read_task_state(const cJSON *item);
/* Why the task has ended; NULL: not said. */
const char *codec_read_task_cause(const cJSON *item);

enum directive_kind { DIRECTIVE_RUN, DIRECTIVE_STOP, DIRECTIVE_FORGET };

struct directive {
    enum directive_kind kind;
    const char *task; /* JOB/INDEX */
    int64_t attempt;
    double grace_s; /* of a stop: for so long the task may save its state */
};

/* Appends a directive to a list of them, in the worker's form. */
void codec_add_directive(cJSON *directives, const struct directive *directive);
/* A list of directives starts a task. */
bool codec_has_start(const cJSON *directives);

/* The body of a command; the list stays the caller's, who frees the text. */
char *codec_write_command(int64_t fencing_token, int64_t incarnation, cJSON *directives);
/* The body of a response to a heartbeat; takes the list over. The caller frees it. */
cJSON *codec_write_response(int64_t fencing_token, cJSON *directives);
#endif
