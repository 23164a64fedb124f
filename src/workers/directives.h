/* Decides which directives a machine gets. All functions are called with store_lock held. */
#ifndef FF_WORKERS_DIRECTIVES_H
#define FF_WORKERS_DIRECTIVES_H
#include <stdbool.h>

#include "../json/json.h"
#include "../model/machine.h"

/* The exchange between a worker and its controller that a message belongs to. */
enum worker_channel {
    CHANNEL_HEARTBEAT, /* the worker's heartbeat and the controller's response to it */
    CHANNEL_COMMAND    /* the controller's command and the worker's answer to it */
};

/* Returns whether a start of the allocation's task may be sent: the shard's current owner allocated the task, the
 * worker has not listed it yet, and neither the job nor the machine rules a start out. */
bool directives_awaits_start(const struct allocation *allocation);
/* Builds the list of directives for an owned machine, to be sent over the channel. Records in the machine and its
 * allocations which starts and stops the list contains. The caller frees the list. */
cJSON *directives_build(struct machine *machine, enum worker_channel channel);
/* Adds a stop for each of the machine's unknown tasks (struct unknown_task). */
void directives_add_unknown_stops(const struct machine *machine, cJSON *directives);
/* Returns whether a command that may start tasks is in flight to the machine. */
bool directives_start_in_flight(const struct machine *machine);
/* Returns whether a start in a response to a heartbeat may still reach the machine. */
bool directives_response_start_in_flight(const struct machine *machine);
/* Notes that the worker has carried out or dropped all responses to heartbeats that it sent before this message, a
 * heartbeat or the answer to a command. The worker waits for the response to a heartbeat, or drops it, before it sends
 * the next one, and it drops responses to heartbeats of an earlier incarnation. */
void directives_note_message(struct machine *machine, enum worker_channel channel, int64_t incarnation,
                             int64_t sequence);
/* Writes the name of the allocation's task, JOB/INDEX, to a buffer of n bytes. */
void directives_task_name(const struct allocation *allocation, char *name, size_t n);
#endif
