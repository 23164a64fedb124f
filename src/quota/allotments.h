/* Splits a divided team's limit and guarantee into allotments, one per shard (escrow). A shard's owner allocates
 * against its allotment without asking the other owners. Pure: no I/O, no clock, no state.
 *
 * Invariant of every record: the allotments plus the unassigned amount add up to the limit, and likewise for the
 * guarantee. Allotments are never negative. The unassigned part of the limit is negative after the limit was lowered
 * below the sum of the allotments, until the owners have lowered these.
 *
 * The arguments `home_shard` and `cluster_shards` of the functions below are the team's home shard and the number of
 * shards in the cluster. */
#ifndef FF_QUOTA_ALLOTMENTS_H
#define FF_QUOTA_ALLOTMENTS_H
#include <stdbool.h>
#include <stdint.h>

#include "amount.h"

#define QUOTA_SHARDS_MAX 16 /* shards of one team; keeps the team's record below 1 KiB */

/* The parts of a team's limit and guarantee that one shard holds. */
struct quota_allotment {
    int shard;
    struct quota_amount limit, guarantee;
};

/* The record of a divided team, `quota/TEAM` in the store. */
struct quota_record {
    int64_t epoch; /* rises with every change of the limit, the guarantee or the number of shards */
    int n_shards;  /* number of shards, from the home shard on, that take new jobs; the other allotments are closing */
    struct quota_amount limit, guarantee;
    struct quota_amount unassigned, guarantee_unassigned;
    struct quota_allotment allotments[QUOTA_SHARDS_MAX];
    int n_allotments;
};

/* Returns the team's shard with this index; index 0 is the home shard, the only shard of an undivided team. */
int quota_shard_by_index(int home_shard, int cluster_shards, int index);
/* Returns the shard of a new job, chosen by a hash of the job's id among the first `team_shards` shards of the team. */
int quota_shard_for_job(const char *job_id, int home_shard, int cluster_shards, int team_shards);

/* Returns NULL if the record satisfies the invariant, otherwise a description of the violation. */
const char *quota_record_violation(const struct quota_record *record);
/* Returns the index of the shard's allotment in the record, or -1 if the shard has none. */
int quota_allotment_index(const struct quota_record *record, int shard);
/* Returns the shard's allotment, or NULL if it has none. */
struct quota_allotment *quota_find_allotment(struct quota_record *record, int shard);
/* Returns whether the shard's allotment is closing: the shard takes no new jobs of the team and releases unused
 * amounts. */
bool quota_allotment_closing(const struct quota_record *record, int home_shard, int cluster_shards, int shard);

/* Returns the first record of a team. The home shard holds the whole limit, as it did while the team was undivided. */
struct quota_record quota_record_create(int home_shard, int cluster_shards, int team_shards, struct quota_amount limit,
                                        struct quota_amount guarantee);
/* Starts a new epoch with another limit, guarantee or number of shards. The allotments of the limit stay as they are;
 * the unassigned amount takes up the difference, and may become negative until the owners have lowered their
 * allotments. The guarantee is divided anew. */
void quota_record_reconfigure(struct quota_record *record, int home_shard, int cluster_shards, int team_shards,
                              struct quota_amount limit, struct quota_amount guarantee);
/* Removes the closing allotments that are zero and whose shards use nothing. Returns whether it removed any. */
bool quota_record_prune(struct quota_record *record, int home_shard, int cluster_shards,
                        const struct quota_amount *used);
/* Adds `change`, which may be negative, to the shard's allotment of the limit and subtracts it from the unassigned
 * amount. Returns false and changes nothing if the shard has no allotment, if the allotment would become negative, or
 * if an increase would make the unassigned amount negative. */
bool quota_record_resize_allotment(struct quota_record *record, int shard, struct quota_amount change);

/* The demand of one waiting job. Demands are passed in the order in which the team's jobs are served across all its
 * shards. */
struct quota_demand {
    int shard, tasks;
    struct quota_amount per_task;
    bool all_or_nothing; /* the job starts all its tasks at once or none */
    bool may_reserve;    /* capacity that becomes free may be reserved for this job until its demand fits */
};

/* The amounts that the shards should hold. */
struct quota_targets {
    struct quota_amount amounts[QUOTA_SHARDS_MAX]; /* in the order of the record's allotments */
    bool scarce[QUOTA_DIMENSIONS];                 /* the limit does not cover all waiting demands */
    int reserved_demand_index;                     /* index of the demand that capacity is reserved for; -1: none */
};

/* Computes the target of each allotment: what its shard uses, plus the shard's waiting demands as far as they fit under
 * the limit, in the given order. Capacity is reserved for the first demand that does not fit and may reserve: the
 * target includes that demand, and no target includes a later one. All controllers compute the same targets from the
 * same records. `used` is in the order of the record's allotments. `lasting` is what the team uses for work that does
 * not end by itself. No capacity is reserved for a demand that exceeds the limit together with `lasting`. */
struct quota_targets quota_targets(const struct quota_record *record, const struct quota_amount *used,
                                   struct quota_amount lasting, const struct quota_demand *demands, int n);

/* Moves the allotments of the caller's shards towards the targets. It lowers an allotment if another shard needs more,
 * or if the allotment is closing, but never below what its shard uses. It raises an allotment from the unassigned
 * amount. `owned` tells for each allotment whether the caller owns its shard. Returns whether the record changed. */
bool quota_rebalance(struct quota_record *record, int home_shard, int cluster_shards, const struct quota_amount *used,
                     const struct quota_targets *targets, const bool *owned);

/* Returns the total amount that the shard may use: its allotment of the limit, minus the excess of all allotments over
 * the limit and the excess of other shards' use over their allotments. In a scarce dimension the amount is at most the
 * shard's target; for a closing shard it is at most what the shard uses. In dimensions without a limit it is INT64_MAX.
 * `limit` is the lowest limit in any controller's settings, 0 where none sets one. `targets` may be NULL. */
struct quota_amount quota_allowance(const struct quota_record *record, int index, struct quota_amount limit,
                                    const struct quota_amount *used, const struct quota_targets *targets, bool closing);

/* Returns how much of the shard's use may be preempted for other teams: the part beyond the team's guarantee. The
 * guarantee counts as used by the other shards first, by each up to its own allotment of the guarantee. */
struct quota_amount quota_over_guarantee(const struct quota_record *record, int index, const struct quota_amount *used);
#endif
