/* A job: what its user asked for, what its record says, and what the controllers know of its tasks. Types only; guarded
 * by store_lock. Times of day are seconds since 1970; struct timespec are instants of the steady clock. */
#ifndef FF_MODEL_JOB_H
#define FF_MODEL_JOB_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define JOB_ID_SIZE 64 /* with the terminating zero */
#define JOB_TASKS_MAX 100000

/* A job array has independent tasks, a gang starts and completes as one, a service runs until it is cancelled. */
enum job_kind { JOB_ARRAY, JOB_GANG, JOB_SERVICE };
/* From the lowest; higher ones may preempt lower ones. */
enum job_priority { PRIORITY_IDLE, PRIORITY_NORMAL, PRIORITY_HIGH, PRIORITY_PRODUCTION };
/* As its record says. */
enum job_state { JOB_QUEUED, JOB_DONE, JOB_CANCELLED };

/* What is known of a chunk of a job's tasks. */
enum chunk_flag {
    CHUNK_RECORDED = 1, /* the store has a record of it */
    CHUNK_DIRTY = 2     /* what this controller knows differs from the record */
};

/* What its user submitted. Amounts are those of one task. */
struct job_spec {
    char job_id[JOB_ID_SIZE];
    char *job_class, *image;
    char *zone;           /* the only one allowed; NULL: any */
    char **machine_types; /* those allowed; NULL: any */
    int team;             /* index in the settings; -1: unknown */
    enum job_kind kind;
    enum job_priority priority;
    int tasks;
    double vcpus, gpus, memory_gb, image_gb;
    bool single_zone; /* all tasks in one zone */
    bool spread;      /* at most half of the tasks, rounded up, in one zone */
    bool allows_spot;
    double runtime_s;          /* the user's estimate of a task's run time; 0 for services */
    double checkpoint_s;       /* progress between checkpoints; 0: the task saves none */
    double checkpoint_flush_s; /* time that a checkpoint takes when the task is stopped */
    double deadline_s;         /* from its submission; 0: none */
    char **prerequisites;      /* ids of jobs that have to be done first, each once; NULL: none */
};

/* A job. The members that no comment gives to another package are kept by jobs. */
struct job {
    struct job_spec spec;
    bool known;      /* false: only named by an allocation or as a prerequisite */
    char *spec_text; /* the submission's JSON; NULL once the job is over */
    int shard;       /* that its record names, of a divided team's job; -1: its team's home */
    enum job_state state;
    double submitted;              /* time of day of the acceptance */
    double finished;               /* time of day at which its record says done; 0: not done, or not recorded */
    struct timespec ended;         /* when this controller read its final state */
    uint8_t *done, *reported_done; /* a bit a task: recorded as done, and shown as done but perhaps not yet recorded */
    int n_done, n_reported_done;
    struct timespec eligible_since; /* since when it may start, as far as is known */
    bool
        cancel_acknowledged; /* to its user, by this controller: its tasks end even if their owner never learns of it */
    bool listed_active, listed_ended;

    /* Kept by dependencies. */
    GPtrArray *prerequisites, *dependents; /* struct job; NULL: none */
    int unmet;                             /* prerequisites whose record does not say done */
    double ready;                          /* time of day from which its times count; 0: it waits for others */
    enum job_priority priority;            /* the highest of its own and its unfinished dependents' */
    double deadline;                       /* time of day by which it is to be done for its own and their sake */
    bool prerequisite_cancelled;           /* one of them, directly or through others: it is to be cancelled */
    bool cascade_acknowledged;             /* and this controller acknowledged that to a user */
    struct timespec cascade_since;

    /* Kept by allocations: the records are chunks of the job's tasks. */
    GPtrArray *allocations; /* struct allocation */
    uint8_t *chunk_flags;   /* a byte a chunk: enum chunk_flag */
    int n_recorded_chunks, n_dirty_chunks;
    int chunk_size;              /* tasks a record holds; 0: not known yet, that of the first layout */
    struct timespec dirty_since; /* since when something waits to be written */

    /* Kept by quarantine. */
    int failed_tries;          /* since it is suspect; 0: it is not */
    int failed_tries_recorded; /* what its first record of allocations says of them */
    GPtrArray *failed_on;      /* ids of machines, since a task of it last completed; NULL: none */

    /* Kept by its shard's owner. */
    struct timespec retry_at; /* no start before */
    const char *zone;         /* in which machines are rented for a gang in one zone; NULL: not decided */
    int replicas_at_risk; /* on machines that are unreachable with their zone: they may have to start elsewhere soon */
    bool unplaced;        /* tasks found no place in the last scheduling round */
    struct timespec preempted_at; /* when other work was last preempted for it */
};
#endif
