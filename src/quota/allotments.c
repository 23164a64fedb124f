#include "allotments.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#define CHUNKS 16 /* a part changes by a sixteenth of the limit at least, so that it need not change often */

int quota_shard_at(int home, int size, int i) { return (home + i) % size; }

int quota_shard_for(const char *job_id, int home, int size, int shards) {
    return quota_shard_at(home, size, (int)(g_str_hash(job_id) % (guint)MAX(shards, 1)));
}

struct quota_allotment *quota_allotment_of(struct quota_record *r, int shard) {
    for (int i = 0; i < r->n_allotments; i++)
        if (r->allotments[i].shard == shard) return &r->allotments[i];
    return NULL;
}

bool quota_allotment_closing(const struct quota_record *r, int home, int size, int shard) {
    return (shard - home + size) % size >= r->shards;
}

static const struct quota_amount nothing;

static bool negative(struct quota_amount a) { return !quota_amount_equal(quota_amount_least(a, nothing), nothing); }

const char *quota_record_fault(const struct quota_record *r) {
    struct quota_amount limit = r->unassigned, guarantee = r->guarantee_unassigned;
    if (r->n_allotments < 1 || r->n_allotments > QUOTA_SHARES_MAX) return "its number of parts";
    if (r->shards < 1 || r->shards > QUOTA_SHARES_MAX) return "its number of shares";
    if (r->epoch < 1) return "its epoch";
    if (negative(r->limit) || negative(r->guarantee) || negative(r->guarantee_unassigned)) return "a negative amount";
    for (int i = 0; i < r->n_allotments; i++) {
        const struct quota_allotment *p = &r->allotments[i];
        if (negative(p->limit) || negative(p->guarantee)) return "a negative part";
        for (int o = 0; o < i; o++)
            if (r->allotments[o].shard == p->shard) return "a share with two parts";
        limit = quota_amount_sum(limit, p->limit);
        guarantee = quota_amount_sum(guarantee, p->guarantee);
    }
    if (!quota_amount_equal(limit, r->limit)) return "parts and unassigned are not the limit";
    if (!quota_amount_equal(guarantee, r->guarantee)) return "parts and unassigned are not the guarantee";
    return NULL;
}

/* The guarantee lies in equal parts with the shards that take new jobs, the rest of the division with the first. These
 * parts need not follow the demand: see quota_over_guarantee. */
static void divide_guarantee(struct quota_record *r, int home, int size) {
    r->guarantee_unassigned = nothing;
    for (int i = 0; i < r->n_allotments; i++) {
        struct quota_allotment *p = &r->allotments[i];
        p->guarantee = nothing;
        if (quota_allotment_closing(r, home, size, p->shard)) continue;
        for (int d = 0; d < QUOTA_DIMENSIONS; d++) {
            p->guarantee.of[d] = r->guarantee.of[d] / r->shards;
            if (p->shard == home) p->guarantee.of[d] += r->guarantee.of[d] % r->shards;
        }
    }
}

static void add_missing_parts(struct quota_record *r, int home, int size) {
    for (int i = 0; i < r->shards; i++) {
        int shard = quota_shard_at(home, size, i);
        if (quota_allotment_of(r, shard) || r->n_allotments == QUOTA_SHARES_MAX) continue;
        r->allotments[r->n_allotments++] = (struct quota_allotment){.shard = shard};
    }
}

struct quota_record quota_record_create(int home, int size, int shards, struct quota_amount limit,
                                        struct quota_amount guarantee) {
    struct quota_record r = {.epoch = 1, .shards = shards, .limit = limit, .guarantee = guarantee};
    add_missing_parts(&r, home, size);
    quota_allotment_of(&r, home)->limit = limit;
    divide_guarantee(&r, home, size);
    return r;
}

void quota_record_change(struct quota_record *r, int home, int size, int shards, struct quota_amount limit,
                         struct quota_amount guarantee) {
    r->epoch++;
    r->shards = shards;
    r->unassigned = quota_amount_sum(r->unassigned, quota_amount_difference(limit, r->limit));
    r->limit = limit;
    r->guarantee = guarantee;
    add_missing_parts(r, home, size);
    divide_guarantee(r, home, size);
}

