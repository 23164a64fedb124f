#include "occupancy.h"

#include <glib.h>

#define N_COMPONENTS G_N_ELEMENTS(((struct machine_occupancy *)NULL)->samples[0])

double placement_occupancy(const struct machine *machine, int window) {
    double sums[N_COMPONENTS] = {0}, largest = 0;
    int n_samples = MIN(machine->occupancy.n_samples, window);
    if (n_samples == 0) return 0;
    for (int i = 0; i < n_samples; i++) {
        int sample_index = machine->occupancy.n_samples - 1 - i;
        const double *sample = machine->occupancy.samples[sample_index % MACHINE_OCCUPANCY_SAMPLES];
        for (size_t component = 0; component < N_COMPONENTS; component++) sums[component] += sample[component];
    }
    for (size_t component = 0; component < N_COMPONENTS; component++)
        largest = MAX(largest, sums[component] / n_samples);
    return largest;
}

double placement_headroom(int n_machines, double occupied, double reception_threshold, double admission_threshold) {
    return n_machines == 0 ? 0 : reception_threshold + (n_machines - 1) * admission_threshold - occupied;
}
