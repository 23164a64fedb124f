/* A shard: the unit in which machines and teams' jobs belong to one controller, its owner. Types only; guarded by
 * store_lock. */
#ifndef FF_MODEL_SHARD_H
#define FF_MODEL_SHARD_H
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define SHARDS_MAX 64

/* What the owner remembers of a shard: nothing of it is on record. Instants are of the steady clock. */
struct shard_state {
    int64_t fencing_token;       /* under which all of this is known */
    struct timespec owned_since; /* since when the shard is owned under it */
    int64_t attempt_counter;     /* of the latest attempt under it (attempt.h); 0: none yet */

    /* Kept by the scheduler. */
    bool
        barrier_pending; /* a transaction's outcome is unknown: none is sent until the shard's mod revision has risen */
    int64_t conflict_revision;      /* the store's, when it last rejected a write for its conditions; 0: never */
    struct timespec isolated_until; /* until then a transaction holds one record: one was rejected as malformed */
    struct timespec compacted_at;   /* when pages of machines were last compacted */
    bool fit_nowhere;               /* tasks found no place in the last scheduling round */

    struct timespec rebalanced_at; /* when machines were last picked for other shards; kept by rebalancing */
    struct timespec suspicion_at;  /* when a machine last failed to answer for the first time; kept by workers */
};
#endif
