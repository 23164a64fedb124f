/* The planning pass of a scheduling round: the jobs in their order, each once. plan.c goes through the jobs,
 * plan_tasks.c places arrays and services task by task, plan_gang.c gangs as a whole. Internal to the package; all with
 * store_lock held, from the scheduler's thread. */
#ifndef FF_SCHEDULER_PLANNING_H
#define FF_SCHEDULER_PLANNING_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../placement/placement.h"
#include "../preemption/preemption.h"
#include "../priority/priority.h"
#include "round.h"

#define PLANS_MAX 600 /* tasks that a round places */

/* What surely is free on the machines with room, less what the jobs planned so far ask for. */
struct free_room {
    double vcpus, gpus;
};

#define NO_ROOM_SPECS_MAX 8

/* Submissions that found no room in this round. Room only shrinks while a round plans, so that what asks for as much or
 * more finds none either: with hundreds of jobs waiting, each examining all machines, an owner once did nothing else.
 */
struct no_room {
    const struct job_spec *specs[NO_ROOM_SPECS_MAX];
    guint n;
};

struct planning_pass {
    struct scheduling_round *round;
    GPtrArray *machines;           /* of the shard; the shard's */
    GPtrArray *machines_with_room; /* those that take the smallest of what waits; the pass's */
    struct placement_rules rules;
    GArray *order; /* struct priority_entry; the pass's */
    int *missing;  /* for each job of the order, the tasks to be placed; the pass's */
    struct free_room free;
    struct no_room no_room;
    int jobs_planned;                        /* jobs with planned tasks, each of which takes a write at least */
    struct team_usage usage[SETTINGS_TEAMS]; /* what each team's tasks take of the shard, plans included */
    bool held_back[SETTINGS_TEAMS]; /* the team's scarce quota is kept for a job that came before in the order */
};

/* The last attempt that was given out under the shard's fencing token, and the next one, which is higher than all
 * before it. */
int64_t planning_last_attempt(int shard);
int64_t planning_next_attempt(int shard);

/* Places a task of the job: its room and its part of the quota are taken. */
void planning_place_task(struct planning_pass *pass, struct job *job, int task, struct machine *machine,
                         int64_t attempt);

/* Whether tasks may be preempted for the job now. */
bool planning_may_preempt(const struct priority_entry *entry);

/* Plans what is missing of an array or a service. True if a task found no room. */
bool planning_array(struct planning_pass *pass, const struct priority_entry *entry, int missing);

/* Plans a gang. True if it found no room. */
bool planning_gang(struct planning_pass *pass, const struct priority_entry *entry);
#endif
