/* Teams divided over several shards with different owners, their limit and guarantee still exact (docs/quota.md).
 *
 * A team is undivided unless its record `quota/TEAM` exists: then everything here answers as if this package were not
 * there. */
#ifndef FF_QUOTA_H
#define FF_QUOTA_H
#include <stdbool.h>

#include "../http/client.h"
#include "../machines/machines.h"
#include "../store/store.h"

/* Once, before the threads start. The settings stay the caller's. */
void quota_init(const struct settings *settings);

/* All with store_lock held. */

/* Whether the team, or any team, is divided over several shards. */
bool quota_divided(int team);
bool quota_any_divided(void);
/* The shard of a job that is accepted now. */
int quota_shard_of_new(int team, const char *job_id);
/* Measures the divided teams' jobs anew: before a scheduling round asks. */
void quota_refresh(void);

/* How much a team's tasks in a shard may use in all; INFINITY: no limit. */
struct quota_bound {
    double vcpus, gpus;
};
struct quota_bound quota_bound(int team, int shard);

/* Capacity is reserved for the job until all of it fits. What comes after it in order, and counts against what is
 * scarce, starts nothing meanwhile. */
bool quota_reserves_for(const struct job *job);
bool quota_counts_scarce(const struct job *job);

/* Whether a task of a divided team may be preempted for another team's guarantee. */
bool quota_may_preempt(const struct allocation *allocation);
/* The same for all tasks on a machine that are not preempted by priority alone. */
bool quota_may_preempt_all(const struct machine *machine, enum job_priority priority);
/* Counts the task as stopping from now on. */
void quota_note_preempted(const struct allocation *allocation);

/* The shard's allotment has room for so many more tasks of the job: machines would help it. */
bool quota_waits_for_machines(const struct job *job, int tasks);

/* Adds the record of what our own settings say to the transaction; false if there is nothing to write. */
bool quota_announce(struct store_txn *txn);
/* Logs the status lines of the teams whose home shard is owned here. */
void quota_log_status(void);

/* Without the lock. Writes at most one change for each divided team, and moves what is left in closing shards. Called
 * between an owner's scheduling rounds, on their thread, so that no allocation of ours is under way meanwhile. */
void quota_commit_changes(struct http_client *client);
#endif
