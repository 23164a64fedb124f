/* One round of an owner: decided under the lock, written outside it, applied once written. Internal to this slice. */
#ifndef FF_ROUND_H
#define FF_ROUND_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../placement/placement.h"
#include "rounds.h"

extern const struct settings *round_settings;

struct round {
    int shard;
    GArray *plans;   /* placement_plan */
    GPtrArray *txns; /* store_txn */
    int left;        /* changes that the budget allows */
    int64_t first;   /* attempts above this one are this round's */
    bool more;
    bool apart; /* one record a transaction: the service has refused one of them lately */
};

/* The transaction that the next so many changes and conditions go into: the last one while it has room. */
struct store_txn *round_txn(struct round *r, int writes, int comparisons);
void round_txn_free(gpointer txn);

/* Books what waits and has room, in order, and lets lower work make way. */
void round_plan_jobs(struct round *r, int k);

/* Writes what is known of a job: completions, allocations that came and went, done tasks. */
void round_write_job(struct round *r, struct job *j);
/* Writes the pages of the shard's machines. */
void round_write_pages(struct round *r, int k);

/* Keys whose write the service has refused as malformed: left alone for a while. */
#define ROUND_REFUSED_S 5.0
bool round_refused_lately(const char *key);
void round_note_refused(const struct store_txn *t);
#endif
