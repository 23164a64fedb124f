/* The order in which waiting jobs are served: within a guarantee first, then by priority, then by when they are due.
 * All with store_lock held. */
#ifndef FF_PRIORITY_H
#define FF_PRIORITY_H
#include <glib.h>
#include <stdbool.h>

#include "../jobs/jobs.h"
#include "../settings/settings.h"

void priority_init(const struct settings *s);

struct priority_entry {
    struct job *job;
    bool within_guarantee; /* its team's guarantee */
    double due;            /* time of day */
};

/* The unfinished jobs of a shard, or of a team in whatever shards they are, in order: an array of struct priority_entry
 * that the caller frees. */
GArray *priority_order_shard(int shard);
GArray *priority_order_team(int team);

/* Whether a team is divided over several shards: then what is within a guarantee is decided over all of them. */
void priority_set_teams_divided(bool any);

/* Somebody expects jobs of its class to start or end by a time. */
bool priority_has_objective(const struct job *job);
bool priority_has_guarantee(const struct settings_team *t);
#endif
