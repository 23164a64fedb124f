/* Measures the use and the demand of a divided team's jobs in the local mirror of the store. With store_lock held.
 * Internal to this package. */
#ifndef FF_QUOTA_DEMAND_H
#define FF_QUOTA_DEMAND_H
#include "state.h"

/* Sets the team's `used`, `stopping` and `targets`, and updates its reservation. */
void quota_measure_demand(struct quota_team *team_quota);
#endif
