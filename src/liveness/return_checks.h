/* For each reason to return a machine, whether it holds. With store_lock held, but for what is pure. */
#ifndef FF_LIVENESS_RETURN_CHECKS_H
#define FF_LIVENESS_RETURN_CHECKS_H
#include <stdbool.h>

#include "../machines/machines.h"
#include "zones.h"

/* What a check of a shard knows beside the machine itself. */
struct shard_check {
    int shard;
    const struct zone_contact *contacts; /* an item a zone */
    bool workers_heard;                  /* it is not this controller that hears nobody */
};

/* Heartbeats arrive, and our responses don't: its lease expires though it is not silent. */
bool return_checks_responses_lost(const struct machine *machine);
/* Notes replicas that may have to start elsewhere soon. */
bool return_checks_unreachable(const struct machine *machine, const struct shard_check *check);
/* Different jobs have failed on it for a while. */
bool return_checks_faulty(struct machine *machine);
bool return_checks_never_came_up(const struct machine *machine);
/* It still runs a task that has to have ended soon. */
bool return_checks_stop_ignored(const struct machine *machine);
/* Pure: whether a cancelled task that a machine still shows makes its return due, that long after the cancellation and
 * after its last heartbeat. */
bool return_checks_stop_overdue(double cancelled_s, double heartbeat_s, double lease_s, double cancel_s);
/* What it holds may have to start elsewhere soon: what replicas need may boot meanwhile. */
void return_checks_note_replicas_at_risk(const struct machine *machine);
#endif
