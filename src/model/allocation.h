/* An allocation: the machine that a task is given, and what the controllers know about the task there. Types only;
 * guarded by store_lock. Values of struct timespec are instants of the monotonic clock. */
#ifndef FF_MODEL_ALLOCATION_H
#define FF_MODEL_ALLOCATION_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define TASK_NAME_SIZE 96 /* of a name JOB/TASK, with the terminating zero */

struct job;
struct machine;

/* The state of a task, as its machine's agent lists it. */
enum task_state {
    TASK_NOT_LISTED,       /* the agent has not listed the task yet */
    TASK_FETCHING,         /* the agent fetches the task's image */
    TASK_WAITING_FOR_GANG, /* the task waits for the other tasks of its gang */
    TASK_RUNNING,
    TASK_FLUSHING, /* the task saves a checkpoint before it stops */
    TASK_ENDED
};

/* Why a task has ended or its start was refused, as its machine's agent gives it. */
enum task_end_cause {
    TASK_END_NOT_GIVEN, /* the agent gives no cause, or one that this version does not know */
    TASK_END_DONE,
    TASK_END_STOPPED,
    TASK_END_GANG_LOST,       /* another task of its gang is gone */
    TASK_END_GANG_INCOMPLETE, /* its gang was not complete in time */
    TASK_END_FAILED,
    TASK_END_NO_ROOM,      /* refused: too few free resources on the machine */
    TASK_END_BUSY,         /* refused: the task is on the machine under another attempt */
    TASK_END_UNKNOWN_TASK, /* refused: the agent does not know the job or the task */
    TASK_END_CAUSES
};

/* One start of a task on a machine. The allocations package owns it, and frees it when its record no longer names it.
 */
struct allocation {
    struct job *job;
    struct machine *machine;
    guint index_in_job, index_in_machine; /* its index in the allocations list of the job, and of the machine */
    int task;                             /* its index in the job */
    int64_t attempt;                      /* number of this start (attempt.h) */
    struct timespec allocated_at;

    /* Known to the owner of the machine's shard, and valid only under the shard's current fencing token. */
    enum task_state state; /* as last listed */
    struct timespec state_since;
    bool was_listed; /* the agent has listed the task at least once */
    /* The allocation was not decided under the current fencing token: its start is not sent, and it is released if the
     * agent does not list the task. */
    bool inherited;
    bool released; /* the task is proven absent or ended: its resources are free, and its record will be updated */
    bool stop_requested, stop_sent;
    double grace_s;  /* time that the task is given to stop */
    int starts_sent; /* number of heartbeat responses that carried the start */

    int non_owner_stops_sent; /* stops that this controller has sent without owning the machine */
};

/* A task that a machine's agent lists but that has no allocation. */
struct unknown_task {
    char task_name[TASK_NAME_SIZE]; /* JOB/TASK */
    int64_t attempt;
    bool ended;
};

/* A task that a scheduling round places. It becomes an allocation once its record is written. */
struct planned_task {
    struct machine *machine;
    struct job *job;
    int task;
    int64_t attempt;
};
#endif