bool quota_record_prune(struct quota_record *r, int home, int size, const struct quota_amount *used) {
    int kept = 0;
    for (int i = 0; i < r->n_allotments; i++) {
        const struct quota_allotment *p = &r->allotments[i];
        bool empty = quota_amount_equal(p->limit, nothing) && quota_amount_equal(p->guarantee, nothing) &&
                     quota_amount_equal(used[i], nothing);
        if (!empty || !quota_allotment_closing(r, home, size, p->shard)) r->allotments[kept++] = *p;
    }
    bool pruned = kept < r->n_allotments;
    r->n_allotments = kept;
    return pruned;
}

bool quota_record_move(struct quota_record *r, int shard, struct quota_amount by) {
    struct quota_allotment *p = quota_allotment_of(r, shard);
    if (!p) return false;
    struct quota_amount part = quota_amount_sum(p->limit, by), rest = quota_amount_difference(r->unassigned, by);
    if (negative(part)) return false;
    for (int d = 0; d < QUOTA_DIMENSIONS; d++)
        if (by.of[d] > 0 && rest.of[d] < 0) return false;
    p->limit = part;
    r->unassigned = rest;
    return true;
}

static int part_index(const struct quota_record *r, int shard) {
    for (int i = 0; i < r->n_allotments; i++)
        if (r->allotments[i].shard == shard) return i;
    return -1;
}

/* A limit of 0 is none. */
static bool bounded(const struct quota_record *r, int d) { return r->limit.of[d] > 0; }

/* How many of the demand's tasks fit into what is free. */
static int tasks_that_fit(const struct quota_record *r, const struct quota_demand *w, struct quota_amount free) {
    int64_t n = w->tasks;
    for (int d = 0; d < QUOTA_DIMENSIONS; d++)
        if (bounded(r, d) && w->each.of[d] > 0) n = MIN(n, MAX(free.of[d], 0) / w->each.of[d]);
    return (int)n;
}

static struct quota_amount times(struct quota_amount each, int tasks) {
    for (int d = 0; d < QUOTA_DIMENSIONS; d++) each.of[d] *= tasks;
    return each;
}

/* What the demand lacks in all, or for its next task, can't come together beside work that does not end by itself. */
static bool can_be_gathered(const struct quota_record *r, struct quota_amount lasting, struct quota_amount need) {
    for (int d = 0; d < QUOTA_DIMENSIONS; d++)
        if (bounded(r, d) && lasting.of[d] + need.of[d] > r->limit.of[d]) return false;
    return true;
}

struct quota_targets quota_targets(const struct quota_record *r, const struct quota_amount *used,
                                   struct quota_amount lasting, const struct quota_demand *demands, int n) {
    struct quota_targets t = {.reservation_holder = -1};
    struct quota_amount free = r->limit;
    for (int i = 0; i < r->n_allotments; i++) {
        t.of[i] = used[i];
        free = quota_amount_difference(free, used[i]);
    }
    for (int i = 0; i < n && t.reservation_holder < 0; i++) {
        const struct quota_demand *w = &demands[i];
        int at = part_index(r, w->shard), fit = tasks_that_fit(r, w, free);
        if (at < 0) continue;
        if (fit < w->tasks)
            for (int d = 0; d < QUOTA_DIMENSIONS; d++) t.scarce[d] |= bounded(r, d) && w->each.of[d] > 0;
        if (w->whole && fit < w->tasks) fit = 0;
        int least = w->whole ? w->tasks : 1;
        struct quota_amount need = times(w->each, MAX(fit, least));
        bool gathers = fit == 0 && w->may_reserve && (w->whole || w->tasks > 0) && can_be_gathered(r, lasting, need);
        if (fit == 0 && !gathers) continue;
        if (gathers) t.reservation_holder = i;
        t.of[at] = quota_amount_sum(t.of[at], need);
        free = quota_amount_difference(free, need);
    }
    return t;
}

/* How much more all shards should hold than they do. */
static struct quota_amount shortage(const struct quota_record *r, const struct quota_targets *targets) {
    struct quota_amount sum = nothing;
    for (int i = 0; i < r->n_allotments; i++) {
        struct quota_amount lacks = quota_amount_difference(targets->of[i], r->allotments[i].limit);
        sum = quota_amount_sum(sum, quota_amount_most(lacks, nothing));
    }
    return sum;
}

/* By how much a part is lowered: what is wanted elsewhere and not there already, a chunk at least, as far as the shard
 * can spare it. A closing part goes as a whole. */
static int64_t surplus(int64_t part, int64_t keep, int64_t wanted, int64_t chunk, bool closing) {
    int64_t spare = MAX(part - keep, 0);
    if (closing) return spare;
    return wanted > 0 ? MIN(spare, MAX(wanted, chunk)) : 0;
}

