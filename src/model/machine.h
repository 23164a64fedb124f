/* A machine: what its record says, and what the owner of its shard knows about it. Types only; guarded by store_lock.
 * Times of day are seconds since 1970; values of struct timespec are instants of the monotonic clock. */
#ifndef FF_MODEL_MACHINE_H
#define FF_MODEL_MACHINE_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "allocation.h"
#include "machine_type.h"
#include "token_range.h"

/* Sizes of strings, with the terminating zero. */
#define MACHINE_ID_SIZE 64
#define MACHINE_ADDRESS_SIZE 64
#define ZONE_NAME_SIZE 64

#define MACHINE_OCCUPANCY_SAMPLES 64
/* Allocations of a machine at a time. The limit keeps heartbeats and responses far below 64 KiB. */
#define MACHINE_TASKS_MAX 200
/* Longest list of tasks, ended ones included, with which a machine gets more tasks. The tasks that it may get by then
 * still fit a heartbeat of 64 KiB. */
#define HEARTBEAT_BYTES_MAX 65536
#define LISTED_TASK_BYTES_MAX 128
#define MACHINE_LISTED_TASKS_MAX (HEARTBEAT_BYTES_MAX / LISTED_TASK_BYTES_MAX - MACHINE_TASKS_MAX)
/* The pages of a shard are numbered from 0 to MACHINE_PAGES_MAX - 1. */
#define MACHINE_PAGES_MAX 256

/* State that the machine's agent has reported. Maintained by workers. */
struct machine_agent {
    int64_t incarnation, sequence; /* of the agent's latest message; 0: none received */
    int64_t reported_token;        /* the highest fencing token that the agent has reported */
    GArray *unknown_tasks;         /* struct unknown_task: listed tasks that have no allocation */
    int listed_tasks;              /* number of tasks in the agent's latest list, ended ones included */
};

/* Whether messages reach the controller and the machine. Maintained by workers and liveness. */
struct machine_liveness {
    bool up; /* the agent was heard, or the machine already had allocations when this ownership began */
    struct timespec last_heard;     /* last heartbeat or answer to a command */
    struct timespec last_heartbeat; /* last heartbeat */
    int unanswered_probes;          /* commands in a row that were not answered since last_heard */
    bool heartbeat_acknowledged; /* a heartbeat was answered with 200, so the agent should report the present token */
    int ignored_responses;       /* heartbeats in a row which show that the agent did not receive the responses */
    double preemption_notice_s;  /* from notice_received_at until the cloud reclaims the machine; < 0: no notice */
    struct timespec notice_received_at;
};

/* A start that a command has carried to the agent, and that the agent may still carry out (pending_starts.h). */
struct pending_start {
    int64_t attempt, fencing_token, incarnation;
};

/* Commands to the machine, besides the responses to its heartbeats. Workers send the commands; other packages set
 * send_pending and needs_token_probe to request commands. */
struct machine_commands {
    bool send_pending;      /* directives may have to be sent */
    bool needs_token_probe; /* a probe must be sent, which shows the agent its fencing token and asks for its tasks */
    bool in_flight;         /* a command is being sent or waits for its answer */
    bool probe_in_flight;   /* the command in flight is a probe, which carries no directives */
    struct timespec last_probe;
    bool start_outcome_unknown; /* a start may yet be carried out, under the token and incarnation below */
    int64_t unknown_start_token, unknown_start_incarnation;
    GArray *pending_starts;          /* struct pending_start */
    int64_t raised_token;            /* the machine's current token, if its range of tokens contains it */
    struct timespec token_raised_at; /* when raised_token was last raised */
    bool release_needs_token_raise;  /* only a higher token rules out a start of a task that is not listed */
    bool needs_token_raise;          /* a token above token_raise_above has to be granted by a write */
    int64_t token_raise_above;
    /* Incarnation and sequence of the heartbeat whose response carried starts that may still reach the agent; 0: none.
     */
    int64_t response_start_incarnation, response_start_sequence;
    struct timespec non_owner_stops_sent_at; /* when this controller last sent stops without owning the machine */
};

/* The components of an occupancy sample. */
enum occupancy_component { OCCUPANCY_VCPUS, OCCUPANCY_MEMORY, OCCUPANCY_GPUS, OCCUPANCY_COMPONENTS };

