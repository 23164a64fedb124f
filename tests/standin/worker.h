/* One stand-in worker: the agent of a machine, with its tasks, heartbeats and the execution of directives. Used by
 * workers.c only, with the lock of the workers held. */
#ifndef FF_STANDIN_WORKER_H
#define FF_STANDIN_WORKER_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "json/json.h"
#include "workers.h"

#define STANDIN_TASK_NAME_BYTES 64
#define STANDIN_TASK_CAUSE_BYTES 16
#define STANDIN_WORKER_ID_BYTES 32

struct standin_task {
    char name[STANDIN_TASK_NAME_BYTES];
    int64_t attempt;
    bool ended;
    bool runs_until_stopped, fails;
    char cause[STANDIN_TASK_CAUSE_BYTES];
    struct timespec started;
    double fetch_s; /* time to fetch the image */
};

struct standin_worker {
    char id[STANDIN_WORKER_ID_BYTES], address[STANDIN_WORKER_ID_BYTES];
    bool alive; /* rented and not returned */
    bool spot;
    bool unreachable; /* sends and receives nothing, whatever its fault */
    enum standin_worker_fault fault;
    int controller; /* index of the controller that gets its heartbeats */
    struct timespec last_answer;
    int64_t incarnation, sequence, fencing_token;
    GHashTable *started; /* set of the attempts that were started here, as TASK:ATTEMPT */
    int restarts;        /* number of starts of attempts that had been started here before */
    GArray *tasks;       /* struct standin_task; an ended task stays until a forget directive */
};

/* Initialises a rented machine without tasks, in its first incarnation. */
void standin_worker_init(struct standin_worker *worker, int index, int port, bool spot);
/* Kills and removes all tasks of the machine. */
void standin_worker_lose_tasks(struct standin_worker *worker);
/* Puts the machine into the state of a new one with the same name. */
void standin_worker_replace(struct standin_worker *worker);
/* If no heartbeat was answered for lease_s seconds, kills all tasks and starts a new incarnation. */
void standin_worker_check_lease(struct standin_worker *worker, double lease_s);
/* Ends the tasks whose run time is over, and returns the next heartbeat. The caller frees it. */
cJSON *standin_worker_heartbeat(struct standin_worker *worker);
/* Stores the fencing token of an answer or command. Returns false if it has none, or a newer token was seen before. */
bool standin_worker_accept_token(struct standin_worker *worker, const cJSON *object);
/* Whether the command has a fencing token that is not stale, and names the machine's present incarnation. */
bool standin_worker_accepts_command(const struct standin_worker *worker, const cJSON *command);

/* One directive of a command or of the answer to a heartbeat. The strings belong to the JSON object. */
struct standin_directive {
    const char *verb, *task;
    int64_t attempt;
};
struct standin_directive standin_directive_read(const cJSON *object);
/* Whether the directive starts an attempt that the machine does not have in any state. */
bool standin_worker_would_start(const struct standin_worker *worker, const struct standin_directive *directive);
/* What happens to a task that is started. */
struct standin_task_plan {
    double fetch_s; /* time to fetch the image */
    bool fails;     /* the task ends with an error */
};
/* Executes a directive. Returns true if it started a task, which then follows the plan. */
bool standin_worker_execute(struct standin_worker *worker, const struct standin_directive *directive,
                            const struct standin_task_plan *plan);

bool standin_task_has_image(const struct standin_task *task);
#endif
