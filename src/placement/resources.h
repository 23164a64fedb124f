/* Amounts of what a machine has and a task asks for. Pure. */
#ifndef FF_PLACEMENT_RESOURCES_H
#define FF_PLACEMENT_RESOURCES_H
#include <stdbool.h>

#include "../model/job.h"
#include "../model/machine.h"

/* Sums of the same amounts in another order may differ by less than this. */
#define RESOURCES_TOLERANCE 1e-6

struct resources {
    double vcpus, gpus, memory_gb;
};

/* What allocations and this round's plans take of the machine. */
struct resources resources_used(const struct machine *machine);
/* The rest. The machine's type is known. */
struct resources resources_free(const struct machine *machine);

/* Adds or takes away what one task asks for. */
void resources_add_task(struct resources *resources, const struct job_spec *spec);
void resources_remove_task(struct resources *resources, const struct job_spec *spec);

/* Whether one more task fits on a machine of the type of which so much is used. */
bool resources_fit(const struct resources *used, const struct job_spec *spec, const struct machine_type *type);
/* How many tasks fit into what is free. */
int resources_tasks_that_fit(const struct resources *free, const struct job_spec *spec);
#endif
