/* Samples which fraction of a machine is allocated. Called by workers for each heartbeat, with store_lock held. */
#ifndef FF_MACHINES_OCCUPANCY_H
#define FF_MACHINES_OCCUPANCY_H
#include "machines.h"

/* Adds an occupancy sample to the machine, unless its type is not known yet. */
void machines_add_occupancy_sample(struct machine *machine);
#endif
