#include "resources.h"

#include <glib.h>

#define TASKS_THAT_FIT_MAX 1e6 /* also the result for a task that requests nothing */

struct resources resources_used(const struct machine *machine) {
    return (struct resources){machine->round.used_vcpus, machine->round.used_gpus, machine->round.used_memory_gb};
}

struct resources resources_free(const struct machine *machine) {
    const struct machine_type *type = machine->type;
    return (struct resources){type->vcpus - machine->round.used_vcpus, type->gpus - machine->round.used_gpus,
                              type->memory_gb - machine->round.used_memory_gb};
}

void resources_add_task(struct resources *resources, const struct job_spec *spec) {
    resources->vcpus += spec->vcpus;
    resources->gpus += spec->gpus;
    resources->memory_gb += spec->memory_gb;
}

void resources_remove_task(struct resources *resources, const struct job_spec *spec) {
    resources->vcpus -= spec->vcpus;
    resources->gpus -= spec->gpus;
    resources->memory_gb -= spec->memory_gb;
}

bool resources_fit(const struct resources *used, const struct job_spec *spec, const struct machine_type *type) {
    return used->vcpus + spec->vcpus <= type->vcpus + RESOURCES_TOLERANCE &&
           used->gpus + spec->gpus <= type->gpus + RESOURCES_TOLERANCE &&
           used->memory_gb + spec->memory_gb <= type->memory_gb + RESOURCES_TOLERANCE;
}

static double tasks_that_fit(double free, double requested) {
    if (requested <= 0) return TASKS_THAT_FIT_MAX;
    double tasks = (free + RESOURCES_TOLERANCE) / requested;
    return tasks < TASKS_THAT_FIT_MAX ? tasks : TASKS_THAT_FIT_MAX;
}

int resources_tasks_that_fit(const struct resources *free, const struct job_spec *spec) {
    double tasks = MIN(tasks_that_fit(free->vcpus, spec->vcpus), tasks_that_fit(free->gpus, spec->gpus));
    tasks = MIN(tasks, tasks_that_fit(free->memory_gb, spec->memory_gb));
    return tasks < 0 ? 0 : (int)tasks;
}
