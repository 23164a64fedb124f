/* One round of an owner: decided under the lock, written outside it, applied once written. Internal to this slice. */
#ifndef FF_SCHEDULER_ROUND_H
#define FF_SCHEDULER_ROUND_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../placement/placement.h"
#include "scheduler.h"

extern const struct settings *scheduler_settings;

struct scheduling_round {
    int shard;
    GArray *plans;           /* planned_task */
    GPtrArray *transactions; /* store_txn */
    int writes_left;         /* changes that the budget allows */
    int64_t first;           /* attempts above this one are this round's */
    bool more;
    bool isolated; /* one record a transaction: the service has refused one of them lately */
};

/* The transaction that the next so many changes and conditions go into: the last one while it has room. */
struct store_txn *scheduling_round_txn(struct scheduling_round *r, int writes, int comparisons);
void scheduling_round_txn_free(gpointer txn);

/* Books what waits and has room, in order, and lets lower work make way. */
void scheduling_round_plan_jobs(struct scheduling_round *r, int k);

/* Writes what is known of a job: completions, allocations that came and went, done tasks. */
void scheduling_round_commit_job(struct scheduling_round *r, struct job *j);
/* Writes the pages of the shard's machines. */
void scheduling_round_commit_pages(struct scheduling_round *r, int k);

/* Keys whose write the service has refused as malformed: left alone for a while. */
#define REJECTED_KEY_PAUSE_S 5.0
bool scheduling_round_rejected_lately(const char *key);
void scheduling_round_note_rejected(const struct store_txn *t);
#endif
