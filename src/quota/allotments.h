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

/* The record of a divided team, `quota/TEAM` in the state service. */
struct quota_record {
    int64_t epoch; /* rises with every change of the limit, the guarantee or the number of shards */
    int n_shards;  /* new jobs go to this many shards, counted from the home shard; other allotments are closing */
    struct quota_amount limit, guarantee;
    struct quota_amount unassigned, guarantee_unassigned;
    struct quota_allotment allotments[QUOTA_SHARDS_MAX];
    int n_allotments;
};

/* The team's shard with this index; index 0 is the home shard, the only shard of an undivided team. */
int quota_shard_by_index(int home_shard, int cluster_shards, int index);
/* The shard of a new job, chosen by a hash of the job's id among the first `team_shards` shards of the team. */
int quota_shard_for_job(const char *job_id, int home_shard, int cluster_shards, int team_shards);

/* Returns NULL if the record satisfies the invariant, otherwise a description of the violation. */
const char *quota_record_violation(const struct quota_record *record);
/* The index of the shard's allotment in the record; -1 if the shard has none. */
int quota_allotment_index(const struct quota_record *record, int shard);
/* The shard's allotment, or NULL if it has none. */
struct quota_allotment *quota_find_allotment(struct quota_record *record, int shard);
/* Whether the shard's allotment is closing: the shard takes no new jobs of the team and releases unused amounts. */
bool quota_allotment_closing(const struct quota_record *record, int home_shard, int cluster_shards, int shard);

/* The first record of a team. The home shard holds the whole limit, as it did while the team was undivided. */
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
 * the limit, in the given order. The first demand that does not fit and may reserve counts as well, and no demand after
 * it. All controllers compute the same targets from the same records. `used` is in the order of the record's
 * allotments. `lasting` is what the team uses for work that does not end by itself. No capacity is reserved for a
 * demand that exceeds the limit together with `lasting`. */
struct quota_targets quota_targets(const struct quota_record *record, const struct quota_amount *used,
                                   struct quota_amount lasting, const struct quota_demand *demands, int n);

/* Moves the allotments of the caller's shards towards the targets: lowers them if another shard needs more, or to what
 * is used if they are closing, and raises them from the unassigned amount. An allotment is never lowered below what its
 * shard uses. Returns whether the record changed. `owned` tells for each allotment whether the caller owns its shard.
 */
bool quota_rebalance(struct quota_record *record, int home_shard, int cluster_shards, const struct quota_amount *used,
                     const struct quota_targets *targets, const bool *owned);

/* The total amount that the shard may use: its allotment of the limit, minus the excess of all allotments over the
 * limit and the excess of other shards' use over their allotments. Where the limit is scarce, the shard's target caps
 * it; a closing shard gets no more than it uses. `limit` is the lowest limit in any controller's settings, 0 where none
 * sets one. INT64_MAX in dimensions without a limit. `targets` may be NULL. */
struct quota_amount quota_allowance(const struct quota_record *record, int index, struct quota_amount limit,
                                    const struct quota_amount *used, const struct quota_targets *targets, bool closing);

/* The amount of the team's work in the shard that may be preempted for other teams: the team's use beyond its
 * guarantee. Of each other shard's use, only the part within that shard's allotment of the guarantee is counted. */
struct quota_amount quota_over_guarantee(const struct quota_record *record, int index, const struct quota_amount *used);
#endif
