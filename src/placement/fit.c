#include "fit.h"

#include <string.h>

#include "resources.h"

bool placement_fits(const struct machine *machine, const struct job_spec *spec) {
    if (!machine->type || machine->round.used_tasks >= MACHINE_TASKS_MAX) return false;
    struct resources used = resources_used(machine);
    return resources_fit(&used, spec, machine->type);
}

const char *placement_job_zone(const struct job *job) {
    if (!job->spec.single_zone) return NULL;
    for (guint i = 0; i < job->allocations->len; i++) {
        const struct allocation *allocation = job->allocations->pdata[i];
        if (!allocation->released) return allocation->machine->zone;
    }
    return NULL;
}

/* Returns how many tasks of the job are allocated or planned in the zone. A task counts until its release is proven. */
static int tasks_in_zone(const struct job *job, const char *zone, const GArray *plans) {
    int tasks = 0;
    for (guint i = 0; i < job->allocations->len; i++) {
        const struct allocation *allocation = job->allocations->pdata[i];
        tasks += !allocation->released && strcmp(allocation->machine->zone, zone) == 0;
    }
    for (guint i = plans ? plans->len : 0; i-- > 0;) {
        const struct planned_task *plan = &g_array_index(plans, struct planned_task, i);
        if (plan->job != job) break; /* the job's plans are contiguous and come last */
        tasks += strcmp(plan->machine->zone, zone) == 0;
    }
    return tasks;
}

bool placement_allowed(const struct machine *machine, const struct job *job, const char *zone, const GArray *plans) {
    const struct job_spec *spec = &job->spec;
    if (machine->spot && !spec->allows_spot) return false;
    if (spec->machine_types && !g_strv_contains((const char *const *)spec->machine_types, machine->type_name))
        return false;
    if (spec->zone && strcmp(spec->zone, machine->zone) != 0) return false;
    if (spec->single_zone && zone && strcmp(zone, machine->zone) != 0) return false;
    return !spec->spread || tasks_in_zone(job, machine->zone, plans) < (spec->tasks + 1) / 2;
}

void placement_reserve(struct machine *machine, const struct job_spec *spec) {
    machine->round.used_vcpus += spec->vcpus;
    machine->round.used_gpus += spec->gpus;
    machine->round.used_memory_gb += spec->memory_gb;
    machine->round.used_tasks++;
}

void placement_release(struct machine *machine, const struct job_spec *spec) {
    machine->round.used_vcpus -= spec->vcpus;
    machine->round.used_gpus -= spec->gpus;
    machine->round.used_memory_gb -= spec->memory_gb;
    machine->round.used_tasks--;
}
