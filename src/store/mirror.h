/* The mirror: what this controller knows of the store's records, kept current by a watch (watch.c).
 *
 * The mirror itself keeps the mod revision of each key; the records are kept by the packages that they concern, which
 * observe the prefixes of their keys. store_lock is the lock of all that: it guards the mirror and the state that
 * observers and their packages keep of it. It is held for a moment at a time, never during I/O. */
#ifndef FF_STORE_MIRROR_H
#define FF_STORE_MIRROR_H
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../http/client.h"
#include "../json/json.h"
#include "../settings/settings.h"
#include "transaction.h"

/* Before the threads start. */

/* Called with store_lock held, with the key without its prefix; data NULL: the key was removed. The data belong to the
 * caller. Observers are called in the order of their registration. */
typedef void (*store_observer)(const char *rest, const cJSON *data, int64_t mod_revision);
void store_observe_prefix(const char *prefix, store_observer observer);
/* The settings are kept. */
void store_mirror_init(const struct settings *settings);

/* The lock of the mirror and of all that is derived from it. Held for short, never across I/O; not recursive. */
void store_lock(void);
void store_unlock(void);

/* With store_lock held. */

/* Tells the observers of a record, or of a removal where data is NULL. Serves the watch, full reads and this
 * controller's own writes alike, and drops what is older than what is known. */
void store_apply(const char *key, const cJSON *data, int64_t mod_revision);
/* Applies what a transaction of this controller has written, at the revision of its response. */
void store_apply_committed(const struct store_txn *txn, int64_t revision);
/* The key's mod revision; 0: it does not exist. */
int64_t store_key_revision(const char *key);
/* All changes up to this revision of the store are applied. */
int64_t store_revision(void);
/* Whether the store was read in full once. */
bool store_synced(void);
/* When the last read that was answered, by watch or in full, was sent. */
struct timespec store_last_read(void);
/* Whether no read has succeeded lately. */
bool store_unreachable(void);

/* Without store_lock. */

/* Reads one key and applies it; false: no answer. */
bool store_refresh(struct http_client *client, const char *key);
/* Starts the thread that reads the store in full, then watches it. */
void store_mirror_start(void);
/* Lets the next watch be sent at once. May be called with store_lock held as well. */
void store_wake_watch(void);
#endif
