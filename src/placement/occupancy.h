/* Occupancy and headroom as the design defines them. Pure but for the machine, which is read with store_lock held. */
#ifndef FF_PLACEMENT_OCCUPANCY_H
#define FF_PLACEMENT_OCCUPANCY_H
#include "../model/machine.h"

/* Part of the machine that is allocated, 0 to 1: of each component the mean over the latest samples, at most `window`
 * of them, then the largest. 0 where there is no sample yet. */
double placement_occupancy(const struct machine *machine, int window);

/* Headroom H = C - O of so many machines, whose occupancies add up to `occupied`: the capacity C counts the first with
 * the reception threshold and each other with the admission threshold. */
double placement_headroom(int n, double occupied, double reception, double admission);
#endif
