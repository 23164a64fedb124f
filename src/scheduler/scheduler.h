/* The owner's rounds: rank, plan, write, apply. */
#ifndef FF_SCHEDULER_H
#define FF_SCHEDULER_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../machines/machines.h"

void scheduler_init(const struct settings *s);
void scheduler_start(void);
void scheduler_wake(void);

/* With store_lock held. */
struct ranked_job {
    struct job *job;
    bool within;
    double due; /* time of day */
};
GArray *scheduler_order_jobs(int k);                 /* the shard's unfinished jobs in order */
GArray *scheduler_order_team_jobs(int team);         /* a team's, in whatever shards they are */
int scheduler_missing_tasks(const struct job *job);  /* tasks neither done nor allocated */
bool scheduler_has_objective(const struct job *job); /* somebody expects jobs of its class to start or end by a time */
bool scheduler_has_guarantee(const struct settings_team *t);
struct machine *scheduler_reception(int k);
void scheduler_prepare_machines(int k);
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
int64_t scheduler_open_gang_attempt(const struct job *job);
#endif
