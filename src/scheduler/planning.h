/* The planning pass of a scheduling round, which visits each job once, in the order of priority. plan.c visits the
 * jobs, plan_tasks.c places arrays and services task by task, plan_gang.c places gangs as a whole. Internal to the
 * package; called with store_lock held, from the scheduler's thread. */
#ifndef FF_SCHEDULER_PLANNING_H
#define FF_SCHEDULER_PLANNING_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../placement/placement.h"
#include "../preemption/preemption.h"
#include "../priority/priority.h"
#include "round.h"

#define PLANNED_TASKS_MAX 600 /* the most tasks that one round plans */

/* Free resources of the machines with room, less the requests of the jobs visited so far. Negative if these request
 * more. */
struct free_capacity {
    double vcpus, gpus;
};

#define UNPLACEABLE_SPECS_MAX 8

/* Specs of arrays without placement constraints that found no room in this round. Room only shrinks while a round
 * plans, so an array that requests at least as much finds none either. When each of hundreds of waiting jobs examined
 * all machines, an owner spent all its time on that. */
struct unplaceable_specs {
    const struct job_spec *specs[UNPLACEABLE_SPECS_MAX];
    guint n;
};

/* The state of a planning pass. */
struct planning_pass {
    struct scheduling_round *round;
    GPtrArray *machines;           /* the shard's machines; the shard owns the array */
    GPtrArray *machines_with_room; /* machines with room for the smallest missing task; owned by the pass */
    struct placement_rules rules;
    GArray *order;      /* struct priority_entry; owned by the pass */
    int *missing_tasks; /* tasks to place, for each entry of `order`; owned by the pass */
    struct free_capacity capacity_left;
    struct unplaceable_specs unplaceable;
    int jobs_planned;                               /* jobs with planned tasks; each takes at least one write */
    struct team_usage usage[SETTINGS_TEAMS_MAX];    /* each team's usage of the shard, plans included */
    bool scarce_quota_reserved[SETTINGS_TEAMS_MAX]; /* the team's scarce quota is reserved for a job earlier in the
                                                       order */
};

/* Returns the highest attempt number issued under the shard's fencing token. */
int64_t planning_last_attempt(int shard);
/* Issues the next attempt number, which is higher than all before it. */
int64_t planning_next_attempt(int shard);

/* Plans a task of the job on the machine: reserves resources there, and adds these resources to the team's usage. */
void planning_place_task(struct planning_pass *pass, struct job *job, int task, struct machine *machine,
                         int64_t attempt);

/* Returns whether tasks may be preempted for the job now. */
bool planning_may_preempt(const struct priority_entry *entry);

/* Plans the missing tasks of an array or a service. Returns true if a task found no room. */
bool planning_schedule_array(struct planning_pass *pass, const struct priority_entry *entry, int missing);

/* Plans a gang. If it is partly lost, replaces the lost tasks or stops the others. Returns true if the gang found no
 * room. */
bool planning_schedule_gang(struct planning_pass *pass, const struct priority_entry *entry);
#endif
