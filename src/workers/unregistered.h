/* Machines that send heartbeats and that no record names. */
#ifndef FF_WORKERS_UNREGISTERED_H
#define FF_WORKERS_UNREGISTERED_H
#include "../json/json.h"

/* Has such a machine inspected, now or at one of its next heartbeats. With store_lock held. */
void unregistered_inspect(const char *machine_id, const char *address);
/* Adopts the machine if the answer to an inspection is its own. Without the lock. */
void unregistered_take_answer(const char *machine_id, const char *address, const cJSON *answer);
#endif
