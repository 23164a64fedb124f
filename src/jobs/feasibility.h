/* Checks whether a submitted job could ever run. Pure; may be called from any thread. */
#ifndef FF_JOBS_FEASIBILITY_H
#define FF_JOBS_FEASIBILITY_H
#include "../model/job.h"
#include "../model/machine_type.h"
#include "../settings/settings.h"

enum job_feasibility {
    JOB_FEASIBLE,
    JOB_TEAM_UNKNOWN,
    JOB_FITS_NO_MACHINE_TYPE, /* of the types and zone that the submission allows */
    JOB_ABOVE_TEAM_LIMIT,     /* one task of a job array, or all tasks of a gang or service, need more than the limit */
};

/* Checks a new submission against the catalogue of n_types machine types. Returns JOB_FEASIBLE, or the first reason in
 * the order of the enum why the job could never run. */
enum job_feasibility job_check_feasible(const struct job_spec *spec, const struct settings *settings,
                                        const struct machine_type *types, int n_types);
#endif
