/* Measures the use and the demand of a divided team's jobs in the mirror of the store. Used inside the package only. */
#ifndef FF_QUOTA_DEMAND_H
#define FF_QUOTA_DEMAND_H
#include "state.h"

/* Sets the team's `used`, `stopping` and `targets`, and updates its reservation. Called with store_lock held. */
void quota_measure_demand(struct quota_team *team_quota);
#endif
