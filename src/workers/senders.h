/* Threads that send commands to workers and take in their answers. */
#ifndef FF_WORKERS_SENDERS_H
#define FF_WORKERS_SENDERS_H
#include <stdbool.h>

/* Starts the threads. */
void senders_start(void);
/* Pure: whether a command may still be sent, age_s after it was decided on. owned: under the same fencing token of the
 * shard as then; may_start: membership_may_start_tasks. */
bool senders_command_still_valid(bool has_start, double age_s, bool owned, bool may_start);
#endif
