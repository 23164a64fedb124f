/* A shard: the unit in which machines and teams' jobs belong to one controller, its owner. Types only. */
#ifndef FF_MODEL_SHARD_H
#define FF_MODEL_SHARD_H
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define SHARDS_MAX 64

/* What the owner remembers of a shard. Guarded by store_lock. */
struct shard_state {
    int64_t fencing_token;
    int64_t next;         /* counter of the attempts under this fencing token: that of the latest; 0: none yet */
    bool barrier_pending; /* a transaction's outcome is unknown: nothing more before the shard's mod revision has moved
                           */
    int64_t conflict_revision; /* the store's, when it last rejected a write for its conditions */
    struct timespec since, rebalanced_at, compacted_at;
    struct timespec isolated_until; /* until then a transaction holds one record: one was rejected as malformed */
    struct timespec suspicion_at;   /* when a machine last failed to answer for the first time */
    bool fit_nowhere;               /* tasks found no place in the last round */
};
#endif
