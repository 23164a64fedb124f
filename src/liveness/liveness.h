/* Which machines can be reached, which have to be returned, and whether it is this controller that hears nobody. */
#ifndef FF_LIVENESS_H
#define FF_LIVENESS_H
#include <stdbool.h>

#include "../http/client.h"
#include "../machines/machines.h"

/* Called before the threads are started; the settings must outlive them. */
void liveness_init(const struct settings *settings);

/* Whether one of a few workers, chosen at random, answers a probe; true also if none has an address. Without the lock,
 * on membership's thread; takes up to half a second for each that does not answer. */
bool liveness_probe_workers(struct http_client *client);

/* What is heard of the machines of owned shards that are up. */
struct liveness_summary {
    int up;
    int heard;            /* lately, in any way */
    int heartbeats_heard; /* lately, by a heartbeat */
    double newest_s;      /* since any of them was heard in any way; HUGE_VAL: there are none */
};

/* Pure: so many machines are heard that often between them that this long a silence of all is this controller's own.
 * heartbeat_interval_s: of each machine. */
bool liveness_controller_isolated(int n_up, double newest_s, double heartbeat_interval_s);

/* All of these with store_lock held. */

/* Of all machines of owned shards. */
struct liveness_summary liveness_summary(void);
/* Finds the shard's machines that are to be returned, given what is heard of all machines of owned shards; has silent
 * ones probed. On the scheduler's thread. */
void liveness_check_machines(int shard, const struct liveness_summary *summary);
/* Nothing is heard of the shard's machines in the zone, as of the last check of the shard. */
bool liveness_zone_unreachable(int shard, const char *zone);
/* This controller was paused: all silence counts anew from now on. */
void liveness_reset_silence(void);
#endif
