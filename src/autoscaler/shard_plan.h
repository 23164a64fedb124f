/* A plan of rentals for a shard, which starts from the machines that the shard has. Used on the cloud's thread, with
 * store_lock held. */
#ifndef FF_AUTOSCALER_SHARD_PLAN_H
#define FF_AUTOSCALER_SHARD_PLAN_H
#include <glib.h>
#include <stdbool.h>

#include "planned_machine.h"

/* The plan of one shard. */
struct shard_plan {
    int shard;
    GArray *machines;            /* struct planned_machine: empty, on their way, in other shards, or requested */
    guint first_requested;       /* index in machines of the first machine that this plan requests */
    int n_present;               /* machines that exist or are on their way, except leaving machines */
    int n_requested;             /* machines requested for jobs */
    int n_on_demand_serving;     /* on-demand machines that are up, not draining and without a preemption notice */
    int n_up, n_overdue_booting; /* machines that are up; booting machines past their expected startup time */
    bool other_below_admission;  /* a machine other than the reception machine is below the admission threshold */
    bool any_booting;            /* machines of the shard are on their way */
    double backlog_gpu_s;        /* GPU seconds of waiting tasks that allow spot machines */
    double backlog_gpus;         /* GPUs that process this backlog */
    const struct machine *reception_machine;
};

/* Must be called once, before the threads start. The settings are not copied and must stay valid. */
void shard_plan_init(const struct settings *settings);
/* Returns a plan with the shard's machines. `jobs` holds its jobs in priority order (struct priority_entry). */
struct shard_plan shard_plan_begin(int shard, const GArray *jobs);
/* Frees the machines of the plan. */
void shard_plan_clear(struct shard_plan *plan);
/* Returns how many more machines the shard may have. */
int shard_plan_remaining_machines(const struct shard_plan *plan);
/* Adds a requested machine of this weight to the plan and returns it; NULL if its type is not known. */
struct planned_machine *shard_plan_add_request(struct shard_plan *plan, const struct rental_request *request,
                                               int weight);
#endif
