/* Scenarios of rehearsals. A scenario file lists teams, steps with their times, and the conditions of a pass. */
#ifndef FF_REHEARSAL_SCENARIO_H
#define FF_REHEARSAL_SCENARIO_H
#include <stdbool.h>
#include <stddef.h>

#define SCENARIO_TEAMS_MAX 4
#define SCENARIO_STEPS_MAX 32
#define SCENARIO_NAME_BYTES 32
#define SCENARIO_DESCRIPTION_BYTES 128

enum scenario_action {
    SCENARIO_BURST,    /* submits arrays and gangs of a team, to each controller in turn */
    SCENARIO_GANG,     /* submits one gang */
    SCENARIO_FLOOD,    /* submits one-task jobs to all controllers in parallel */
    SCENARIO_END,      /* kills a controller's process */
    SCENARIO_BEGIN,    /* starts a controller's process */
    SCENARIO_STOP,     /* pauses a controller's process */
    SCENARIO_CONTINUE, /* resumes a paused process */
    SCENARIO_CUT,      /* makes the store refuse this controller's requests */
    SCENARIO_HEAL      /* ends the effect of SCENARIO_CUT */
};

struct scenario_team {
    char name[SCENARIO_NAME_BYTES];
    double guarantee, limit; /* GPUs; 0: none */
    int shards;
};

struct scenario_step {
    double at_s; /* seconds from the start of the run, when controllers and teams are ready */
    enum scenario_action action;
    int team, count; /* team: index, -1: none; count: number of jobs, or of a gang's tasks */
    /* Index; -1: a controller chosen by the team. END, STOP and CUT choose the present owner of the team's first shard;
     * BEGIN, CONTINUE and HEAL choose the controller that END, STOP or CUT last chose this way. */
    int controller;
};

struct scenario {
    char description[SCENARIO_DESCRIPTION_BYTES];
    int controllers, machines;
    double starvation_limit_s; /* the longest time that a team may be below its guarantee while it has work */
    double jobs_end_within_s;  /* after the last step */
    double copies_within_s; /* each command with starts reaches its worker once more within this time; 0: none does */
    struct scenario_team teams[SCENARIO_TEAMS_MAX];
    int n_teams;
    struct scenario_step steps[SCENARIO_STEPS_MAX];
    int n_steps;
};

/* Reads a scenario file. If it is unreadable or breaks the schema, writes file, field and fault to err and returns
 * false. */
bool scenario_read(const char *path, struct scenario *out, char *err, size_t errlen);
/* The action's name in scenario files. */
const char *scenario_action_name(enum scenario_action action);
#endif
