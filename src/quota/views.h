/* What each controller's settings say of divided teams, as the records `quota-view/NODE` show it. With store_lock held.
 * Internal to this package. */
#ifndef FF_QUOTA_VIEWS_H
#define FF_QUOTA_VIEWS_H
#include <stdbool.h>

#include "state.h"

/* Once, before the threads start. */
void quota_views_init(void);
/* What this controller's own settings say. */
struct quota_view quota_view_own(int team);
/* What all controllers of the settings agree on: the lowest limit and guarantee of all views, and the number of shards,
 * 0 while they differ. False while one of them has not recorded its view. */
bool quota_view_agreed(int team, struct quota_view *out);
/* The lowest limit that any known view names. */
struct quota_amount quota_view_least_limit(int team);
#endif
