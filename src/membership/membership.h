/* Membership: the live controllers, the leader among them, and the owner of each shard.
 *
 * A controller joins by writing a record under a lease (lease.c). One live controller is the leader
 * (leader_election.c). The leader assigns the shards and increments the fencing counter with each assignment
 * (shard_assignment.c). This state is read from the store's records (records.c). What an owner may do with its shards
 * depends on the age of its last read of the store (read_validity.c) and on whether the workers are reachable
 * (reachability.c). */
#ifndef FF_MEMBERSHIP_H
#define FF_MEMBERSHIP_H
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../http/client.h"
#include "../json/json.h"
#include "../model/token_range.h"
#include "../settings/settings.h"
#include "../store/store.h"

enum {
    MEMBERSHIP_NAME_BYTES = 64,
    MEMBERSHIP_INCARNATION_BYTES = 40,
    MEMBERSHIP_NODES_MAX = 64,
    MEMBERSHIP_SHARDS_MAX = 64
};

/* Which controller owns a shard, as the shard's record in the store describes it. */
struct membership_shard_state {
    char owner[MEMBERSHIP_NAME_BYTES];              /* name of a controller; empty: the shard has no owner */
    char incarnation[MEMBERSHIP_INCARNATION_BYTES]; /* identifies one start of the owner's process */
    int64_t mod_revision;                           /* 0: no record */
    int64_t fencing_token;                          /* the first of the owner's tokens */
    int64_t last_token;               /* the last of them; the same as the first if an earlier version granted it */
    struct timespec owner_changed_at; /* when this controller read the current owner for the first time */
};

/* The next two functions are called once each, from the program's main thread, before any other thread starts.
 * membership_init keeps the pointer to the settings. */
void membership_init(const struct settings *settings);
void membership_start(void);

/* An announcement adds a record that another package writes for this controller to the transaction, or returns false if
 * there is nothing to write. Announcements are registered before membership_start. They are called in the order of
 * their registration, with store_lock held, until one returns true. */
typedef bool (*membership_announcement)(struct store_txn *txn);
void membership_add_announcement(membership_announcement announcement);
/* A worker probe sends requests to a few workers and returns whether one of them answers. It is called without
 * store_lock, while the workers are marked as unreachable. */
typedef bool (*membership_worker_probe)(struct http_client *client);
void membership_set_worker_probe(membership_worker_probe probe);

/* The functions below may be called from any thread, with store_lock held. */

/* Returns the shard's state. The pointer stays valid, but the state may change when the lock is released. */
const struct membership_shard_state *membership_shard(int shard);
/* Returns whether this incarnation of this controller owns the shard and the mirror holds everything that the previous
 * owner wrote. */
bool membership_owns(int shard);
/* Returns whether this incarnation of this controller is the leader. */
bool membership_is_leader(void);
/* Returns the number of live controllers, at least 1. */
int membership_live_controllers(void);
/* Returns the tokens that the next grant contains. The transaction that grants them writes the last one as the fencing
 * counter, on the condition that the counter is unchanged. */
struct token_range membership_next_tokens(void);

/* Returns for how many seconds after it sent a read of the store this controller may answer workers. */
double membership_read_validity_s(void);
/* Returns whether the last read is recent enough to answer workers: a cancellation that another controller has
 * acknowledged since still takes effect in time. */
bool membership_may_answer_workers(void);
/* Returns whether this controller may start tasks: the store is reachable and the last read is recent enough to answer
 * workers. Few tasks can then have been cancelled through other controllers since that read. */
bool membership_may_start_tasks(void);

/* Marks the workers as unreachable or reachable. The node record of a controller contains this mark, and the leader
 * moves the shards of a marked controller to controllers that can reach workers. */
void membership_set_workers_unreachable(bool unreachable);
bool membership_workers_unreachable(void);

/* The functions below may be called from any thread, with or without store_lock. */

/* Returns the identifier of this start of this controller. */
const char *membership_incarnation(void);

/* Returns the JSON of a shard's record; the caller owns it. */
cJSON *membership_shard_value(const char *owner, const char *incarnation, struct token_range tokens);
/* Returns how many seconds a controller waits before it probes the workers, after it has lost the workers this many
 * times in a row. Pure. */
double membership_worker_probe_delay_s(int consecutive_losses);
/* Returns the fraction (0 to 1) of the store's write rate that a controller may use if it owns n_owned of n_shards
 * shards and n_live controllers are live. Pure. */
double membership_write_fraction(int n_live, int n_shards, int n_owned);
/* Returns the shard to assign next and sets *new_owner to the index of its new owner; returns -1 if there is nothing to
 * assign. Shards without an owner come first; then shards are moved until the numbers of shards per node differ by at
 * most one. owners[i] is the index of the node that owns shard i, or -1 if the shard has no owner. Pure. */
int membership_plan_assignment(int n_shards, const int *owners, int n_nodes, int *new_owner);
#endif
