/* A job: what its user submitted, what its record says, and what the controllers know about its tasks. Types only;
 * guarded by store_lock. Times of day are seconds since 1970; values of struct timespec are instants of the monotonic
 * clock. */
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
/* In ascending order. Jobs of a higher priority may preempt jobs of a lower priority. */
enum job_priority { PRIORITY_IDLE, PRIORITY_NORMAL, PRIORITY_HIGH, PRIORITY_PRODUCTION };
/* The state in a job's record. A running job is recorded as queued. */
enum job_state { JOB_QUEUED, JOB_DONE, JOB_CANCELLED };

/* Flags of a chunk of a job's tasks. */
enum chunk_flag {
    CHUNK_RECORDED = 1, /* the store has a record of the chunk */
    CHUNK_DIRTY = 2     /* this controller's data about the chunk differs from the record */
};

/* A job as its user submitted it. Resources are per task. */
struct job_spec {
    char job_id[JOB_ID_SIZE];
    char *job_class, *image;
    char *zone;           /* the only zone in which its tasks may run; NULL: any zone */
    char **machine_types; /* the machine types on which its tasks may run; NULL: any type */
    int team;             /* index in the settings; -1: unknown */
    enum job_kind kind;
    enum job_priority priority;
    int tasks;
    double vcpus, gpus, memory_gb, image_gb;
    bool single_zone; /* all tasks run in one zone */
    bool spread;      /* at most half of the tasks, rounded up, run in one zone */
    bool allows_spot;
    double runtime_s;          /* the user's estimate of a task's run time; 0 for services */
    double checkpoint_s;       /* run time between two checkpoints of a task; 0: the task saves none */
    double checkpoint_flush_s; /* time that a task needs to save a checkpoint when it is stopped */
    double deadline_s;         /* seconds after the submission; 0: no deadline */
    char **prerequisites;      /* ids of the jobs that must be done first, without duplicates; NULL: none */
};

/* A job. The jobs package maintains the members that no comment assigns to another package. */
struct job {
    struct job_spec spec;
    bool recorded;   /* its record has been read; false: only an allocation or a dependent names the job */
    char *spec_text; /* the submission's canonical JSON; NULL once the job is done or cancelled */
    int shard;       /* for a divided team's job, the shard in its record; -1: the home shard of its team */
    enum job_state state;
    double submitted_at;      /* time of day at which the job was accepted */
    double finished_at;       /* time of day at which the job was done, from its record; 0: not done or not recorded */
    struct timespec ended_at; /* when this controller read its final state */
    /* One bit per task: recorded as done; reported as done, whether recorded or not. NULL once the job has ended. */
    uint8_t *done_bits, *reported_done_bits;
    int n_done, n_reported_done;    /* the numbers of these tasks */
    struct timespec eligible_since; /* since when the job may start, as far as this controller knows */
    bool cancel_acknowledged; /* this controller has confirmed the cancellation to the user: the tasks must end even if
                               * their owner never learns of it */
    bool listed_active, listed_ended; /* the job is in the list of active jobs, and in that of ended jobs */

    /* Maintained by the dependencies package. */
    GPtrArray *prerequisites, *dependents; /* struct job; NULL: none */
    int n_unmet_prerequisites;             /* number of prerequisites that are not recorded as done */
    double ready_at; /* time of day from which its waiting time and objectives count; 0: prerequisites are unmet */
    enum job_priority effective_priority; /* the highest priority of the job and its unfinished dependents */
    double effective_deadline;            /* time of day by which the job must be done so that it and its dependents
                                           * meet their deadlines; INFINITY: none */
    bool prerequisite_cancelled;          /* a direct or indirect prerequisite is cancelled, so the job must be, too */
    bool cascade_acknowledged;            /* this controller has confirmed a prerequisite's cancellation to a user */
    struct timespec cascade_since;        /* when prerequisite_cancelled was set */

    /* Maintained by the allocations package, which records the allocations in chunks of the job's tasks. */
    GPtrArray *allocations; /* struct allocation */
    uint8_t *chunk_flags;   /* enum chunk_flag, one byte per chunk */
    int n_recorded_chunks, n_dirty_chunks;
    int chunk_size; /* number of tasks per record; 0: not known yet, the size of the first layout applies */
    struct timespec dirty_since; /* since when a chunk has been waiting to be written */

    /* Maintained by the quarantine package. */
    int failed_tries;          /* number of failed tries since the job became suspect; 0: it is not suspect */
    int failed_tries_recorded; /* failed_tries in the first record of its allocations */
    GPtrArray *failed_on;      /* ids of machines on which tasks failed since a task last succeeded; NULL: none */

    /* Maintained by the owner of its shard. */
    struct timespec retry_at;     /* no task is started before this instant */
    const char *zone;             /* the zone in which machines are rented for a single-zone gang; NULL: not decided */
    int replicas_at_risk;         /* tasks of a service on machines that may be unreachable, which may soon have to be
                                   * started elsewhere */
    bool unplaced;                /* the last scheduling round found no machine for some tasks */
    struct timespec preempted_at; /* when other tasks were last preempted for the job */
};
#endif
