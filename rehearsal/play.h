/* Plays a scenario with real controllers and the stand-ins, and checks the history that the stand-in workers log. */
#ifndef FF_REHEARSAL_PLAY_H
#define FF_REHEARSAL_PLAY_H
#include <stdbool.h>

#include "scenario.h"

struct play_result {
    bool passed;
    /* Of the first team of the scenario, from the first step until all jobs are done or the time allowed for the jobs
     * is over. */
    double time_to_limit_s;     /* until the team held its limit; negative: it never did */
    double mean_utilisation;    /* mean share of its limit in use, 0 to 1; 0 without a limit */
    double longest_start_gap_s; /* the longest time without a start of a task while tasks waited */
    /* Of all teams and controllers. */
    double longest_starvation_s; /* the longest wait of a task that fits into the rest of its team's guarantee */
    double busiest_cpu_time_s;   /* of the controller that used the most */
    int task_starts, store_changes, store_requests; /* since the first step */
};

/* Prints the steps and their outcome as they happen. With undivided, every team has one shard, whatever the scenario
 * says. Returns whether the run passed. */
bool play_scenario(const char *program, const struct scenario *scenario, unsigned seed, bool undivided,
                   struct play_result *out);
#endif
