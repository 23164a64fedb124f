/* What a divided team's jobs use and ask for, from the mirror. With store_lock held. Internal to this package. */
#ifndef FF_QUOTA_DEMAND_H
#define FF_QUOTA_DEMAND_H
#include "state.h"

/* Counts what each allotment uses, and computes the targets. */
void quota_measure_demand(struct quota_team *team_quota);
#endif
