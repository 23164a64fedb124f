/* Who lives, who leads, who owns which shard. */
#ifndef FF_MEMBERSHIP_H
#define FF_MEMBERSHIP_H
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../store/store.h"

struct shard {
    char owner[64], incarnation[40];
    int64_t mod_revision, fencing_token;
    struct timespec owner_changed;
};

void membership_init(const struct settings *s);
void membership_start(void);

/* What else this node records of itself: each is asked in the order of registration, with store_lock held, and adds its
 * record to the transaction, or returns false where it has nothing to write. Registered before membership_start. */
typedef bool (*membership_announcement)(struct store_txn *txn);
void membership_add_announcement(membership_announcement announcement);
/* Whether one of a few workers answers: asked without store_lock while the workers are unreachable. */
typedef bool (*membership_worker_probe)(struct http_client *client);
void membership_set_worker_probe(membership_worker_probe probe);

/* All of these with store_lock held. */
const struct shard *membership_shard(int k);
bool membership_owns(int k);             /* shard K is ours, and the mirror holds all that its former owner wrote */
double membership_read_validity_s(void); /* for how many seconds a look at the store entitles to answer workers */
bool membership_may_answer(void); /* recent enough to answer workers: a cancellation told elsewhere can still be kept */
bool membership_may_start_tasks(void);  /* recent enough to start tasks: few can have been cancelled elsewhere since */
int membership_live_controllers(void);  /* live controllers */
int64_t membership_fencing_token(void); /* the counter as mirrored */
const char *membership_incarnation(void);
bool membership_is_leader(void); /* this node is the leader */

/* A controller that no longer hears the workers says so in its record; its shards go to those who may hear them. */
void membership_set_workers_unreachable(bool lost);
bool membership_workers_unreachable(void);

/* Pure: after how long a controller that has lost the workers so many times lately tries whether they are back. */
double membership_workers_retry_s(int times_unreachable);

/* Pure: the part of the store's changes that is due to a controller with so many shards. */
double membership_write_fraction(int live, int size, int owned);

/* Pure: the shard to move and where, so that the owned counts differ by one at most. -1: nothing to move. */
int membership_plan_assignment(int size, const int *owner, int nodes, int *to);
#endif
