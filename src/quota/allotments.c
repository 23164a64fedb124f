#include "allotments.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

/* Allotments change by at least 1/16 of the limit where possible, so that they change seldom. */
#define STEPS_PER_LIMIT 16

int quota_shard_by_index(int home_shard, int cluster_shards, int index) {
    return (home_shard + index) % cluster_shards;
}

int quota_shard_for_job(const char *job_id, int home_shard, int cluster_shards, int team_shards) {
    return quota_shard_by_index(home_shard, cluster_shards, (int)(g_str_hash(job_id) % (guint)MAX(team_shards, 1)));
}

int quota_allotment_index(const struct quota_record *record, int shard) {
    for (int i = 0; i < record->n_allotments; i++)
        if (record->allotments[i].shard == shard) return i;
    return -1;
}

struct quota_allotment *quota_find_allotment(struct quota_record *record, int shard) {
    int index = quota_allotment_index(record, shard);
    return index < 0 ? NULL : &record->allotments[index];
}

bool quota_allotment_closing(const struct quota_record *record, int home_shard, int cluster_shards, int shard) {
    return (shard - home_shard + cluster_shards) % cluster_shards >= record->n_shards;
}

static const struct quota_amount zero_amount;

static bool is_negative(struct quota_amount amount) {
    return !quota_amount_equal(quota_amount_min(amount, zero_amount), zero_amount);
}

const char *quota_record_violation(const struct quota_record *record) {
    struct quota_amount limit = record->unassigned, guarantee = record->guarantee_unassigned;
    if (record->n_allotments < 1 || record->n_allotments > QUOTA_SHARDS_MAX) return "invalid number of parts";
    if (record->n_shards < 1 || record->n_shards > QUOTA_SHARDS_MAX) return "invalid number of shares";
    if (record->epoch < 1) return "invalid epoch";
    if (is_negative(record->limit) || is_negative(record->guarantee) || is_negative(record->guarantee_unassigned))
        return "a negative amount";
    for (int i = 0; i < record->n_allotments; i++) {
        const struct quota_allotment *allotment = &record->allotments[i];
        if (is_negative(allotment->limit) || is_negative(allotment->guarantee)) return "a negative part";
        for (int other = 0; other < i; other++)
            if (record->allotments[other].shard == allotment->shard) return "two parts for one share";
        limit = quota_amount_sum(limit, allotment->limit);
        guarantee = quota_amount_sum(guarantee, allotment->guarantee);
    }
    if (!quota_amount_equal(limit, record->limit)) return "parts and unassigned are not the limit";
    if (!quota_amount_equal(guarantee, record->guarantee)) return "parts and unassigned are not the guarantee";
    return NULL;
}

/* Divides the guarantee equally among the shards that take new jobs; the home shard also gets the remainder of the
 * division. These allotments need not follow the demand: see quota_over_guarantee. */
static void divide_guarantee(struct quota_record *record, int home_shard, int cluster_shards) {
    record->guarantee_unassigned = zero_amount;
    for (int i = 0; i < record->n_allotments; i++) {
        struct quota_allotment *entry = &record->allotments[i];
        entry->guarantee = zero_amount;
        if (quota_allotment_closing(record, home_shard, cluster_shards, entry->shard)) continue;
        for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) {
            entry->guarantee.thousandths[dimension] = record->guarantee.thousandths[dimension] / record->n_shards;
            if (entry->shard == home_shard)
                entry->guarantee.thousandths[dimension] += record->guarantee.thousandths[dimension] % record->n_shards;
        }
    }
}

static void add_missing_allotments(struct quota_record *record, int home_shard, int cluster_shards) {
    for (int i = 0; i < record->n_shards; i++) {
        int shard = quota_shard_by_index(home_shard, cluster_shards, i);
        if (quota_find_allotment(record, shard) || record->n_allotments == QUOTA_SHARDS_MAX) continue;
        record->allotments[record->n_allotments++] = (struct quota_allotment){.shard = shard};
    }
}

