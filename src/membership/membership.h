/* Membership: which controllers are live, which of them leads, and which owns which shard.
 *
 * A controller joins with a record under a lease (lease.c); one live controller is the leader (leader_election.c); the
 * leader assigns the shards, moving the fencing counter each time (shard_assignment.c). All of that is read from the
 * store's records (records.c). What an owner may do with its shards depends on how recent its last read of the store is
 * (read_validity.c), and on whether it reaches the workers (reachability.c). */
#ifndef FF_MEMBERSHIP_H
#define FF_MEMBERSHIP_H
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../http/client.h"
#include "../json/json.h"
#include "../settings/settings.h"
#include "../store/store.h"

enum {
    MEMBERSHIP_NAME_BYTES = 64,
    MEMBERSHIP_INCARNATION_BYTES = 40,
    MEMBERSHIP_NODES_MAX = 64,
    MEMBERSHIP_SHARDS_MAX = 64
};

/* The record of a shard. */
struct shard {
    char owner[MEMBERSHIP_NAME_BYTES];              /* empty: nobody */
    char incarnation[MEMBERSHIP_INCARNATION_BYTES]; /* of the owner: which start of its process */
    int64_t mod_revision;                           /* 0: no record */
    int64_t fencing_token;
    struct timespec owner_changed; /* when this controller learned of the present owner */
};

/* Once each, from the program's main thread, before any other thread. The settings are kept. */
void membership_init(const struct settings *settings);
void membership_start(void);

/* What else this controller records of itself: each is asked in the order of registration, with store_lock held, and
 * adds its record to the transaction, or returns false where it has nothing to write. Before membership_start. */
typedef bool (*membership_announcement)(struct store_txn *txn);
void membership_add_announcement(membership_announcement announcement);
/* Whether one of a few workers answers: asked without store_lock while the workers are unreachable. */
typedef bool (*membership_worker_probe)(struct http_client *client);
void membership_set_worker_probe(membership_worker_probe probe);

/* From any thread, with store_lock held. */

/* The pointer stays good; what it points to may change once the lock is released. */
const struct shard *membership_shard(int shard);
/* Whether this start of this controller owns the shard, and the mirror holds all that the former owner wrote. */
bool membership_owns(int shard);
/* Whether this controller is the leader. */
bool membership_is_leader(void);
/* How many controllers are live; at least 1. */
int membership_live_controllers(void);
/* The fencing counter as mirrored. */
int64_t membership_fencing_token(void);

/* For how many seconds a read of the store entitles to answer workers. */
double membership_read_validity_s(void);
/* Whether the last read is recent enough to answer workers: a cancellation that was acknowledged elsewhere since is
 * still kept in time. */
bool membership_may_answer(void);
/* Whether it is recent enough to start tasks: few can have been cancelled elsewhere since. */
bool membership_may_start_tasks(void);

/* A controller that the workers no longer reach says so in its record; its shards go to those that they may reach. */
void membership_set_workers_unreachable(bool unreachable);
bool membership_workers_unreachable(void);

/* From any thread, with or without the lock. */

/* Identifies this start of this controller. */
const char *membership_incarnation(void);

/* The JSON of a shard's record; the caller owns it. */
cJSON *membership_shard_value(const char *owner, const char *incarnation, int64_t fencing_token);
/* Pure: for how many seconds a controller that has lost the workers so many times in a row waits before it probes. */
double membership_workers_retry_s(int times_unreachable);
/* Pure: the part of the store's changes, from 0 to 1, that is due to a controller that owns so many shards of size. */
double membership_write_fraction(int live, int size, int owned);
/* Pure: the shard to assign next and to which node, so that the numbers of owned shards differ by one at most. owner:
 * for each shard the node's index, or -1 for nobody. -1: nothing to assign. */
int membership_plan_assignment(int size, const int *owner, int nodes, int *to);
#endif
