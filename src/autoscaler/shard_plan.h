/* What a shard has, as a plan of rentals begins with it. On the cloud's thread, with store_lock held. */
#ifndef FF_AUTOSCALER_SHARD_PLAN_H
#define FF_AUTOSCALER_SHARD_PLAN_H
#include <glib.h>
#include <stdbool.h>

#include "planned_machine.h"

struct shard_plan {
    int shard;
    GArray *machines;      /* struct planned_machine: there with room, on their way, and requested */
    guint first_requested; /* those from here on are requested by this plan */
    int n_present;         /* there, or on their way */
    int n_requested;       /* by jobs, of machines */
    int n_steady;          /* on-demand machines that are up and stay */
    int n_up, n_overdue;   /* overdue: should have come up by now */
    bool below_admission;  /* another machine than the reception machine is below the admission threshold */
    bool booting;          /* machines are on their way */
    double backlog_gpu_s;  /* of work that may use spot machines */
    double backlog_gpus;   /* that work it off */
    const struct machine *reception_machine;
};

/* Once, before the threads start. The settings stay the caller's. */
void shard_plan_init(const struct settings *settings);
/* Counts what the shard has. jobs: its waiting jobs in order, struct priority_entry. */
struct shard_plan shard_plan_begin(int shard, const GArray *jobs);
void shard_plan_clear(struct shard_plan *plan);
/* So many more machines the shard may have. */
int shard_plan_room(const struct shard_plan *plan);
/* One more machine in the plan, as requested, with that weight. */
struct planned_machine *shard_plan_request(struct shard_plan *plan, const struct rental_request *request, int weight);
#endif
