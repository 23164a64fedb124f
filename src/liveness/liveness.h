/* Decides which machines are unreachable and which have to be returned to the cloud, and detects that this controller
 * itself is isolated from the workers. A machine is heard when its heartbeat or its answer to a command arrives; its
 * silence is the time since it was last heard. */
#ifndef FF_LIVENESS_H
#define FF_LIVENESS_H
#include <stdbool.h>

#include "../http/client.h"
#include "../machines/machines.h"

/* Must be called once, before the threads start. The settings are not copied and must stay valid. */
void liveness_init(const struct settings *settings);

/* Probes up to three workers, chosen at random. Returns true if a worker answers or no worker has an address. Called
 * without store_lock, on membership's thread; each worker that does not answer takes up to half a second. */
bool liveness_probe_workers(struct http_client *client);

/* Counts over the machines that are up and not being returned, of all shards that this controller owns. */
struct liveness_summary {
    int up;
    int heard;                 /* machines heard recently, by a heartbeat or the answer to a command */
    int heartbeats_heard;      /* machines with a recent heartbeat */
    double shortest_silence_s; /* time since any of the machines was heard; HUGE_VAL if none is up */
};

/* Returns whether this controller is isolated from its workers: so many machines are up that failed machines cannot
 * explain a silence of all machines for shortest_silence_s. Every machine sends a heartbeat each heartbeat_interval_s.
 * Pure. */
bool liveness_controller_isolated(int n_up, double shortest_silence_s, double heartbeat_interval_s);

/* The functions below are called with store_lock held. */

/* Computes the summary for all owned shards. */
struct liveness_summary liveness_summary(void);
/* Requests the return of the shard's machines that are unreachable, faulty, drained or preempted, and has silent
 * machines probed. The summary covers all owned shards. Called on the scheduler's thread. */
void liveness_check_machines(int shard, const struct liveness_summary *summary);
/* Returns whether the last liveness_check_machines of the shard found the zone unreachable: none of the shard's
 * machines there was heard within the zone's silence limit. Returns false if this controller does not own the shard. */
bool liveness_zone_unreachable(int shard, const char *zone);
/* Restarts the measurement of silence for all machines, after this process was paused. */
void liveness_reset_silence(void);
#endif
