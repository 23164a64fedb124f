/* Functions by which the watch thread (watch.c) updates the mirror. Used inside the package only. */
#ifndef FF_STORE_MIRROR_UPDATES_H
#define FF_STORE_MIRROR_UPDATES_H
#include <glib.h>
#include <stdint.h>
#include <time.h>

/* The functions below are called with or without store_lock. */

/* Returns for how long the store should hold a watch while there are no changes. */
int store_watch_hold_ms(void);
/* Returns the pause between two watches. */
struct timespec store_watch_gap(void);

/* The functions below are called with store_lock held. */

/* Called after all changes of a watch are applied: records the revision up to which the mirror is now current, and when
 * the watch was sent. */
void store_mirror_apply_watch(int64_t revision, struct timespec sent_at);
/* Called after all records of a full read are applied: removes the keys that are not in listed_keys and marks the
 * mirror as synced. revision and sent_at belong to the first page: the store's revision, and when the request was
 * sent. */
void store_mirror_finish_full_read(GHashTable *listed_keys, int64_t revision, struct timespec sent_at);
#endif
