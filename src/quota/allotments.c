#include "allotments.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#define STEPS 16 /* an allotment changes by a sixteenth of the limit at least, so that it need not change often */

int quota_shard_at(int home, int size, int index) { return (home + index) % size; }

int quota_shard_for(const char *job_id, int home, int size, int shards) {
    return quota_shard_at(home, size, (int)(g_str_hash(job_id) % (guint)MAX(shards, 1)));
}

int quota_allotment_index(const struct quota_record *record, int shard) {
    for (int i = 0; i < record->n_allotments; i++)
        if (record->allotments[i].shard == shard) return i;
    return -1;
}

struct quota_allotment *quota_allotment_of(struct quota_record *record, int shard) {
    int index = quota_allotment_index(record, shard);
    return index < 0 ? NULL : &record->allotments[index];
}

bool quota_allotment_closing(const struct quota_record *record, int home, int size, int shard) {
    return (shard - home + size) % size >= record->shards;
}

static const struct quota_amount nothing;

static bool negative(struct quota_amount amount) {
    return !quota_amount_equal(quota_amount_least(amount, nothing), nothing);
}

const char *quota_record_fault(const struct quota_record *record) {
    struct quota_amount limit = record->unassigned, guarantee = record->guarantee_unassigned;
    if (record->n_allotments < 1 || record->n_allotments > QUOTA_SHARDS_MAX) return "its number of parts";
    if (record->shards < 1 || record->shards > QUOTA_SHARDS_MAX) return "its number of shares";
    if (record->epoch < 1) return "its epoch";
    if (negative(record->limit) || negative(record->guarantee) || negative(record->guarantee_unassigned))
        return "a negative amount";
    for (int i = 0; i < record->n_allotments; i++) {
        const struct quota_allotment *allotment = &record->allotments[i];
        if (negative(allotment->limit) || negative(allotment->guarantee)) return "a negative part";
        for (int other = 0; other < i; other++)
            if (record->allotments[other].shard == allotment->shard) return "a share with two parts";
        limit = quota_amount_sum(limit, allotment->limit);
        guarantee = quota_amount_sum(guarantee, allotment->guarantee);
    }
    if (!quota_amount_equal(limit, record->limit)) return "parts and unassigned are not the limit";
    if (!quota_amount_equal(guarantee, record->guarantee)) return "parts and unassigned are not the guarantee";
    return NULL;
}

/* The guarantee lies in equal allotments with the shards that take new jobs, the rest of the division with the first.
 * These allotments need not follow the demand: see quota_over_guarantee. */
static void divide_guarantee(struct quota_record *record, int home, int size) {
    record->guarantee_unassigned = nothing;
    for (int i = 0; i < record->n_allotments; i++) {
        struct quota_allotment *allotment = &record->allotments[i];
        allotment->guarantee = nothing;
        if (quota_allotment_closing(record, home, size, allotment->shard)) continue;
        for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) {
            allotment->guarantee.of[dimension] = record->guarantee.of[dimension] / record->shards;
            if (allotment->shard == home)
                allotment->guarantee.of[dimension] += record->guarantee.of[dimension] % record->shards;
        }
    }
}

static void add_missing_allotments(struct quota_record *record, int home, int size) {
    for (int i = 0; i < record->shards; i++) {
        int shard = quota_shard_at(home, size, i);
        if (quota_allotment_of(record, shard) || record->n_allotments == QUOTA_SHARDS_MAX) continue;
        record->allotments[record->n_allotments++] = (struct quota_allotment){.shard = shard};
    }
}

struct quota_record quota_record_create(int home, int size, int shards, struct quota_amount limit,
                                        struct quota_amount guarantee) {
    struct quota_record record = {.epoch = 1, .shards = shards, .limit = limit, .guarantee = guarantee};
    add_missing_allotments(&record, home, size);
    quota_allotment_of(&record, home)->limit = limit;
    divide_guarantee(&record, home, size);
    return record;
}

void quota_record_change(struct quota_record *record, int home, int size, int shards, struct quota_amount limit,
                         struct quota_amount guarantee) {
    record->epoch++;
    record->shards = shards;
    record->unassigned = quota_amount_sum(record->unassigned, quota_amount_difference(limit, record->limit));
    record->limit = limit;
    record->guarantee = guarantee;
    add_missing_allotments(record, home, size);
    divide_guarantee(record, home, size);
}

