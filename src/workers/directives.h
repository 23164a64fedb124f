/* Which directives a machine gets. With store_lock held. */
#ifndef FF_WORKERS_DIRECTIVES_H
#define FF_WORKERS_DIRECTIVES_H
#include <stdbool.h>

#include "../json/json.h"
#include "../model/machine.h"

/* How a worker and its controller exchange a message. */
enum worker_channel {
    CHANNEL_HEARTBEAT, /* the worker's heartbeat, and the response to it */
    CHANNEL_COMMAND    /* a command sent straight to the worker, and its answer */
};

/* Allocated by us, and not yet shown by the worker: its start may be sent. */
bool directives_awaits_start(const struct allocation *allocation);
/* What the machine, which is owned, is to do now; remembers what of it is sent. The caller frees the list. */
cJSON *directives_for(struct machine *machine, enum worker_channel channel);
/* Adds a stop of each task that the machine lists and that has no allocation. */
void directives_stop_unknown(const struct machine *machine, cJSON *directives);
/* A command that may carry starts is on its way to the machine. */
bool directives_start_in_flight(const struct machine *machine);
/* JOB/INDEX, the name of the allocation's task. */
void directives_task_name(const struct allocation *allocation, char *name, size_t n);
#endif
