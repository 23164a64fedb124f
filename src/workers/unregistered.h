/* Inspects and adopts machines that send heartbeats but are in no record. */
#ifndef FF_WORKERS_UNREGISTERED_H
#define FF_WORKERS_UNREGISTERED_H
#include "../json/json.h"

/* Called for each heartbeat of such a machine. Queues an inspection of the address if one is due. With store_lock
 * held. */
void unregistered_inspect(const char *machine_id, const char *address);
/* Adopts the machine if the answer to an inspection carries its id, a type and a zone. Without store_lock. */
void unregistered_handle_answer(const char *machine_id, const char *address, const cJSON *answer);
#endif
