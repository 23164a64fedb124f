/* Silent machines, failed boots, notices, and whether it is us who hear nobody. */
#ifndef FF_LIVENESS_H
#define FF_LIVENESS_H
#include <stdbool.h>

#include "../http/client.h"
#include "../machines/machines.h"

void liveness_init(const struct settings *s);
bool liveness_probe_workers(struct http_client *c); /* without the lock: whether one of a few workers answers */
/* Of the machines of our shards that are up: how many were heard lately, how many have reported, and how long ago the
 * last of them was heard in any way. */
struct liveness_summary {
    int up, heard, reported;
    double newest_s;
};
struct liveness_summary liveness_summary(void); /* with store_lock held */
/* Pure: so many machines are heard that often between them that this long a silence of all is this controller's own. */
bool liveness_controller_isolated(int up, double newest_s, double report_s);
/* Pure: after how long without a word from any of so many machines of a zone the zone counts as cut off. */
double liveness_zone_silence_s(int machines, double report_s);
/* Pure: whether a cancelled task that a machine still shows makes its return due, that long after the cancellation and
 * after its last report. */
bool liveness_stop_overdue(double ended_s, double reported_s, double lease_s, double cancel_s);
double liveness_zone_grace_s(const char *site);
/* With store_lock held. Nothing is heard of the shard's machines in the zone. */
bool liveness_zone_unreachable(int k, const char *site);
/* With store_lock held. This controller stood still: all silence counts anew from now on. */
void liveness_reset_silence(void);
/* With store_lock held. Finds the shard's machines that are to be returned, given what is heard of all of ours. */
void liveness_check_machines(int k, const struct liveness_summary *hearing);
#endif
