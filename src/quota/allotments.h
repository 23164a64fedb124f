/* The allotments of a divided team's limit and guarantee: escrow. Each shard holds an allotment of the limit and
 * allocates against it without asking. Pure: no I/O, no clock, no state.
 *
 * Invariant of every record: allotments plus unassigned = limit, and the same for the guarantee. Allotments are never
 * negative; `unassigned` of the limit is, where the limit was lowered below what the shards hold. */
#ifndef FF_QUOTA_ALLOTMENTS_H
#define FF_QUOTA_ALLOTMENTS_H
#include <stdbool.h>
#include <stdint.h>

#include "amount.h"

#define QUOTA_SHARDS_MAX 16 /* of a team: its record stays below 1 KiB */

struct quota_allotment {
    int shard;
    struct quota_amount limit, guarantee;
};

struct quota_record {
    int64_t epoch; /* rises with every change of the limit, the guarantee or the number of shards */
    int shards;    /* the first so many of the team's shards take new jobs; allotments of others are closing */
    struct quota_amount limit, guarantee;
    struct quota_amount unassigned, guarantee_unassigned;
    struct quota_allotment allotments[QUOTA_SHARDS_MAX];
    int n_allotments;
};

/* The shard that holds the i-th part of a team: the first is the team's home, its only one where it is undivided. */
int quota_shard_at(int home, int size, int index);
/* The shard of a new job, by its id. */
int quota_shard_for(const char *job_id, int home, int size, int shards);

/* NULL, or what contradicts the invariant. */
const char *quota_record_fault(const struct quota_record *record);
/* Where the shard stands among the record's allotments; -1: it has none. */
int quota_allotment_index(const struct quota_record *record, int shard);
struct quota_allotment *quota_allotment_of(struct quota_record *record, int shard); /* NULL: none */
bool quota_allotment_closing(const struct quota_record *record, int home, int size, int shard);

/* The first record of a team: its home holds the whole limit, as it did before. */
struct quota_record quota_record_create(int home, int size, int shards, struct quota_amount limit,
                                        struct quota_amount guarantee);
/* A new epoch with another limit, guarantee or number of shards. No part of the limit changes: what is unassigned
 * does, and may fall below zero until the owners have lowered their allotments. */
void quota_record_change(struct quota_record *record, int home, int size, int shards, struct quota_amount limit,
                         struct quota_amount guarantee);
/* Removes closing allotments that hold nothing, of shards that use nothing; true if there were any. */
bool quota_record_prune(struct quota_record *record, int home, int size, const struct quota_amount *used);
/* Raises (or lowers) a shard's part from (or to) what is unassigned; false, and no change, if either would fall below
 * zero by it. */
bool quota_record_move(struct quota_record *record, int shard, struct quota_amount change);

/* What one waiting job asks for, in the order in which the team's jobs are served whatever shard they are in. */
struct quota_demand {
    int shard, tasks;
    struct quota_amount each;
    bool whole;       /* all tasks or none */
    bool may_reserve; /* what gets free may be reserved for it until all of it fits */
};

struct quota_targets {
    struct quota_amount of[QUOTA_SHARDS_MAX]; /* in the order of the record's allotments */
    bool scarce[QUOTA_DIMENSIONS];            /* not all that waits fits under the limit */
    int reservation_holder;                   /* index of the demand that room is reserved for; -1: none */
};

/* What each shard's part should come to: what it uses, and what waits there as far as the limit goes, in order. All
 * controllers compute the same from the same records. `used` is in the order of the allotments. `lasting` is what the
 * team uses for work that does not end by itself: nothing is reserved for a job that does not fit beside that. */
struct quota_targets quota_targets(const struct quota_record *record, const struct quota_amount *used,
                                   struct quota_amount lasting, const struct quota_demand *demands, int n);

/* What one owner changes of its own shards' allotments towards the targets: lowers those from which others need
 * something, raises those that need something from what is unassigned. No part falls below what the shard uses. Changes
 * the record and says whether it did. `owned` says of each allotment whether its shard is the caller's. */
bool quota_rebalance(struct quota_record *record, int home, int size, const struct quota_amount *used,
                     const struct quota_targets *targets, const bool *owned);

/* What a shard may use in all: its allotment, less what the limit lacks to all allotments, and no more than its target
 * where the limit is scarce. `limit` is the lowest that any controller's settings name, 0 where none does. Dimensions
 * without a limit: INT64_MAX. */
struct quota_amount quota_allowance(const struct quota_record *record, int index, struct quota_amount limit,
                                    const struct quota_amount *used, const struct quota_targets *targets, bool closing);

/* How much of the team's work in a shard may be stopped for others: what the team uses beyond its whole guarantee, as
 * far as the other shards surely keep their allotments of it. */
struct quota_amount quota_over_guarantee(const struct quota_record *record, int index, const struct quota_amount *used);
#endif
