/* Logs the periodic status line of a shard. */
#include <glib.h>
#include <stdbool.h>

#include "../allocations/allocations.h"
#include "../logging/logging.h"
#include "../placement/placement.h"
#include "internal.h"
#include "scale_in.h"

/* Totals of the machines of one kind, spot or on-demand. */
struct kind_status {
    int n_up, n_booting;
    double gpus, gpus_allocated; /* on machines that are up */
};

/* The values of the status line. */
struct shard_status {
    struct kind_status on_demand, spot;
    int n_draining;
    double gpus_preemptible;              /* allocated on on-demand machines to jobs that allow spot machines */
    double occupied;                      /* sum of the occupancies of machines that are up */
    int pending[PRIORITY_PRODUCTION + 1]; /* pending tasks by priority */
};

static void count_allocated(struct shard_status *status, const struct machine *machine) {
    struct kind_status *kind = machine->spot ? &status->spot : &status->on_demand;
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        const struct job_spec *spec = &allocation->job->spec;
        if (allocation->released) continue;
        kind->gpus_allocated += spec->gpus;
        if (!machine->spot && spec->allows_spot) status->gpus_preemptible += spec->gpus;
    }
}

static void count_machine(struct shard_status *status, const struct machine *machine) {
    struct kind_status *kind = machine->spot ? &status->spot : &status->on_demand;
    if (machine->retirement.returning || machine->retirement.released) return;
    kind->n_up += machine->liveness.up;
    kind->n_booting += !machine->liveness.up;
    status->n_draining += machine->retirement.draining;
    if (!machine->liveness.up || !machine->type) return;
    kind->gpus += machine->type->gpus;
    status->occupied += placement_occupancy(machine, (int)autoscaler_settings->tuning.occupancy_window_heartbeats);
    count_allocated(status, machine);
}

static struct shard_status count_shard(int shard) {
    struct shard_status status = {0};
    for (guint i = 0; i < machines_of_shard(shard)->len; i++)
        count_machine(&status, machines_of_shard(shard)->pdata[i]);
    for (guint i = 0; i < jobs_active_in_shard(shard)->len; i++) {
        const struct job *job = jobs_active_in_shard(shard)->pdata[i];
        status.pending[job->effective_priority] += MAX(0, allocations_missing_tasks(job));
    }
    return status;
}

void scale_in_log_status(int shard) {
    const struct settings_tuning *tuning = &autoscaler_settings->tuning;
    struct shard_status status = count_shard(shard);
    const struct kind_status *on_demand = &status.on_demand, *spot = &status.spot;
    double headroom = placement_headroom(on_demand->n_up + spot->n_up - status.n_draining, status.occupied,
                                         tuning->reception_threshold, tuning->admission_threshold);
    log_info(
        "shard %d: pending %d/%d/%d/%d tasks (production to idle), up %d on-demand %d spot, booting %d+%d, draining "
        "%d, gpus allocated %.0f of %.0f on-demand (%.0f by preemptible work), %.0f of %.0f spot, occupancy %.2f, "
        "headroom %.2f",
        shard, status.pending[PRIORITY_PRODUCTION], status.pending[PRIORITY_HIGH], status.pending[PRIORITY_NORMAL],
        status.pending[PRIORITY_IDLE], on_demand->n_up, spot->n_up, on_demand->n_booting, spot->n_booting,
        status.n_draining, on_demand->gpus_allocated, on_demand->gpus, status.gpus_preemptible, spot->gpus_allocated,
        spot->gpus, status.occupied, headroom);
}
