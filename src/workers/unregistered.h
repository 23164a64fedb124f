/* Inspects and adopts unregistered machines, which send heartbeats but are in no record. */
#ifndef FF_WORKERS_UNREGISTERED_H
#define FF_WORKERS_UNREGISTERED_H
#include "../json/json.h"

/* Queues an inspection of the address if one is due. Called for each heartbeat of an unregistered machine, with
 * store_lock held. */
void unregistered_inspect(const char *machine_id, const char *address);
/* Adopts the machine if the answer to an inspection contains the machine's id, a type and a zone. Called without
 * store_lock. */
void unregistered_handle_answer(const char *machine_id, const char *address, const cJSON *answer);
#endif
