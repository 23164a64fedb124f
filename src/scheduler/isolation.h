/* Detects whether this controller is isolated from the workers. */
#ifndef FF_SCHEDULER_ISOLATION_H
#define FF_SCHEDULER_ISOLATION_H
#include <time.h>

#include "../liveness/liveness.h"

/* State of the detection. Used by the scheduler's thread only. */
struct isolation_watch {
    struct timespec workers_last_heard; /* when enough workers last sent heartbeats, or the store was unreachable */
};

/* Initializes the detection: the workers count as heard now. */
void isolation_watch_start(struct isolation_watch *watch);

/* Called with store_lock held. Records in membership that this controller is isolated, so that other controllers take
 * over its shards: at once if none of many machines sends anything, after a heartbeat interval if most send no
 * heartbeats. */
void isolation_watch_check(struct isolation_watch *watch, const struct liveness_summary *summary);
#endif
