/* How much of a machine is allocated, sampled with each of its heartbeats. Called by workers, with store_lock held. */
#ifndef FF_MACHINES_OCCUPANCY_H
#define FF_MACHINES_OCCUPANCY_H
#include "machines.h"

/* Adds a sample to the machine's window; none while its type is not known. */
void machines_add_occupancy_sample(struct machine *machine);
#endif
