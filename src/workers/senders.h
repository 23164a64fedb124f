/* The senders: threads that send commands to workers and process the answers. */
#ifndef FF_WORKERS_SENDERS_H
#define FF_WORKERS_SENDERS_H
#include <stdbool.h>

/* Starts the threads. */
void senders_start(void);
/* Returns whether a command may still be sent, age_s seconds after it was created. owned: the machine is still owned
 * under the same fencing token of the shard; may_start: the result of membership_may_start_tasks. Pure. */
bool senders_command_still_valid(bool has_start, double age_s, bool owned, bool may_start);
#endif
