/* The mirror: the state of the store as this controller has last read it, kept current by a watch (watch.c).
 *
 * The mirror itself keeps only the mod revision of each key. The packages that use the records keep their contents;
 * they register observers for the prefixes of their keys. store_lock guards both the mirror and the state that
 * observers and their packages derive from it. */
#ifndef FF_STORE_MIRROR_H
#define FF_STORE_MIRROR_H
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../http/client.h"
#include "../json/json.h"
#include "../settings/settings.h"
#include "transaction.h"

/* The functions below are called before the threads start. */

/* An observer is called for each applied record whose key has its prefix, in the order of registration and with
 * store_lock held. key_suffix is the key without the prefix; data is NULL if the key was removed. The caller owns the
 * data. */
typedef void (*store_observer)(const char *key_suffix, const cJSON *data, int64_t mod_revision);
void store_observe_prefix(const char *prefix, store_observer observer);
/* Keeps the pointer to the settings. */
void store_mirror_init(const struct settings *settings);

/* Locks the mirror and all state that is derived from it. The lock is held only briefly, never during I/O, and is not
 * recursive. */
void store_lock(void);
void store_unlock(void);

/* The functions below are called with store_lock held. */

/* Passes a record to the observers of its key; data is NULL if the key was removed. Used for the results of the watch,
 * of other reads, and of this controller's own writes. Does nothing if the mirror already has this mod revision of the
 * key, or a later one. */
void store_apply(const char *key, const cJSON *data, int64_t mod_revision);
/* Applies the operations of a committed transaction of this controller; revision is that of the store's response. */
void store_apply_committed(const struct store_txn *txn, int64_t revision);
/* Returns the key's mod revision, or 0 if the key does not exist. */
int64_t store_key_revision(const char *key);
/* Returns the revision of the store up to which all changes are applied. */
int64_t store_revision(void);
/* Returns whether the store has been read in full at least once. */
bool store_synced(void);
/* Returns when the request of the last successful read (a watch or a full read) was sent. */
struct timespec store_last_read_sent(void);
/* Returns whether the store counts as unreachable: it was never read in full, or the last successful read is older than
 * it can be while an idle watch is held. */
bool store_unreachable(void);

/* The functions below are called without store_lock. */

/* Reads one key and applies the result. Returns false if the read failed. */
bool store_refresh(struct http_client *client, const char *key);
/* Starts the thread that reads the store in full and then watches it. */
void store_mirror_start(void);
/* Ends the pause before the next watch. May also be called with store_lock held. */
void store_wake_watch(void);
#endif
