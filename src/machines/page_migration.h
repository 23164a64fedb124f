/* Pages that could not be rewritten under the service's next limit of a value. Their machines are written to others, a
 * page of them at a time: a later record moves a machine whatever an older one says, so that no step leaves it on none,
 * whoever reads what in between. A page is rewritten once the rest has room, and is stale until then.
 *
 * Called by scheduling rounds, with store_lock held. */
#ifndef FF_MACHINES_PAGE_MIGRATION_H
#define FF_MACHINES_PAGE_MIGRATION_H
#include <stdbool.h>

#include "../model/machine.h"

/* Sets `oversized` for each page of the shard that is above the next limit. */
void machines_oversized_pages(int shard, bool oversized[MACHINE_PAGES_MAX]);

/* Whether the page lists machines that a later record has moved to another one. */
bool machines_page_stale(int shard, int page);
/* Called where records are taken in. Pages out of range, as -1 for none, are passed over. */
void machines_page_mark_stale(int shard, int page);
void machines_page_clear_stale(int shard, int page);
#endif
