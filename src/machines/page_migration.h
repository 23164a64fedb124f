/* Moves machines off pages that exceed the state service's next limit for a value and could not be rewritten under it.
 *
 * The machines are first written to other pages. The later of two records that list a machine takes precedence, so that
 * every machine is on a page at each step, whatever a controller has read so far. The old page is rewritten once its
 * remaining machines fit. Until then it is stale: it still lists the moved machines.
 *
 * Called by scheduling rounds, with store_lock held. */
#ifndef FF_MACHINES_PAGE_MIGRATION_H
#define FF_MACHINES_PAGE_MIGRATION_H
#include <stdbool.h>

#include "../model/machine.h"

/* Sets oversized[page] for each page of the shard: whether the page exceeds the next limit. If the limit does not
 * decrease, no page is oversized. */
void machines_find_oversized_pages(int shard, bool oversized[MACHINE_PAGES_MAX]);

/* Tells whether the page lists machines that a later record has moved elsewhere. */
bool machines_page_is_stale(int shard, int page);
/* Set and clear the mark of stale pages when records are applied. machines_page_mark_stale ignores a page out of range,
 * such as -1 for none. */
void machines_page_mark_stale(int shard, int page);
void machines_page_clear_stale(int shard, int page);
#endif
