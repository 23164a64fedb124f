/* Detects whether this controller is isolated from the workers. */
#ifndef FF_SCHEDULER_ISOLATION_H
#define FF_SCHEDULER_ISOLATION_H
#include <time.h>

#include "../liveness/liveness.h"

/* State of the detection. Used by the scheduler's thread only. */
struct isolation_watch {
    /* When enough workers last sent heartbeats, or the last store read was too old. */
    struct timespec workers_last_heard;
};

/* Initializes the detection: the workers count as heard now. */
void isolation_watch_start(struct isolation_watch *watch);

/* Called with store_lock held. Records in membership that this controller is isolated, so that other controllers take
 * over its shards: at once if liveness_controller_isolated finds it isolated, otherwise after a heartbeat interval in
 * which most machines sent no heartbeats. */
void isolation_watch_check(struct isolation_watch *watch, const struct liveness_summary *summary);
#endif
