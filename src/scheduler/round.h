/* A scheduling round of a shard's owner: decided with store_lock held and without I/O, sent without the lock, and each
 * transaction applied with the lock held once the store has written it. Internal to the package and its tests; the
 * program calls all of this from the scheduler's thread. */
#ifndef FF_SCHEDULER_ROUND_H
#define FF_SCHEDULER_ROUND_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../http/client.h"
#include "../model/job.h"
#include "../settings/settings.h"
#include "../store/store.h"

/* Those given to scheduler_init. Read only. */
extern const struct settings *scheduler_settings;

/* With less budget than this a round decides nothing: the more has gathered, the more the next one carries. */
#define LEAST_WRITES 2

struct scheduling_round {
    int shard;
    GArray *plans;           /* struct planned_task; those of a job follow one another */
    GPtrArray *transactions; /* struct store_txn, in the order in which they are sent */
    int writes_left;         /* writes that the store's budget still allows */
    int64_t last_attempt;    /* given out before this round: its own attempts are above */
    bool more_waits;         /* what was left out goes into the next round, which follows at once */
    bool isolated;           /* one record a transaction: the store has rejected one of them as malformed lately */
};

/* Without the lock. A round of the shard, sent and applied; nothing if the shard is not owned. True if another should
 * follow at once. */
bool scheduling_round_run(struct http_client *client, int shard);

/* All of the following with store_lock held. */

/* Decides a round of at most so many writes. The caller frees it with scheduling_round_free. */
struct scheduling_round *scheduling_round_decide(int shard, int writes);
/* Takes a transaction of the round into the mirror: the store has written it at this revision. */
void scheduling_round_apply(const struct scheduling_round *round, const struct store_txn *transaction,
                            int64_t revision);
/* Also without the lock: the round is its thread's own. */
void scheduling_round_free(struct scheduling_round *round);

/* Plans tasks of what waits and has room, in the order of priority, and preempts work for it. */
void scheduling_round_plan_jobs(struct scheduling_round *round);

/* Writes what is known of a job: completions, allocations that came and went, tasks that are done. */
void scheduling_round_commit_job(struct scheduling_round *round, struct job *job);
/* Writes the pages of the shard's machines. */
void scheduling_round_commit_pages(struct scheduling_round *round);
#endif
