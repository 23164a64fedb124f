#include "feasibility.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#define ROUNDING_TOLERANCE 1e-9

static bool type_in_zone(const struct machine_type *type, const char *zone) {
    for (int i = 0; i < type->n_zones; i++)
        if (strcmp(type->zones[i], zone) == 0) return true;
    return false;
}

static bool task_fits(const struct job_spec *spec, const struct machine_type *type) {
    if (spec->machine_types && !g_strv_contains((const char *const *)spec->machine_types, type->type_name))
        return false;
    if (spec->zone && !type_in_zone(type, spec->zone)) return false;
    return spec->vcpus <= type->vcpus + ROUNDING_TOLERANCE && spec->gpus <= type->gpus + ROUNDING_TOLERANCE &&
           spec->memory_gb <= type->memory_gb + ROUNDING_TOLERANCE;
}

static bool task_fits_any(const struct job_spec *spec, const struct machine_type *types, int n_types) {
    for (int i = 0; i < n_types; i++)
        if (task_fits(spec, &types[i])) return true;
    return false;
}

/* Returns whether the amount is above the limit; a limit of 0 means no limit. */
static bool above_limit(double amount, double limit) { return limit > 0 && amount > limit + ROUNDING_TOLERANCE; }

enum job_feasibility job_check_feasible(const struct job_spec *spec, const struct settings *settings,
                                        const struct machine_type *types, int n_types) {
    if (spec->team < 0) return JOB_TEAM_UNKNOWN;
    if (!task_fits_any(spec, types, n_types)) return JOB_FITS_NO_MACHINE_TYPE;
    const struct settings_team *team = &settings->teams[spec->team];
    double concurrent_tasks = spec->kind == JOB_ARRAY ? 1 : spec->tasks;
    if (above_limit(concurrent_tasks * spec->vcpus, team->cpus_max) ||
        above_limit(concurrent_tasks * spec->gpus, team->gpus_max))
        return JOB_ABOVE_TEAM_LIMIT;
    return JOB_FEASIBLE;
}
