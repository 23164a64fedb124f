/* An allocation: the machine that a task is given, and what is known of the task there. Types only; guarded by
 * store_lock. Instants are of the steady clock. */
#ifndef FF_MODEL_ALLOCATION_H
#define FF_MODEL_ALLOCATION_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define TASK_NAME_SIZE 96 /* JOB/TASK, with the terminating zero */

struct job;
struct machine;

/* What a task does, as the machine's agent lists it. */
enum task_state {
    TASK_UNSEEN,    /* not listed yet */
    TASK_FETCHING,  /* its image */
    TASK_GATHERING, /* waits for the rest of its gang */
    TASK_RUNNING,
    TASK_FLUSHING, /* saves a checkpoint before it stops */
    TASK_ENDED
};

/* One start of a task on a machine. It belongs to allocations, and is freed when its record no longer names it. */
struct allocation {
    struct job *job;
    struct machine *machine;
    guint index_in_job, index_in_machine; /* its index in their lists of allocations */
    int task;
    int64_t attempt;
    struct timespec allocated_at;

    /* What the owner of its shard knows, under the present fencing token. */
    enum task_state state; /* as last listed */
    struct timespec state_since;
    bool seen;      /* listed at least once */
    bool inherited; /* not decided on under this fencing token: it is not started, and released when it is not listed */
    bool released;  /* proven absent or ended: its room is free, the record follows */
    bool stop_requested, stop_sent;
    double grace_s;  /* with which it is to stop */
    int starts_sent; /* responses to heartbeats that carried its start */

    int stop_requests; /* sent by a controller that does not own its shard */
};

/* A task that the machine lists and that has no allocation. */
struct unknown_task {
    char task[TASK_NAME_SIZE]; /* JOB/TASK */
    int64_t attempt;
    bool ended;
};

/* A task that a scheduling round places; an allocation once it is written. */
struct planned_task {
    struct machine *machine;
    struct job *job;
    int task;
    int64_t attempt;
};
#endif
