/* A shard: the unit in which machines and the jobs of teams are assigned to one controller, its owner. Types only;
 * guarded by store_lock. */
#ifndef FF_MODEL_SHARD_H
#define FF_MODEL_SHARD_H
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define SHARDS_MAX 64

/* The state that the owner of a shard keeps in memory only. Values of struct timespec are instants of the monotonic
 * clock. */
struct shard_state {
    int64_t fencing_token;       /* the token under which all of this state was collected */
    struct timespec owned_since; /* since when this controller owns the shard under fencing_token */
    int64_t attempt_counter;     /* counter of the latest attempt under fencing_token (attempt.h); 0: none yet */

    /* Maintained by the scheduler. */
    bool barrier_pending; /* the outcome of a transaction is unknown: none is sent until the shard's mod revision has
                           * risen */
    int64_t conflict_revision;          /* store revision when a write was last rejected for its conditions; 0: never */
    struct timespec one_record_until;   /* until then, a transaction writes one record, because a write was rejected as
                                         * malformed */
    struct timespec deferred_writes_at; /* when a scheduling round last included the deferred writes of machine pages */
    bool has_unplaced_tasks;            /* the last scheduling round found no machine for some tasks */

    struct timespec rebalance_searched_at; /* when rebalancing last searched for machines to transfer to other shards */
    struct timespec machine_suspected_at;  /* when a machine last began to leave commands unanswered; set by workers */
};
#endif
