#include "occupancy.h"

#include "../machine_types/machine_types.h"

static double allocated_fraction(double allocated, double capacity) { return capacity > 0 ? allocated / capacity : 0; }

void machines_add_occupancy_sample(struct machine *machine) {
    double vcpus = 0, gpus = 0, memory_gb = 0;
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        const struct job_spec *spec = &allocation->job->spec;
        /* Tasks that allow spot machines only use idle capacity of on-demand machines, where they may be preempted. If
         * these tasks counted, on-demand machines would be rented and kept for these tasks. */
        if (allocation->released || (!machine->spot && spec->allows_spot)) continue;
        vcpus += spec->vcpus;
        gpus += spec->gpus;
        memory_gb += spec->memory_gb;
    }
    if (!machine->type) machine->type = machine_types_find(machine->type_name);
    if (!machine->type) return;
    double *sample = machine->occupancy.samples[machine->occupancy.n_samples % MACHINE_OCCUPANCY_SAMPLES];
    sample[OCCUPANCY_VCPUS] = allocated_fraction(vcpus, machine->type->vcpus);
    sample[OCCUPANCY_MEMORY] = allocated_fraction(memory_gb, machine->type->memory_gb);
    sample[OCCUPANCY_GPUS] = allocated_fraction(gpus, machine->type->gpus);
    machine->occupancy.n_samples++;
}
