/* Divides a team over several shards with different owners while its limit and guarantee stay exact (docs/quota.md).
 *
 * A team is divided if its record `quota/TEAM` exists. For an undivided team, the functions return its whole limit in
 * its home shard, and restrict nothing else. */
#ifndef FF_QUOTA_H
#define FF_QUOTA_H
#include <stdbool.h>

#include "../http/client.h"
#include "../machines/machines.h"
#include "../store/store.h"

/* Called once, before the threads start. Keeps the pointer to the settings. */
void quota_init(const struct settings *settings);

/* The functions up to quota_log_status are called with store_lock held. */

/* Returns whether the team is divided over several shards. */
bool quota_divided(int team);
/* Returns whether any team was divided at the last quota_refresh. */
bool quota_any_divided(void);
/* Returns the shard of a job of the team that is accepted now. */
int quota_shard_for_new_job(int team, const char *job_id);
/* Measures the demand of all divided teams. A scheduling round calls it before it plans. */
void quota_refresh(void);

/* The amounts that a team's tasks in one shard may use in total; INFINITY: no limit. */
struct quota_bound {
    double vcpus, gpus;
};
struct quota_bound quota_bound(int team, int shard);

/* Returns whether capacity is reserved for the job until all of it fits. Until then the scheduler starts no tasks of
 * later jobs of the team that use scarce capacity. */
bool quota_reserves_for(const struct job *job);
/* Returns whether the job uses a scarce resource, of which the team's limit does not cover the demand of all its
 * waiting jobs. */
bool quota_uses_scarce_capacity(const struct job *job);

/* Returns whether preempting the task for another team's guarantee leaves its own team the guarantee. Always true for a
 * task of an undivided team. */
bool quota_may_preempt(const struct allocation *allocation);
/* Returns whether preempting all tasks on the machine together leaves their teams the guarantees. Tasks below
 * `priority` may be preempted in any case. */
bool quota_may_preempt_machine(const struct machine *machine, enum job_priority priority);
/* Counts the task as stopping until the next measurement. */
void quota_count_as_stopping(const struct allocation *allocation);

/* Returns whether the bound of the job's shard allows this many more tasks of the job, so that more machines would help
 * the job. */
bool quota_allows_tasks(const struct job *job, int tasks);

/* Adds the record of the divided teams in this controller's settings to the transaction. Returns false if the record is
 * up to date. */
bool quota_publish_views(struct store_txn *txn);
/* Logs a status line for each divided team whose home shard this controller owns. */
void quota_log_status(void);

/* Writes at most one change of each team's record, and moves waiting jobs to the shards that they now belong in. Called
 * without store_lock, between scheduling rounds and on their thread, so that this controller has no allocation in
 * flight. */
void quota_commit_changes(struct http_client *client);
#endif
