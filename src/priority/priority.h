/* The order in which unfinished jobs are served: jobs within their team's guarantee first, then by priority, then by
 * due time; suspect jobs last. Called by scheduling rounds, the autoscaler, rebalancing and quota, with store_lock
 * held. */
#ifndef FF_PRIORITY_H
#define FF_PRIORITY_H
#include <glib.h>
#include <stdbool.h>

#include "../model/job.h"
#include "../settings/settings.h"

/* Called once, before the threads start. The caller keeps ownership of the settings. */
void priority_init(const struct settings *settings);

/* Bound on the rounding difference between sums of the same amounts added in a different order. */
#define PRIORITY_SUM_TOLERANCE 1e-6

struct priority_entry {
    struct job *job;
    bool within_guarantee; /* its team's demand, counted from the oldest job to this one, is within the guarantee */
    double due_at;         /* time of day, in seconds since 1970 */
};

/* Return the unfinished jobs of a shard, or of a team in all shards, in the order in which they are served: an array of
 * struct priority_entry that the caller frees. Jobs with unmet dependencies are left out. */
GArray *priority_order_shard(int shard);
GArray *priority_order_team(int team);

/* Sets whether any team is divided over several shards; within_guarantee then counts the jobs of all shards. */
void priority_set_teams_divided(bool divided);

/* Returns whether an objective sets a time by which jobs of this job's class start or end. */
bool priority_has_objective(const struct job *job);
#endif
