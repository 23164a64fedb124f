/* What follows a transaction of unknown outcome. */
#ifndef FF_SCHEDULER_BARRIER_H
#define FF_SCHEDULER_BARRIER_H
#include "../http/client.h"

/* Without the lock, from the scheduler's thread. Moves the mod revision of the shard's record, which all of its owner's
 * transactions compare, so that one that is still on its way fails. Once that is written the barrier is no longer
 * pending; otherwise it is tried again with the next scheduling round. */
void barrier_try(struct http_client *client, int shard);
#endif
