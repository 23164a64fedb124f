/* Teams divided over several shards with different owners, their limit and guarantee still exact (docs/quota.md).
 *
 * A team is undivided unless its record `quota/TEAM` exists: then everything here answers as if this slice were not
 * there. */
#ifndef FF_QUOTA_H
#define FF_QUOTA_H
#include <stdbool.h>

#include "../http/client.h"
#include "../machines/machines.h"

void quota_init(const struct settings *s);

/* All with store_lock held. */
bool quota_divided(int team);
bool quota_any_divided(void);
/* The shard of a job that is accepted now. */
int quota_shard_of_new(int team, const char *job_id);
/* Looks at the divided teams' jobs again: before a round's questions. */
void quota_refresh(void);
/* How much the team's tasks in a shard may use in all; INFINITY: no limit. */
struct quota_bound {
    double vcpus, gpus;
};
struct quota_bound quota_bound(int team, int shard);
/* The job that room is held back for until all of it fits. What comes after it in order, and counts against what is
 * scarce, starts nothing meanwhile. */
bool quota_reserves_for(const struct job *j);
bool quota_counts_scarce(const struct job *j);
/* Whether a task of a divided team may be stopped for another team's guarantee; counts it as stopped in
 * quota_note_preempted.
 */
bool quota_may_preempt(const struct allocation *b);
void quota_note_preempted(const struct allocation *b);
/* The same for all on a machine that does not make way by its rank alone. */
bool quota_may_preempt_all(const struct machine *m, enum job_priority rank);
/* The shard's part of the team's limit has room for so many more tasks of the job: machines would help it. */
bool quota_waits_for_machines(const struct job *j, int tasks);
/* Adds the record of our own settings' view; false if there is nothing to write. */
bool quota_announce(struct store_txn *t);

/* Without the lock: writes at most one change for each divided team, and moves what is left in closing shards. Called
 * between an owner's rounds, by their thread, so that no allocation of ours is under way meanwhile. */
void quota_commit_changes(struct http_client *c);
void quota_log_status(void); /* the periodic lines */
#endif
