/* How the watch's thread (watch.c) brings the mirror up to date. Used inside the package only. */
#ifndef FF_STORE_MIRROR_UPDATES_H
#define FF_STORE_MIRROR_UPDATES_H
#include <glib.h>
#include <stdint.h>
#include <time.h>

/* With or without store_lock. */

/* For how long the store is to hold a watch that finds no changes. */
int store_watch_hold_ms(void);
/* How long to wait between a watch and the next. */
struct timespec store_watch_gap(void);

/* With store_lock held. */

/* All changes up to the revision are applied, by a watch that was sent at that time. */
void store_mirror_watched(int64_t revision, struct timespec sent);
/* All records were read and applied: `listed` holds the keys, the first page of the list was sent at that time, and the
 * store was at the revision then. */
void store_mirror_read_in_full(GHashTable *listed, int64_t revision, struct timespec sent);
#endif