bool quota_record_prune(struct quota_record *record, int home, int size, const struct quota_amount *used) {
    int kept = 0;
    for (int i = 0; i < record->n_allotments; i++) {
        const struct quota_allotment *allotment = &record->allotments[i];
        bool empty = quota_amount_equal(allotment->limit, nothing) &&
                     quota_amount_equal(allotment->guarantee, nothing) && quota_amount_equal(used[i], nothing);
        if (!empty || !quota_allotment_closing(record, home, size, allotment->shard))
            record->allotments[kept++] = *allotment;
    }
    bool pruned = kept < record->n_allotments;
    record->n_allotments = kept;
    return pruned;
}

bool quota_record_move(struct quota_record *record, int shard, struct quota_amount change) {
    struct quota_allotment *allotment = quota_allotment_of(record, shard);
    if (!allotment) return false;
    struct quota_amount part = quota_amount_sum(allotment->limit, change),
                        rest = quota_amount_difference(record->unassigned, change);
    if (negative(part)) return false;
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
        if (change.of[dimension] > 0 && rest.of[dimension] < 0) return false;
    allotment->limit = part;
    record->unassigned = rest;
    return true;
}

/* A limit of 0 is none. */
static bool bounded(const struct quota_record *record, int dimension) { return record->limit.of[dimension] > 0; }

/* How many of the demand's tasks fit into what is free. */
static int tasks_that_fit(const struct quota_record *record, const struct quota_demand *demand,
                          struct quota_amount free) {
    int64_t n = demand->tasks;
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) {
        if (bounded(record, dimension) && demand->each.of[dimension] > 0)
            n = MIN(n, MAX(free.of[dimension], 0) / demand->each.of[dimension]);
    }
    return (int)n;
}

static struct quota_amount times(struct quota_amount each, int tasks) {
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) each.of[dimension] *= tasks;
    return each;
}

/* What the demand lacks in all, or for its next task, can't come together beside work that does not end by itself. */
static bool can_be_reserved(const struct quota_record *record, struct quota_amount lasting, struct quota_amount need) {
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) {
        if (bounded(record, dimension) && lasting.of[dimension] + need.of[dimension] > record->limit.of[dimension])
            return false;
    }
    return true;
}

struct quota_targets quota_targets(const struct quota_record *record, const struct quota_amount *used,
                                   struct quota_amount lasting, const struct quota_demand *demands, int n) {
    struct quota_targets targets = {.reservation_holder = -1};
    struct quota_amount free = record->limit;
    for (int i = 0; i < record->n_allotments; i++) {
        targets.of[i] = used[i];
        free = quota_amount_difference(free, used[i]);
    }
    for (int i = 0; i < n && targets.reservation_holder < 0; i++) {
        const struct quota_demand *demand = &demands[i];
        int at = quota_allotment_index(record, demand->shard), fit = tasks_that_fit(record, demand, free);
        if (at < 0) continue;
        if (fit < demand->tasks) {
            for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
                targets.scarce[dimension] |= bounded(record, dimension) && demand->each.of[dimension] > 0;
        }
        if (demand->whole && fit < demand->tasks) fit = 0;
        int least = demand->whole ? demand->tasks : 1;
        struct quota_amount need = times(demand->each, MAX(fit, least));
        bool reserves = fit == 0 && demand->may_reserve && (demand->whole || demand->tasks > 0) &&
                        can_be_reserved(record, lasting, need);
        if (fit == 0 && !reserves) continue;
        if (reserves) targets.reservation_holder = i;
        targets.of[at] = quota_amount_sum(targets.of[at], need);
        free = quota_amount_difference(free, need);
    }
    return targets;
}

/* How much more all shards should hold than they do. */
static struct quota_amount shortage(const struct quota_record *record, const struct quota_targets *targets) {
    struct quota_amount sum = nothing;
    for (int i = 0; i < record->n_allotments; i++) {
        struct quota_amount lacks = quota_amount_difference(targets->of[i], record->allotments[i].limit);
        sum = quota_amount_sum(sum, quota_amount_most(lacks, nothing));
    }
    return sum;
}

/* By how much an allotment is lowered: what is wanted elsewhere and not there already, a step at least, as far as the
 * shard can spare it. A closing allotment goes as a whole. */
static int64_t surplus(int64_t part, int64_t keep, int64_t wanted, int64_t step, bool closing) {
    int64_t spare = MAX(part - keep, 0);
    if (closing) return spare;
    return wanted > 0 ? MIN(spare, MAX(wanted, step)) : 0;
}

