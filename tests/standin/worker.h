/* One machine of the stand-in: its agent's state, its tasks, its heartbeat, and what directives do to it. Called by
 * workers.c only, with the lock of the workers held. */
#ifndef FF_STANDIN_WORKER_H
#define FF_STANDIN_WORKER_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "json/json.h"
#include "workers.h"

#define STANDIN_TASK_NAME 64
#define STANDIN_TASK_CAUSE 16
#define STANDIN_WORKER_ID 32

struct standin_task {
    char name[STANDIN_TASK_NAME];
    int64_t attempt;
    bool ended;
    bool runs_on; /* until it is stopped */
    char cause[STANDIN_TASK_CAUSE];
    struct timespec started;
    double fetch_s; /* how long it takes to fetch its image */
};

struct standin_worker {
    char id[STANDIN_WORKER_ID], address[STANDIN_WORKER_ID];
    bool alive; /* rented and not returned */
    bool spot;
    bool unreachable; /* by anybody, whatever its fault */
    enum standin_worker_fault fault;
    int controller; /* index of the one that it reports to */
    struct timespec last_answer;
    int64_t incarnation, sequence, fencing_token;
    GArray *tasks; /* struct standin_task; those that ended stay until a directive forgets them */
};

/* A new machine without tasks, in its first incarnation. */
void standin_worker_init(struct standin_worker *worker, int index, int port, bool spot);
/* All its tasks are killed. */
void standin_worker_lose_tasks(struct standin_worker *worker);
/* If its lease of that many seconds ran out, all its tasks are killed and a new incarnation begins. */
void standin_worker_check_lease(struct standin_worker *worker, double lease_s);
/* Ends the tasks that are through, and returns the next heartbeat, which is the caller's. */
cJSON *standin_worker_heartbeat(struct standin_worker *worker);
/* Takes over the fencing token of an answer or command; false if there is none or a newer one was seen. */
bool standin_worker_accept_token(struct standin_worker *worker, const cJSON *object);
/* Whether a command carries a fencing token that isn't stale, and names this incarnation. */
bool standin_worker_accepts_command(const struct standin_worker *worker, const cJSON *command);

/* One directive of a heartbeat's answer or of a command. The strings are those of the JSON object. */
struct standin_directive {
    const char *verb, *task;
    int64_t attempt;
};
struct standin_directive standin_directive_read(const cJSON *object);
/* Carries it out; true if it started a task, whose image takes fetch_s to fetch. */
bool standin_worker_execute(struct standin_worker *worker, const struct standin_directive *directive, double fetch_s);

bool standin_task_has_image(const struct standin_task *task);
#endif
