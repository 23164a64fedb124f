/* The reasons to return a machine to the cloud, with one check for each. Called with store_lock held, except for pure
 * functions. */
#ifndef FF_LIVENESS_RETURN_CHECKS_H
#define FF_LIVENESS_RETURN_CHECKS_H
#include <stdbool.h>

#include "../machines/machines.h"
#include "zones.h"

/* The state of a shard that the checks of its machines need. */
struct shard_check {
    int shard;
    const struct zone_contact *contacts; /* one per zone */
    bool workers_heard;                  /* false: this controller may be isolated from the workers */
};

/* Returns whether heartbeats of the machine arrive but responses do not reach it: its lease expires although it is not
 * silent.
 */
bool return_checks_responses_lost(const struct machine *machine);
/* Returns whether the machine has been unreachable for so long that it is returned; false while this controller may be
 * isolated. Also notes the replicas on the machine as at risk if its zone has been unreachable for some time. */
bool return_checks_unreachable(const struct machine *machine, const struct shard_check *check);
/* Returns whether the machine has been faulty for some time, because tasks of different jobs fail on it. Sets its
 * faulty_since. */
bool return_checks_faulty(struct machine *machine);
/* Returns whether the machine should have booted by now and this controller has not heard it yet. */
bool return_checks_never_came_up(const struct machine *machine);
/* Returns whether the machine still lists a cancelled task whose cancellation deadline is near. */
bool return_checks_stop_ignored(const struct machine *machine);
/* Returns whether a machine has to be returned because it still lists a task that was cancelled cancelled_s ago.
 * heartbeat_s is the time since its last heartbeat, cancel_s the time in which a cancelled task has to end. Pure. */
bool return_checks_stop_overdue(double cancelled_s, double heartbeat_s, double lease_s, double cancel_s);
/* Counts the replicas on the machine in replicas_at_risk of their jobs: they may have to start elsewhere soon, and
 * machines for the replicas can be booted in the meantime. */
void return_checks_note_replicas_at_risk(const struct machine *machine);
#endif
