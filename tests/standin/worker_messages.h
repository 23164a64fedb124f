/* Fixture for the tests of src/workers: an owned machine with allocations, and messages of its worker. */
#ifndef FF_STANDIN_WORKER_MESSAGES_H
#define FF_STANDIN_WORKER_MESSAGES_H
#include <stdbool.h>
#include <stdint.h>

#include "machines/machines.h"
#include "workers/directives.h"

/* The record of a queued job of team red, which belongs to shard 0. */
#define WORKER_JOB(job_id, shape, n)                                                                               \
    "{\"spec\":{\"uid\":\"" job_id "\",\"jobclass\":\"c\",\"owner\":\"red\",\"shape\":\"" shape                    \
    "\",\"rank\":\"high\",\"tasks\":" n                                                                            \
    ",\"vcpus\":1,\"gpus\":1,\"memory_gb\":1,\"image\":\"i\",\"pull_gb\":1,"                                       \
    "\"together\":false,\"spread\":false,\"reclaimable\":false,\"runtime_s\":1,\"checkpoint_s\":0,\"flush_s\":0}," \
    "\"state\":\"queued\",\"done\":\"00\",\"at\":1}"

/* Task 0 of job req-10001, attempt 5: its entry in a worker's message, and its allocation to a machine. */
#define WORKER_LISTED_TASK(state) "{\"task\":\"req-10001/0\",\"try\":5,\"state\":\"" state "\"}"
#define WORKER_ALLOCATION(id) "0@" id "+0"

/* The functions below are called with store_lock held. */

/* Adds a machine, the only machine of its page, with allocations of one job from attempt 5 on. The allocations were
 * made by this owner, or inherited from the shard's previous owner. */
struct machine *worker_add_machine(const char *id, const char *job_id, const char *allocations, bool inherited);
/* Removes the machine's page and the job's allocations. */
void worker_remove_machine(const char *job_id);
/* Changes the state in the job's record (WORKER_JOB) from queued to cancelled. */
void worker_cancel_job(const char *job_id, const char *record);
/* Applies a message of the worker that lists these tasks. Returns the result of reconciliation_apply. */
bool worker_apply_message(struct machine *machine, int incarnation, int sequence, int64_t fencing_token,
                          const char *tasks, enum worker_channel channel);
/* Number of directives with this verb in the response to a heartbeat. */
int worker_count_directives(struct machine *machine, const char *verb);
/* Number of directives with this verb in a command. */
int worker_count_command_directives(struct machine *machine, const char *verb);
#endif
