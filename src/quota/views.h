/* The divided teams in each controller's settings, as mirrored from the records `quota-view/NODE`. With store_lock
 * held. Internal to this package. */
#ifndef FF_QUOTA_VIEWS_H
#define FF_QUOTA_VIEWS_H
#include <stdbool.h>

#include "state.h"

/* Called once, before the threads start. */
void quota_views_init(void);
/* The team in this controller's own settings. */
struct quota_view quota_view_own(int team);
/* Combines the views of all controllers in the settings: the lowest limit, the lowest guarantee, and the number of
 * shards, 0 if the controllers differ in it. Returns false if a controller has not recorded its view of the team. */
bool quota_view_agreed(int team, struct quota_view *out);
/* The lowest limit in any known view. */
struct quota_amount quota_view_lowest_limit(int team);
#endif
