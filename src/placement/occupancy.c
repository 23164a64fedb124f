#include "occupancy.h"

#include <glib.h>

#define COMPONENTS G_N_ELEMENTS(((struct machine_occupancy *)NULL)->samples[0])

double placement_occupancy(const struct machine *machine, int window) {
    double sums[COMPONENTS] = {0}, largest = 0;
    int samples = MIN(machine->occupancy.n_samples, window);
    if (samples == 0) return 0;
    for (int i = 0; i < samples; i++) {
        int latest = machine->occupancy.n_samples - 1 - i;
        const double *sample = machine->occupancy.samples[latest % MACHINE_OCCUPANCY_SAMPLES];
        for (size_t k = 0; k < COMPONENTS; k++) sums[k] += sample[k];
    }
    for (size_t k = 0; k < COMPONENTS; k++) largest = MAX(largest, sums[k] / samples);
    return largest;
}

double placement_headroom(int n, double occupied, double reception, double admission) {
    return n == 0 ? 0 : reception + (n - 1) * admission - occupied;
}
