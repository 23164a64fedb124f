/* A scheduling round of a shard's owner. The round is decided with store_lock held and without I/O. Its transactions
 * are sent without store_lock, and each is applied to the mirror, with store_lock held, once the store has committed
 * it. Internal to the package and its tests; the program calls these functions from the scheduler's thread. */
#ifndef FF_SCHEDULER_ROUND_H
#define FF_SCHEDULER_ROUND_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../http/client.h"
#include "../model/job.h"
#include "../settings/settings.h"
#include "../store/store.h"

/* The settings passed to scheduler_init. Read only. */
extern const struct settings *scheduler_settings;

/* With a smaller write budget a round decides nothing, so that the next one puts more changes into each write. */
#define ROUND_WRITES_MIN 2

/* Records that need not be written together share a transaction of at most so many writes. While all controllers
 * together use up the store's rate of changes, the store rejects most larger ones. */
#define ROUND_TRANSACTION_WRITES_MAX 4

struct scheduling_round {
    int shard;
    GArray *planned_tasks;           /* struct planned_task; a job's tasks are adjacent */
    GPtrArray *transactions;         /* struct store_txn, in the order of sending */
    int writes_left;                 /* writes that the store's budget still allows */
    int64_t last_attempt;            /* the highest attempt number issued before this round */
    bool has_deferred_work;          /* another round has to follow at once and do the rest */
    bool one_record_per_transaction; /* because the store has recently rejected a transaction as invalid */
};

/* Decides, sends and applies a round of the shard, if this controller owns it. Returns true if another round should
 * follow at once. Called without store_lock. */
bool scheduling_round_run(struct http_client *client, int shard);

/* The following functions are called with store_lock held. */

/* Decides a round of at most `writes` writes. The caller frees it with scheduling_round_free. */
struct scheduling_round *scheduling_round_decide(int shard, int writes);
/* Applies a transaction of the round, which the store has committed at this revision, to the mirror. */
void scheduling_round_apply(const struct scheduling_round *round, const struct store_txn *transaction,
                            int64_t revision);
/* May also be called without store_lock: only the scheduler's thread uses the round. */
void scheduling_round_free(struct scheduling_round *round);

/* Plans missing tasks on machines with room, in the order of priority, and preempts tasks where there is no room. */
void scheduling_round_plan_jobs(struct scheduling_round *round);

/* Adds the job's unrecorded changes to the transactions: its completion, allocations, completed tasks. */
void scheduling_round_stage_job(struct scheduling_round *round, struct job *job);
/* Adds the changed pages of the shard's machines to the transactions. */
void scheduling_round_stage_pages(struct scheduling_round *round);
#endif