/* By how much an owned allotment is lowered for the others. */
static struct quota_amount lowering(const struct quota_record *record, int index, bool closing,
                                    const struct quota_amount *used, const struct quota_targets *targets) {
    struct quota_amount wanted = quota_amount_difference(shortage(record, targets), record->unassigned);
    struct quota_amount change = nothing;
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) {
        int64_t in_use = used[index].of[dimension], target = targets->of[index].of[dimension];
        int64_t keep = closing ? in_use : MAX(in_use, target);
        /* Where the limit was lowered, the allotments come down to it, whatever waits. */
        if (record->unassigned.of[dimension] < 0) keep = in_use;
        int64_t held = record->allotments[index].limit.of[dimension], step = record->limit.of[dimension] / STEPS;
        change.of[dimension] = -surplus(held, keep, wanted.of[dimension], step, closing);
    }
    return change;
}

/* By how much an owned allotment is raised from what is unassigned. */
static struct quota_amount raising(const struct quota_record *record, int index, const struct quota_targets *targets) {
    struct quota_amount wanted = shortage(record, targets), change = nothing;
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) {
        int64_t lacks = targets->of[index].of[dimension] - record->allotments[index].limit.of[dimension];
        int64_t unassigned = record->unassigned.of[dimension];
        if (lacks <= 0 || unassigned <= 0) continue;
        /* What nobody else waits for may come in a step: the next job then finds it here. */
        int64_t others = wanted.of[dimension] - lacks, spare = unassigned - others;
        int64_t step = MIN(spare, record->limit.of[dimension] / STEPS);
        change.of[dimension] = MIN(unassigned, MAX(lacks, step));
    }
    return change;
}

static bool move_if_any(struct quota_record *record, int index, struct quota_amount change) {
    if (quota_amount_equal(change, nothing)) return false;
    return quota_record_move(record, record->allotments[index].shard, change);
}

bool quota_rebalance(struct quota_record *record, int home, int size, const struct quota_amount *used,
                     const struct quota_targets *targets, const bool *owned) {
    bool changed = false;
    for (int i = 0; i < record->n_allotments; i++) {
        bool closing = quota_allotment_closing(record, home, size, record->allotments[i].shard);
        if (owned[i]) changed |= move_if_any(record, i, lowering(record, i, closing, used, targets));
    }
    for (int i = 0; i < record->n_allotments; i++) {
        bool closing = quota_allotment_closing(record, home, size, record->allotments[i].shard);
        if (owned[i] && !closing) changed |= move_if_any(record, i, raising(record, i, targets));
    }
    return changed;
}

/* What the allotments hold beyond the limit, and the other shards beyond their allotments: they started it before there
 * was a limit. Each owner leaves all of that free by itself, so that no start leads above the limit whatever the others
 * do meanwhile. */
static int64_t to_leave_free(const struct quota_record *record, int index, int dimension, int64_t limit,
                             const struct quota_amount *used) {
    int64_t held = 0, beyond = 0;
    for (int i = 0; i < record->n_allotments; i++) {
        held += record->allotments[i].limit.of[dimension];
        if (i != index) beyond += MAX(used[i].of[dimension] - record->allotments[i].limit.of[dimension], 0);
    }
    return MAX(held - limit, 0) + beyond;
}

struct quota_amount quota_allowance(const struct quota_record *record, int index, struct quota_amount limit,
                                    const struct quota_amount *used, const struct quota_targets *targets,
                                    bool closing) {
    struct quota_amount out;
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) {
        bool named = limit.of[dimension] > 0;
        /* Where a limit is named for the first time, nothing starts before the record has it. */
        out.of[dimension] = named ? 0 : INT64_MAX;
        if (!bounded(record, dimension)) continue;
        int64_t least = named ? MIN(record->limit.of[dimension], limit.of[dimension]) : record->limit.of[dimension];
        int64_t may =
            record->allotments[index].limit.of[dimension] - to_leave_free(record, index, dimension, least, used);
        if (targets && targets->scarce[dimension]) may = MIN(may, targets->of[index].of[dimension]);
        if (closing) may = MIN(may, used[index].of[dimension]);
        out.of[dimension] = MAX(may, 0);
    }
    return out;
}

struct quota_amount quota_over_guarantee(const struct quota_record *record, int index,
                                         const struct quota_amount *used) {
    struct quota_amount floor = record->guarantee, out;
    /* Another shard stops nothing that lies within its own allotment: its own floor is never below that. So both
     * together leave the team its whole guarantee, though neither knows what the other decides. */
    for (int i = 0; i < record->n_allotments; i++) {
        if (i != index)
            floor = quota_amount_difference(floor, quota_amount_least(used[i], record->allotments[i].guarantee));
    }
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
        out.of[dimension] = MAX(used[index].of[dimension] - MAX(floor.of[dimension], 0), 0);
    return out;
}
