/* Where a task may go and where it goes: decisions on the state at hand, without I/O. Called by scheduling rounds,
 * preemption, the autoscaler and rebalancing, with store_lock held.
 *
 * candidates.h prepares the machines of a round, fit.h tells whether a machine may take a task, bin_packing.h chooses
 * one, occupancy.h has the design's measures and resources.h the amounts. */
#ifndef FF_PLACEMENT_H
#define FF_PLACEMENT_H
#include "bin_packing.h"
#include "candidates.h"
#include "fit.h"
#include "occupancy.h"
#include "resources.h"
#endif
