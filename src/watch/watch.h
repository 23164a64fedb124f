/* Silent machines, failed boots, notices, and whether it is us who hear nobody. */
#ifndef FF_WATCH_H
#define FF_WATCH_H
#include <stdbool.h>

#include "../http/client.h"
#include "../machines/machines.h"

void watch_init(const struct settings *s);
bool watch_try_workers(struct http_client *c); /* without the lock: whether one of a few workers answers */
/* Of the machines of our shards that are up: how many were heard lately, how many have reported, and how long ago the
 * last of them was heard in any way. */
struct watch_hearing {
    int up, heard, reported;
    double newest_s;
};
struct watch_hearing watch_hearing(void); /* with store_lock held */
/* Pure: so many machines are heard that often between them that this long a silence of all is this controller's own. */
bool watch_deaf(int up, double newest_s, double report_s);
/* Pure: after how long without a word from any of so many machines of a zone the zone counts as cut off. */
double watch_zone_silence(int machines, double report_s);
/* Pure: whether a cancelled task that a machine still shows makes its return due, that long after the cancellation and
 * after its last report. */
bool watch_end_overdue(double ended_s, double reported_s, double lease_s, double cancel_s);
double watch_zone_keeps(const char *site);
/* With store_lock held. Nothing is heard of the shard's machines in the zone. */
bool watch_zone_cut(int k, const char *site);
/* With store_lock held. This controller stood still: all silence counts anew from now on. */
void watch_forgive(void);
/* With store_lock held. Finds the shard's machines that are to be returned, given what is heard of all of ours. */
void watch_machines(int k, const struct watch_hearing *hearing);
#endif