/* Ring buffer of the latest samples. Each component is the allocated fraction of the machine, from 0 to 1. */
struct machine_occupancy {
    double samples[MACHINE_OCCUPANCY_SAMPLES][OCCUPANCY_COMPONENTS];
    int n_samples; /* number of samples ever added; the latest samples overwrite the oldest */
};

/* Progress of the machine's return to the cloud. The autoscaler, liveness and the cloud package request the return, and
 * the machines package records its progress. */
struct machine_retirement {
    bool draining; /* the machine takes no more tasks, and is returned once it is empty */
    struct timespec drain_since;
    bool return_wanted; /* the machine is to be returned */
    bool returning;     /* its record says that it is being returned */
    bool released;      /* the cloud has confirmed the return */
};

/* A planned transfer to another shard. Maintained by rebalancing. */
struct machine_rebalance {
    int target_shard; /* -1: none */
    struct timespec chosen_at;
};

/* Working values of one scheduling round. Maintained by the scheduler. */
struct machine_round {
    bool schedulable;
    bool dirty;                 /* the round adds or releases allocations on the machine */
    bool leaves_page;           /* the machine is left out when its page is written */
    int64_t next_fencing_token; /* the page is written with the range that this token begins; 0: with its present one */
    int next_page;              /* the machine is written to this page; -1: to its present one */
    double occupancy;
    double used_vcpus, used_gpus, used_memory_gb; /* by allocations and planned tasks */
    int used_tasks;                               /* number of allocations and planned tasks */
};

/* A machine. The machines package maintains the members that no comment assigns to another package. */
struct machine {
    char id[MACHINE_ID_SIZE];
    char address[MACHINE_ADDRESS_SIZE]; /* HOST:PORT of its agent; empty: not known */
    char type_name[TYPE_NAME_SIZE], zone[ZONE_NAME_SIZE];
    const struct machine_type *type; /* NULL: not known yet */
    bool spot;
    double created_at;      /* time of day of the rental */
    GPtrArray *allocations; /* struct allocation */
    bool had_task;          /* an allocation on it has been read */
    GHashTable *images;     /* names of the images in its cache */

    /* The machine's record. */
    bool recorded;                    /* a record names the machine; false: only an allocation does */
    struct timespec unrecorded_since; /* since when no record names it; valid if not recorded */
    int shard;                        /* -1: none */
    int page;                         /* page of the shard; -1: the machine has its own record, for a transfer */
    int64_t placement_revision;       /* mod revision of the record that set shard and page */
    int64_t fencing_token;            /* the machine's own, from a transfer or a raise; the shard's may be higher */
    int64_t last_token;               /* the last token of the range that fencing_token begins */
    bool address_unrecorded;          /* its record lacks the known address */

    /* Known to the owner of its shard, and valid only while owned_token is the shard's fencing token. */
    int64_t owned_token;
    struct timespec owned_since; /* since when this controller owns the machine under owned_token */
    struct machine_agent agent;
    struct machine_liveness liveness;
    struct machine_commands commands;
    struct machine_occupancy occupancy;
    struct machine_retirement retirement;
    struct machine_rebalance rebalance;
    struct machine_round round;

    /* Maintained by the quarantine package. */
    struct timespec faulty_since; /* zero: the machine is not faulty */
    GPtrArray *failed_jobs;       /* struct job: jobs whose tasks failed on the machine; NULL: none */
};

/* A machine that was rented or adopted, and is not recorded yet. */
struct unregistered_machine {
    char id[MACHINE_ID_SIZE], address[MACHINE_ADDRESS_SIZE], type_name[TYPE_NAME_SIZE], zone[ZONE_NAME_SIZE];
    bool spot;
    int shard;
    double created_at; /* time of day */
    int page;          /* working value of a scheduling round: the page that it will be written to; -1: none yet */
};

/* Machines of one type, spot or on-demand, that a shard needs in a zone. */
struct rental_request {
    char type_name[TYPE_NAME_SIZE], zone[ZONE_NAME_SIZE];
    bool spot;
    int count, shard;
    int weight; /* requests with a greater weight are made first */
};
#endif
