/* The order in which waiting jobs are served: within a team's guarantee first, then by priority, then by when they are
 * due. Called by scheduling rounds, the autoscaler, rebalancing and quota, with store_lock held. */
#ifndef FF_PRIORITY_H
#define FF_PRIORITY_H
#include <glib.h>
#include <stdbool.h>

#include "../model/job.h"
#include "../settings/settings.h"

/* Once, before the threads start. The settings stay the caller's. */
void priority_init(const struct settings *settings);

/* Sums of the same amounts of a team in another order may differ by less than this. */
#define PRIORITY_SUM_TOLERANCE 1e-6

struct priority_entry {
    struct job *job;
    bool within_guarantee; /* with all that comes before it, its team stays within its guarantee */
    double due;            /* time of day */
};

/* The unfinished jobs of a shard, or of a team in whatever shards they are, in order: an array of struct priority_entry
 * that the caller frees. Jobs with unmet dependencies are left out. */
GArray *priority_order_shard(int shard);
GArray *priority_order_team(int team);

/* Whether a team is divided over several shards: then what is within a guarantee is decided over all of them. */
void priority_set_teams_divided(bool any);

/* Whether jobs of its class are expected to start or end by a time. */
bool priority_has_objective(const struct job *job);
#endif
