/* An allocation: a task's place on a machine, and what is known of the task there. Types only; guarded by store_lock.
 */
#ifndef FF_MODEL_ALLOCATION_H
#define FF_MODEL_ALLOCATION_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define TASK_NAME_SIZE 96 /* JOB/TASK, with the terminating zero */

struct job;
struct machine;

/* As the machine's agent reports it. */
enum task_state { TASK_UNSEEN, TASK_FETCHING, TASK_GATHERING, TASK_RUNNING, TASK_FLUSHING, TASK_ENDED };

struct allocation {
    struct job *job;
    struct machine *machine;
    guint index_in_job, index_in_machine; /* where it stands in their lists */
    int task;
    int64_t attempt;
    struct timespec allocated_at;

    /* What its shard's owner knows. */
    enum task_state state; /* as last reported under our token */
    struct timespec state_since;
    bool seen;      /* listed at least once under our token */
    bool inherited; /* not started by us under this token: never started by us, released when shown absent */
    bool released;  /* proven absent or ended: its place is free, the record follows */
    bool stop_requested, stop_sent;
    double grace_s;    /* with which it is to stop */
    int starts_sent;   /* answered heartbeats that carried its start */
    int stop_requests; /* sent by us, not being its owner */
};

/* A task that the machine lists and that has no allocation. */
struct unknown_task {
    char task[TASK_NAME_SIZE];
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