struct quota_record quota_record_create(int home_shard, int cluster_shards, int team_shards, struct quota_amount limit,
                                        struct quota_amount guarantee) {
    struct quota_record record = {.epoch = 1, .n_shards = team_shards, .limit = limit, .guarantee = guarantee};
    add_missing_allotments(&record, home_shard, cluster_shards);
    quota_find_allotment(&record, home_shard)->limit = limit;
    divide_guarantee(&record, home_shard, cluster_shards);
    return record;
}

void quota_record_reconfigure(struct quota_record *record, int home_shard, int cluster_shards, int team_shards,
                              struct quota_amount limit, struct quota_amount guarantee) {
    record->epoch++;
    record->n_shards = team_shards;
    record->unassigned = quota_amount_sum(record->unassigned, quota_amount_difference(limit, record->limit));
    record->limit = limit;
    record->guarantee = guarantee;
    add_missing_allotments(record, home_shard, cluster_shards);
    divide_guarantee(record, home_shard, cluster_shards);
}

bool quota_record_prune(struct quota_record *record, int home_shard, int cluster_shards,
                        const struct quota_amount *used) {
    int kept = 0;
    for (int i = 0; i < record->n_allotments; i++) {
        const struct quota_allotment *allotment = &record->allotments[i];
        bool empty = quota_amount_equal(allotment->limit, zero_amount) &&
                     quota_amount_equal(allotment->guarantee, zero_amount) && quota_amount_equal(used[i], zero_amount);
        if (!empty || !quota_allotment_closing(record, home_shard, cluster_shards, allotment->shard))
            record->allotments[kept++] = *allotment;
    }
    bool pruned = kept < record->n_allotments;
    record->n_allotments = kept;
    return pruned;
}

bool quota_record_resize_allotment(struct quota_record *record, int shard, struct quota_amount change) {
    struct quota_allotment *allotment = quota_find_allotment(record, shard);
    if (!allotment) return false;
    struct quota_amount allotted = quota_amount_sum(allotment->limit, change),
                        unassigned = quota_amount_difference(record->unassigned, change);
    if (is_negative(allotted)) return false;
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
        if (change.thousandths[dimension] > 0 && unassigned.thousandths[dimension] < 0) return false;
    allotment->limit = allotted;
    record->unassigned = unassigned;
    return true;
}

/* A limit of 0 means that there is none. */
static bool has_limit(const struct quota_record *record, int dimension) {
    return record->limit.thousandths[dimension] > 0;
}

/* Returns how many of the demand's tasks fit into the available amount. */
static int tasks_that_fit(const struct quota_record *record, const struct quota_demand *demand,
                          struct quota_amount available) {
    int64_t tasks = demand->tasks;
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) {
        if (has_limit(record, dimension) && demand->per_task.thousandths[dimension] > 0)
            tasks = MIN(tasks, MAX(available.thousandths[dimension], 0) / demand->per_task.thousandths[dimension]);
    }
    return (int)tasks;
}

static struct quota_amount multiply(struct quota_amount per_task, int tasks) {
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) per_task.thousandths[dimension] *= tasks;
    return per_task;
}

/* Returns whether the claimed amount fits under the limit beside the team's work that does not end by itself. If the
 * claimed amount does not fit, waiting never frees enough capacity for it. */
static bool fits_beside_lasting(const struct quota_record *record, struct quota_amount lasting,
                                struct quota_amount claimed) {
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) {
        if (has_limit(record, dimension) &&
            lasting.thousandths[dimension] + claimed.thousandths[dimension] > record->limit.thousandths[dimension])
            return false;
    }
    return true;
}

