#include "planned_machine.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../machine_types/machine_types.h"

static bool type_allowed(const struct job_spec *spec, const char *type_name) {
    return !spec->machine_types || g_strv_contains((const char *const *)spec->machine_types, type_name);
}

static bool room_for_task(const struct resources *free, const struct job_spec *spec) {
    return spec->vcpus <= free->vcpus + RESOURCES_TOLERANCE && spec->gpus <= free->gpus + RESOURCES_TOLERANCE &&
           spec->memory_gb <= free->memory_gb + RESOURCES_TOLERANCE;
}

static struct resources resources_of_type(const struct machine_type *type) {
    return (struct resources){type->vcpus, type->gpus, type->memory_gb};
}

bool planned_machine_type_fits(const struct job_spec *spec, const struct machine_type *type) {
    struct resources capacity = resources_of_type(type);
    return type_allowed(spec, type->type_name) && room_for_task(&capacity, spec);
}

bool planned_machine_reserve_task(struct planned_machine *planned, const struct job *job, const char *zone) {
    const struct job_spec *spec = &job->spec;
    const struct rental_request *request = &planned->request;
    if (request->spot && !spec->allows_spot) return false;
    if (planned->in_other_shard && spec->allows_spot) return false;
    if (planned->reserved_for_gangs && spec->kind != JOB_GANG) return false;
    if (zone && strcmp(zone, request->zone) != 0) return false;
    if (spec->zone && strcmp(spec->zone, request->zone) != 0) return false;
    if (!type_allowed(spec, request->type_name) || !room_for_task(&planned->free, spec)) return false;
    resources_remove_task(&planned->free, spec);
    return true;
}

struct planned_machine *planned_machine_add(GArray *machines, const char *type_name, const char *zone, bool spot) {
    const struct machine_type *type = machine_types_find(type_name);
    if (!type) return NULL;
    struct planned_machine planned = {.request.spot = spot, .free = resources_of_type(type)};
    g_strlcpy(planned.request.type_name, type_name, sizeof planned.request.type_name);
    g_strlcpy(planned.request.zone, zone, sizeof planned.request.zone);
    g_array_append_val(machines, planned);
    return &g_array_index(machines, struct planned_machine, machines->len - 1);
}

bool planned_machine_is_empty(const struct planned_machine *planned) {
    const struct machine_type *type = machine_types_find(planned->request.type_name);
    return type && planned->free.vcpus >= type->vcpus - RESOURCES_TOLERANCE &&
           planned->free.gpus >= type->gpus - RESOURCES_TOLERANCE;
}
