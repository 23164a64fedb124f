/* Views: the divided teams in each controller's settings, as mirrored from the records `quota-view/NODE`. Used inside
 * the package only; all functions except quota_views_init are called with store_lock held. */
#ifndef FF_QUOTA_VIEWS_H
#define FF_QUOTA_VIEWS_H
#include <stdbool.h>

#include "state.h"

/* Called once, before the threads start. */
void quota_views_init(void);
/* Returns this controller's view of the team, from its settings. */
struct quota_view quota_view_own(int team);
/* Combines the views of all controllers in the settings: the lowest limit, the lowest guarantee, and the number of
 * shards, 0 if the controllers differ in it. Returns false if a controller has not recorded its view of the team. */
bool quota_view_agreed(int team, struct quota_view *out);
/* Returns the lowest limit in any known view. */
struct quota_amount quota_view_lowest_limit(int team);
#endif
