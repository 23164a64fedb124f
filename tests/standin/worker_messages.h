/* A machine of ours with allocations, and messages of its worker: what tests of src/workers begin from. */
#ifndef FF_STANDIN_WORKER_MESSAGES_H
#define FF_STANDIN_WORKER_MESSAGES_H
#include <stdbool.h>
#include <stdint.h>

#include "machines/machines.h"
#include "workers/directives.h"

/* The record of a queued job of team red, which is shard 0's. */
#define WORKER_JOB(job_id, shape, n)                                                                               \
    "{\"spec\":{\"uid\":\"" job_id "\",\"jobclass\":\"c\",\"owner\":\"red\",\"shape\":\"" shape                    \
    "\",\"rank\":\"high\",\"tasks\":" n                                                                            \
    ",\"vcpus\":1,\"gpus\":1,\"memory_gb\":1,\"image\":\"i\",\"pull_gb\":1,"                                       \
    "\"together\":false,\"spread\":false,\"reclaimable\":false,\"runtime_s\":1,\"checkpoint_s\":0,\"flush_s\":0}," \
    "\"state\":\"queued\",\"done\":\"00\",\"at\":1}"

/* Task 0 of req-10001 as a worker lists it, and its allocation on the machine. */
#define LISTED(state) "{\"task\":\"req-10001/0\",\"try\":5,\"state\":\"" state "\"}"
#define ALLOCATED(id) "0@" id "+0"

/* All with store_lock held. */

/* One machine on a page of its own, with allocations of one job from attempt 5 on, started by us unless inherited. */
struct machine *worker_machine(const char *id, const char *job_id, const char *allocations, bool inherited);
/* The page and the job's allocations go. */
void worker_machine_gone(const char *job_id);
/* The job's record says cancelled from now on. */
void worker_cancel_job(const char *job_id, const char *record);
/* Takes in a message of the worker; what reconciliation_apply says to it. */
bool worker_message(struct machine *machine, int incarnation, int sequence, int64_t fencing_token, const char *tasks,
                    enum worker_channel channel);
/* How many such directives the response to a heartbeat would carry. */
int worker_directives(struct machine *machine, const char *verb);
#endif
