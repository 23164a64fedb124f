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

/* What a transaction came to. REFUSED: surely not executed. BAD: neither, and would not be if repeated as it is: a
 * value or the transaction is above the service's limits. UNKNOWN: may have been, or may yet be. */
enum store_result { STORE_OK, STORE_CONFLICT, STORE_REFUSED, STORE_BAD, STORE_UNKNOWN };

/* In the order in which they may use the budget. */
enum store_class { STORE_RENEW, STORE_CANCEL, STORE_ACCEPT, STORE_BOOK, STORE_PROGRESS };

struct store_txn {
    cJSON *conds, *ops;
    int writes;
};
void store_txn_init(struct store_txn *t);
void store_txn_if(struct store_txn *t, const char *key, int64_t stamp);
void store_txn_set(struct store_txn *t, const char *key, cJSON *data, int64_t lease); /* takes data; lease 0: none */
void store_txn_remove(struct store_txn *t, const char *key);
void store_txn_free(struct store_txn *t);

struct store_answer {
    int64_t epoch;
    GPtrArray *failed; /* keys, on CONFLICT; epoch is then the store's at the time */
};
void store_answer_clear(struct store_answer *a);

void store_init(const struct settings *s);
enum store_result store_multi(struct http_client *c, enum store_class cls, struct store_txn *t, struct store_answer *a);
/* OK with *data set, OK with *data NULL where the key does not exist, else REFUSED. */
enum store_result store_get(struct http_client *c, const char *key, cJSON **data, int64_t *stamp, int64_t *epoch);
enum store_result store_grant(struct http_client *c, struct timespec ttl, int64_t *lease);
enum store_result store_renew(struct http_client *c, int64_t lease); /* CONFLICT: the lease has ended */

/* The mirror. Appliers run under store_lock; data NULL: the key is gone. The same call serves the watch, full
 * reads and our own writes, and drops what is older than what is known. */
typedef void (*store_applier)(const char *rest, const cJSON *data, int64_t stamp);
void store_observe(const char *prefix, store_applier fn);
void store_lock(void);
void store_unlock(void);
void store_apply(const char *key, const cJSON *data, int64_t stamp); /* with the lock held */
/* Applies what a transaction of ours has written. */
void store_apply_written(const struct store_txn *t, int64_t epoch);
int64_t store_stamp(const char *key);                       /* with the lock held; 0: not there */
bool store_refresh(struct http_client *c, const char *key); /* reads one key and applies it; false: no answer */
int64_t store_epoch(void);                                  /* with the lock held: all changes up to it are in */
bool store_ready(void);                                     /* with the lock held: read in full once */
struct timespec store_verified(void); /* with the lock held: when the last answered watch was sent */
bool store_away(void);                /* with the lock held: no look at the store has succeeded lately */
void store_mirror_start(void);
void store_nudge(void);
unsigned store_budget_used(void);
/* Changes written so far, by what they change. */
struct store_changes {
    unsigned jobs, bookings, releases, pages, others; /* releases: records of bookings that were removed */
};
struct store_changes store_changes_written(void);
int store_budget_room(enum store_class cls);              /* changes that the budget allows to the class now */
double store_budget_pace(bool changes);                   /* how much more than its part is taken, of either rate */
bool store_budget_calls_scarce(void);                     /* requests should be gathered into fewer */
void store_budget_parts(int controllers, double writing); /* how many share the service; our part of the changes */
#endif
