/* Whether a submitted job could ever run. Pure; may be called from any thread. */
#ifndef FF_JOBS_FEASIBILITY_H
#define FF_JOBS_FEASIBILITY_H
#include "../model/job.h"
#include "../model/machine_type.h"
#include "../settings/settings.h"

enum job_feasibility {
    JOB_FEASIBLE,
    JOB_TEAM_UNKNOWN,
    JOB_FITS_NO_MACHINE_TYPE, /* of those that it allows, in the zone that it names */
    JOB_ABOVE_TEAM_LIMIT,     /* a task, or all tasks of a job that runs them together */
};

/* By the API for a new submission. Returns the first of these that holds; n_types machine types are the catalogue. */
enum job_feasibility job_check_feasible(const struct job_spec *spec, const struct settings *settings,
                                        const struct machine_type *types, int n_types);
#endif
