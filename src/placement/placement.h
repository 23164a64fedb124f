/* Decides which machines may take a task and which one gets it, without I/O. Called by scheduling rounds, preemption,
 * the autoscaler and rebalancing, with store_lock held.
 *
 * candidates.h prepares the machines of a round, fit.h checks whether a machine may take a task, bin_packing.h chooses
 * a machine, occupancy.h computes occupancy and headroom, and resources.h does arithmetic on resources. */
#ifndef FF_PLACEMENT_H
#define FF_PLACEMENT_H
#include "bin_packing.h"
#include "candidates.h"
#include "fit.h"
#include "occupancy.h"
#include "resources.h"
#endif
