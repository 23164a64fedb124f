/* The occupancy of a machine and the headroom of a group of machines. Pure functions, but store_lock must be held to
 * read a machine. */
#ifndef FF_PLACEMENT_OCCUPANCY_H
#define FF_PLACEMENT_OCCUPANCY_H
#include "../model/machine.h"

/* Returns the allocated part of the machine, from 0 to 1: the mean of each resource over the latest `window` samples,
 * or over all if there are fewer; then the largest of these means. Returns 0 if there are no samples. */
double placement_occupancy(const struct machine *machine, int window);

/* Returns the headroom H = C - O of n_machines machines. O is `occupied`, the sum of their occupancies. The capacity C
 * is the reception threshold for the first machine plus the admission threshold for each other one. */
double placement_headroom(int n_machines, double occupied, double reception_threshold, double admission_threshold);
#endif
