/* The owner's rounds: rank, plan, write, apply. */
#ifndef FF_SCHEDULER_H
#define FF_SCHEDULER_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../machines/machines.h"

void scheduler_init(const struct settings *s);
void scheduler_start(void);

/* With store_lock held. */
/* One round's decisions, with no I/O: at most so many changes. */
struct scheduling_round;
struct scheduling_round *scheduler_decide(int k, int left);
int scheduler_planned_tasks(const struct scheduling_round *r,
                            const char *job_id); /* tasks it allocates; uid NULL: of all jobs */
int scheduler_round_writes(const struct scheduling_round *r);
int scheduler_largest_transaction(const struct scheduling_round *r); /* changes of its largest transaction */
const GPtrArray *scheduler_round_transactions(
    const struct scheduling_round *r); /* struct store_txn, in the order in which they are sent */
void scheduler_apply(const struct scheduling_round *r, const struct store_txn *t,
                     int64_t revision); /* it was written */
void scheduler_round_free(struct scheduling_round *r);
#endif
