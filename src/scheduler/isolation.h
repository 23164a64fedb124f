/* Whether this controller is isolated from the workers. */
#ifndef FF_SCHEDULER_ISOLATION_H
#define FF_SCHEDULER_ISOLATION_H
#include <time.h>

#include "../liveness/liveness.h"

/* What the watch remembers; its thread's own. */
struct isolation_watch {
    struct timespec workers_heard; /* when enough workers last sent heartbeats, or it could not be judged */
};

/* Begins to watch: counts as heard now. */
void isolation_watch_start(struct isolation_watch *watch);

/* With store_lock held. A controller that hears none of its workers leaves its shards to others: at once where not one
 * of many is heard in any way, after a heartbeat interval where most send no heartbeats. */
void isolation_watch_check(struct isolation_watch *watch, const struct liveness_summary *summary);
#endif