bool quota_rebalance(struct quota_record *r, int home, int size, const struct quota_amount *used,
                     const struct quota_targets *targets, const bool *owned) {
    bool changed = false;
    for (int i = 0; i < r->n_allotments; i++) {
        struct quota_allotment *p = &r->allotments[i];
        if (!owned[i]) continue;
        bool closing = quota_allotment_closing(r, home, size, p->shard);
        struct quota_amount wanted = quota_amount_difference(shortage(r, targets), r->unassigned), by = nothing;
        for (int d = 0; d < QUOTA_DIMENSIONS; d++) {
            int64_t keep = closing ? used[i].of[d] : MAX(used[i].of[d], targets->of[i].of[d]);
            /* Where the limit was lowered, the parts come down to it, whatever waits. */
            if (r->unassigned.of[d] < 0) keep = used[i].of[d];
            by.of[d] = -surplus(p->limit.of[d], keep, wanted.of[d], r->limit.of[d] / CHUNKS, closing);
        }
        changed |= !quota_amount_equal(by, nothing) && quota_record_move(r, p->shard, by);
    }
    for (int i = 0; i < r->n_allotments; i++) {
        const struct quota_allotment *p = &r->allotments[i];
        if (!owned[i] || quota_allotment_closing(r, home, size, p->shard)) continue;
        struct quota_amount wanted = shortage(r, targets), by = nothing;
        for (int d = 0; d < QUOTA_DIMENSIONS; d++) {
            int64_t lacks = targets->of[i].of[d] - p->limit.of[d];
            if (lacks <= 0 || r->unassigned.of[d] <= 0) continue;
            /* What nobody else waits for may come in a chunk: the next job then finds it here. */
            int64_t others = wanted.of[d] - lacks, spare = r->unassigned.of[d] - others;
            by.of[d] = MIN(r->unassigned.of[d], MAX(lacks, MIN(spare, r->limit.of[d] / CHUNKS)));
        }
        changed |= !quota_amount_equal(by, nothing) && quota_record_move(r, p->shard, by);
    }
    return changed;
}

/* What the parts hold beyond the limit, and the other shards beyond their parts: they started it before there was a
 * limit. Each owner leaves all of that free by itself, so that no start leads above the limit whatever the others do
 * meanwhile. */
static int64_t to_leave_free(const struct quota_record *r, int part, int d, int64_t limit,
                             const struct quota_amount *used) {
    int64_t held = 0, beyond = 0;
    for (int i = 0; i < r->n_allotments; i++) {
        held += r->allotments[i].limit.of[d];
        if (i != part) beyond += MAX(used[i].of[d] - r->allotments[i].limit.of[d], 0);
    }
    return MAX(held - limit, 0) + beyond;
}

struct quota_amount quota_allowance(const struct quota_record *r, int part, struct quota_amount limit,
                                    const struct quota_amount *used, const struct quota_targets *targets,
                                    bool closing) {
    struct quota_amount out;
    for (int d = 0; d < QUOTA_DIMENSIONS; d++) {
        bool named = limit.of[d] > 0;
        /* Where a limit is named for the first time, nothing starts before the record has it. */
        out.of[d] = named ? 0 : INT64_MAX;
        if (!bounded(r, d)) continue;
        int64_t least = named ? MIN(r->limit.of[d], limit.of[d]) : r->limit.of[d];
        int64_t may = r->allotments[part].limit.of[d] - to_leave_free(r, part, d, least, used);
        if (targets && targets->scarce[d]) may = MIN(may, targets->of[part].of[d]);
        if (closing) may = MIN(may, used[part].of[d]);
        out.of[d] = MAX(may, 0);
    }
    return out;
}

struct quota_amount quota_over_guarantee(const struct quota_record *r, int part, const struct quota_amount *used) {
    struct quota_amount floor = r->guarantee, out;
    /* Another shard stops nothing that lies within its own part: its own floor is never below that. So both together
     * leave the team its whole guarantee, though neither knows what the other decides. */
    for (int i = 0; i < r->n_allotments; i++)
        if (i != part) floor = quota_amount_difference(floor, quota_amount_least(used[i], r->allotments[i].guarantee));
    for (int d = 0; d < QUOTA_DIMENSIONS; d++) out.of[d] = MAX(used[part].of[d] - MAX(floor.of[d], 0), 0);
    return out;
}
