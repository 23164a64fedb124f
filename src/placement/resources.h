/* CPUs, GPUs and memory of machines and tasks, and arithmetic on them. The functions are pure; functions that read a
 * machine need store_lock. */
#ifndef FF_PLACEMENT_RESOURCES_H
#define FF_PLACEMENT_RESOURCES_H
#include <stdbool.h>

#include "../model/job.h"
#include "../model/machine.h"

/* Tolerance of comparisons: sums of the same amounts in different orders may differ by less than this. */
#define RESOURCES_TOLERANCE 1e-6

/* Amounts of each resource: requested, used or free. */
struct resources {
    double vcpus, gpus, memory_gb;
};

/* Returns the resources that the machine's allocations and the tasks planned in this round use. */
struct resources resources_used(const struct machine *machine);
/* Returns the resources of the machine that are not in use. The machine's type must be known. */
struct resources resources_free(const struct machine *machine);

/* Add or subtract the resources that one task requests. */
void resources_add_task(struct resources *resources, const struct job_spec *spec);
void resources_remove_task(struct resources *resources, const struct job_spec *spec);

/* Returns whether one more task fits on a machine of the type if `used` is already in use. */
bool resources_fit(const struct resources *used, const struct job_spec *spec, const struct machine_type *type);
/* Returns how many tasks fit into the free resources. */
int resources_tasks_that_fit(const struct resources *free, const struct job_spec *spec);
#endif
