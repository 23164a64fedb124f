/* The owner's rounds: rank, plan, write, apply. */
#ifndef FF_ROUNDS_H
#define FF_ROUNDS_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../machines/machines.h"

void rounds_init(const struct settings *s);
void rounds_start(void);
void rounds_kick(void);

/* With store_lock held. */
struct rounds_ranked {
    struct job *j;
    bool within;
    double due; /* time of day */
};
GArray *rounds_rank(int k);               /* the shard's unfinished jobs in order */
GArray *rounds_rank_team(int team);       /* a team's, in whatever shards they are */
int rounds_missing(const struct job *j);  /* tasks neither done nor allocated */
bool rounds_has_aim(const struct job *j); /* somebody expects jobs of its class to start or end by a time */
bool rounds_has_guarantee(const struct settings_team *t);
struct machine *rounds_reception(int k);
void rounds_scratch(int k);
/* One round's decisions, with no I/O: at most so many changes. */
struct round;
struct round *rounds_decide(int k, int left);
int rounds_planned(const struct round *r, const char *job_id); /* tasks it allocates; uid NULL: of all jobs */
int rounds_changes(const struct round *r);
int rounds_largest(const struct round *r);                   /* changes of its largest transaction */
const GPtrArray *rounds_transactions(const struct round *r); /* struct store_txn, in the order in which they are sent */
void rounds_apply(const struct round *r, const struct store_txn *t, int64_t revision); /* it was written */
void rounds_round_free(struct round *r);
int64_t rounds_gang_open(const struct job *j);
#endif
