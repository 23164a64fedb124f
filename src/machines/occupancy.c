#include "occupancy.h"

#include "../machine_types/machine_types.h"

static double part_of(double allocated, double capacity) { return capacity > 0 ? allocated / capacity : 0; }

void machines_add_occupancy_sample(struct machine *machine) {
    double vcpus = 0, gpus = 0, memory_gb = 0;
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        const struct job_spec *spec = &allocation->job->spec;
        /* On an on-demand machine, work that could run on a spot machine is no pressure: it only fills what is idle,
         * and is preempted. Counted, it would rent on-demand machines for itself and hold them. */
        if (allocation->released || (!machine->spot && spec->allows_spot)) continue;
        vcpus += spec->vcpus;
        gpus += spec->gpus;
        memory_gb += spec->memory_gb;
    }
    if (!machine->type) machine->type = machine_types_find(machine->type_name);
    if (!machine->type) return;
    double *sample = machine->occupancy.samples[machine->occupancy.n_samples % MACHINE_OCCUPANCY_SAMPLES];
    sample[OCCUPANCY_VCPUS] = part_of(vcpus, machine->type->vcpus);
    sample[OCCUPANCY_MEMORY] = part_of(memory_gb, machine->type->memory_gb);
    sample[OCCUPANCY_GPUS] = part_of(gpus, machine->type->gpus);
    machine->occupancy.n_samples++;
}