struct quota_targets quota_targets(const struct quota_record *record, const struct quota_amount *used,
                                   struct quota_amount lasting, const struct quota_demand *demands, int n) {
    struct quota_targets result = {.reserved_demand_index = -1};
    struct quota_amount available = record->limit;
    for (int i = 0; i < record->n_allotments; i++) {
        result.amounts[i] = used[i];
        available = quota_amount_difference(available, used[i]);
    }
    for (int i = 0; i < n && result.reserved_demand_index < 0; i++) {
        const struct quota_demand *demand = &demands[i];
        int index = quota_allotment_index(record, demand->shard),
            fitting_tasks = tasks_that_fit(record, demand, available);
        if (index < 0) continue;
        if (fitting_tasks < demand->tasks) {
            for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
                result.scarce[dimension] |= has_limit(record, dimension) && demand->per_task.thousandths[dimension] > 0;
        }
        if (demand->all_or_nothing && fitting_tasks < demand->tasks) fitting_tasks = 0;
        int tasks_min = demand->all_or_nothing ? demand->tasks : 1;
        struct quota_amount claimed = multiply(demand->per_task, MAX(fitting_tasks, tasks_min));
        bool reserve = fitting_tasks == 0 && demand->may_reserve && (demand->all_or_nothing || demand->tasks > 0) &&
                       fits_beside_lasting(record, lasting, claimed);
        if (fitting_tasks == 0 && !reserve) continue;
        if (reserve) result.reserved_demand_index = i;
        result.amounts[index] = quota_amount_sum(result.amounts[index], claimed);
        available = quota_amount_difference(available, claimed);
    }
    return result;
}

/* Returns the sum of the amounts by which allotments are below their targets. */
static struct quota_amount total_shortage(const struct quota_record *record, const struct quota_targets *targets) {
    struct quota_amount sum = zero_amount;
    for (int i = 0; i < record->n_allotments; i++) {
        struct quota_amount missing = quota_amount_difference(targets->amounts[i], record->allotments[i].limit);
        sum = quota_amount_sum(sum, quota_amount_max(missing, zero_amount));
    }
    return sum;
}

/* Returns by how much an allotment is lowered. The shortage is the part of the needed amount that the unassigned amount
 * does not cover. If there is a shortage, the allotment is lowered by the shortage or by one step, whichever is more,
 * but not below `keep`. A closing allotment is lowered to `keep`. */
static int64_t amount_to_release(int64_t allotted, int64_t keep, int64_t shortage, int64_t step, bool closing) {
    int64_t spare = MAX(allotted - keep, 0);
    if (closing) return spare;
    return shortage > 0 ? MIN(spare, MAX(shortage, step)) : 0;
}

/* Returns the change, zero or negative, that lowers an owned allotment in favour of other shards. */
static struct quota_amount decrease_for_others(const struct quota_record *record, int index, bool closing,
                                               const struct quota_amount *used, const struct quota_targets *targets) {
    struct quota_amount shortage = quota_amount_difference(total_shortage(record, targets), record->unassigned);
    struct quota_amount change = zero_amount;
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) {
        int64_t in_use = used[index].thousandths[dimension], target = targets->amounts[index].thousandths[dimension];
        int64_t keep = closing ? in_use : MAX(in_use, target);
        /* After the limit was lowered, the allotments shrink towards it even if jobs wait. */
        if (record->unassigned.thousandths[dimension] < 0) keep = in_use;
        int64_t allotted = record->allotments[index].limit.thousandths[dimension],
                step = record->limit.thousandths[dimension] / STEPS_PER_LIMIT;
        change.thousandths[dimension] =
            -amount_to_release(allotted, keep, shortage.thousandths[dimension], step, closing);
    }
    return change;
}

/* Returns the change, zero or positive, that raises an owned allotment from the unassigned amount. */
static struct quota_amount increase_from_unassigned(const struct quota_record *record, int index,
                                                    const struct quota_targets *targets) {
    struct quota_amount shortage = total_shortage(record, targets), change = zero_amount;
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) {
        int64_t missing =
            targets->amounts[index].thousandths[dimension] - record->allotments[index].limit.thousandths[dimension];
        int64_t unassigned = record->unassigned.thousandths[dimension];
        if (missing <= 0 || unassigned <= 0) continue;
        /* Adds at least one step if other shards do not need it, so that the next job needs no change. */
        int64_t others = shortage.thousandths[dimension] - missing, spare = unassigned - others;
        int64_t step = MIN(spare, record->limit.thousandths[dimension] / STEPS_PER_LIMIT);
        change.thousandths[dimension] = MIN(unassigned, MAX(missing, step));
    }
    return change;
}

