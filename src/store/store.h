/* The state service: calls, rate budget, and a mirror of every key kept by a watch. */
#ifndef FF_STORE_H
#define FF_STORE_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../http/client.h"
#include "../json/json.h"
#include "../settings/settings.h"
#include "keys.h"

/* What a transaction came to. REFUSED: surely not executed. BAD: neither, and would not be if repeated as it is: a
 * value or the transaction is above the service's limits. UNKNOWN: may have been, or may yet be. */
enum store_result { STORE_OK, STORE_CONFLICT, STORE_REJECTED, STORE_INVALID, STORE_UNKNOWN };

/* In the order in which they may use the budget. */
enum store_priority {
    STORE_PRIORITY_LEASE,
    STORE_PRIORITY_CANCEL,
    STORE_PRIORITY_ACCEPT,
    STORE_PRIORITY_ALLOCATE,
    STORE_PRIORITY_PROGRESS
};

struct store_txn {
    cJSON *comparisons, *operations;
    int writes;
};
void store_txn_init(struct store_txn *t);
void store_txn_compare(struct store_txn *t, const char *key, int64_t mod_revision);
void store_txn_put(struct store_txn *t, const char *key, cJSON *data, int64_t lease); /* takes data; lease 0: none */
void store_txn_delete(struct store_txn *t, const char *key);
void store_txn_free(struct store_txn *t);

struct store_response {
    int64_t revision;
    GPtrArray *conflicts; /* keys, on CONFLICT; epoch is then the store's at the time */
};
void store_response_clear(struct store_response *a);

void store_init(const struct settings *s);
enum store_result store_commit(struct http_client *c, enum store_priority cls, struct store_txn *t,
                               struct store_response *a);
/* OK with *data set, OK with *data NULL where the key does not exist, else REFUSED. */
enum store_result store_get(struct http_client *c, const char *key, cJSON **data, int64_t *mod_revision,
                            int64_t *revision);
enum store_result store_lease_grant(struct http_client *c, struct timespec ttl, int64_t *lease);
enum store_result store_lease_renew(struct http_client *c, int64_t lease); /* CONFLICT: the lease has ended */

/* The mirror. Appliers run under store_lock; data NULL: the key is gone. The same call serves the watch, full
 * reads and our own writes, and drops what is older than what is known. */
typedef void (*store_observer)(const char *rest, const cJSON *data, int64_t mod_revision);
void store_observe_prefix(const char *prefix, store_observer fn);
void store_lock(void);
void store_unlock(void);
void store_apply(const char *key, const cJSON *data, int64_t mod_revision); /* with the lock held */
/* Applies what a transaction of ours has written. */
void store_apply_committed(const struct store_txn *t, int64_t revision);
int64_t store_key_revision(const char *key);                /* with the lock held; 0: not there */
bool store_refresh(struct http_client *c, const char *key); /* reads one key and applies it; false: no answer */
int64_t store_revision(void);                               /* with the lock held: all changes up to it are in */
bool store_synced(void);                                    /* with the lock held: read in full once */
struct timespec store_last_read(void); /* with the lock held: when the last answered watch was sent */
bool store_unreachable(void);          /* with the lock held: no look at the store has succeeded lately */
void store_mirror_start(void);
void store_wake_watch(void);
unsigned store_budget_requests_sent(void);
/* Changes written so far, by what they change. */
struct store_write_counts {
    unsigned jobs, allocations, releases, pages, others; /* releases: records of allocations that were removed */
};
struct store_write_counts store_writes_counted(void);
int store_budget_available(enum store_priority cls); /* changes that the budget allows to the class now */
double store_budget_rate_factor(bool changes);       /* how much more than its part is taken, of either rate */
bool store_budget_requests_scarce(void);             /* requests should be gathered into fewer */
void store_budget_set_fraction(int controllers,
                               double writing); /* how many shard the service; our part of the changes */
#endif
