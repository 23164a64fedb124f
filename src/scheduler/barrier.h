/* Makes sure that the store no longer carries out a transaction whose outcome is unknown. */
#ifndef FF_SCHEDULER_BARRIER_H
#define FF_SCHEDULER_BARRIER_H
#include "../http/client.h"

/* Called without store_lock, from the scheduler's thread. Rewrites the shard's record, unchanged, to raise its mod
 * revision. Every transaction of the shard's owner compares that revision, so a transaction that is still in flight
 * fails. Clears shard_state.barrier_pending on success; otherwise the next scheduling round tries again. */
void barrier_write(struct http_client *client, int shard);
#endif