static bool resize_if_nonzero(struct quota_record *record, int index, struct quota_amount change) {
    if (quota_amount_equal(change, zero_amount)) return false;
    return quota_record_resize_allotment(record, record->allotments[index].shard, change);
}

bool quota_rebalance(struct quota_record *record, int home_shard, int cluster_shards, const struct quota_amount *used,
                     const struct quota_targets *targets, const bool *owned) {
    bool changed = false;
    for (int i = 0; i < record->n_allotments; i++) {
        bool closing = quota_allotment_closing(record, home_shard, cluster_shards, record->allotments[i].shard);
        if (owned[i]) changed |= resize_if_nonzero(record, i, decrease_for_others(record, i, closing, used, targets));
    }
    for (int i = 0; i < record->n_allotments; i++) {
        bool closing = quota_allotment_closing(record, home_shard, cluster_shards, record->allotments[i].shard);
        if (owned[i] && !closing) changed |= resize_if_nonzero(record, i, increase_from_unassigned(record, i, targets));
    }
    return changed;
}

/* Returns the excess of all allotments over the limit, plus the excess of the other shards' use over their allotments,
 * which is due to tasks that started before there was a limit. Each owner leaves this whole amount free in its own
 * shard, so that no task that starts takes the team above the limit, whatever the other owners do at the same time. */
static int64_t amount_to_leave_free(const struct quota_record *record, int index, int dimension, int64_t limit,
                                    const struct quota_amount *used) {
    int64_t allotted = 0, overuse = 0;
    for (int i = 0; i < record->n_allotments; i++) {
        allotted += record->allotments[i].limit.thousandths[dimension];
        if (i != index)
            overuse += MAX(used[i].thousandths[dimension] - record->allotments[i].limit.thousandths[dimension], 0);
    }
    return MAX(allotted - limit, 0) + overuse;
}

struct quota_amount quota_allowance(const struct quota_record *record, int index, struct quota_amount limit,
                                    const struct quota_amount *used, const struct quota_targets *targets,
                                    bool closing) {
    struct quota_amount result;
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) {
        bool limit_set = limit.thousandths[dimension] > 0;
        /* After a limit was set for the first time, nothing starts until the record contains it. */
        result.thousandths[dimension] = limit_set ? 0 : INT64_MAX;
        if (!has_limit(record, dimension)) continue;
        int64_t lowest_limit = limit_set ? MIN(record->limit.thousandths[dimension], limit.thousandths[dimension])
                                         : record->limit.thousandths[dimension];
        int64_t allowed = record->allotments[index].limit.thousandths[dimension] -
                          amount_to_leave_free(record, index, dimension, lowest_limit, used);
        if (targets && targets->scarce[dimension])
            allowed = MIN(allowed, targets->amounts[index].thousandths[dimension]);
        if (closing) allowed = MIN(allowed, used[index].thousandths[dimension]);
        result.thousandths[dimension] = MAX(allowed, 0);
    }
    return result;
}

struct quota_amount quota_over_guarantee(const struct quota_record *record, int index,
                                         const struct quota_amount *used) {
    struct quota_amount floor = record->guarantee, over;
    /* Every other shard keeps its work within its own allotment of the guarantee, since its floor is at least that
     * allotment. So all shards together leave the team its guarantee without knowing each other's decisions. */
    for (int i = 0; i < record->n_allotments; i++) {
        if (i != index)
            floor = quota_amount_difference(floor, quota_amount_min(used[i], record->allotments[i].guarantee));
    }
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
        over.thousandths[dimension] = MAX(used[index].thousandths[dimension] - MAX(floor.thousandths[dimension], 0), 0);
    return over;
}
