/* Scenarios of rehearsals: files that say which teams there are, what happens when, and what must hold. */
#ifndef FF_REHEARSAL_SCENARIO_H
#define FF_REHEARSAL_SCENARIO_H
#include <stdbool.h>
#include <stddef.h>

#define SCENARIO_TEAMS 4
#define SCENARIO_STEPS 32
#define SCENARIO_NAME 32
#define SCENARIO_DESCRIPTION_BYTES 128

enum scenario_action {
    SCENARIO_BURST, /* arrays and gangs of a team, at every controller in turn */
    SCENARIO_GANG,  /* one gang */
    SCENARIO_FLOOD, /* one-task jobs at every controller, all at once */
    SCENARIO_END,   /* of a controller's process */
    SCENARIO_BEGIN,
    SCENARIO_STOP, /* it stands still */
    SCENARIO_CONTINUE,
    SCENARIO_CUT, /* the store refuses this controller alone */
    SCENARIO_HEAL
};

struct scenario_team {
    char name[SCENARIO_NAME];
    double guarantee, limit; /* in GPUs; 0: none */
    int shards;
};

struct scenario_step {
    double at; /* seconds from the beginning */
    enum scenario_action action;
    int team, count; /* jobs, or tasks of a gang */
    int controller;  /* -1: the owner of the team's first shard, as it is then or was when a step last named it so */
};

struct scenario {
    char what[SCENARIO_DESCRIPTION_BYTES];
    int controllers, machines;
    double starved_most; /* for how long a team may be below its guarantee while it has work */
    double jobs_end_within;
    struct scenario_team teams[SCENARIO_TEAMS];
    int n_teams;
    struct scenario_step steps[SCENARIO_STEPS];
    int n_steps;
};

/* False with file, field and fault named where the file breaks the schema. */
bool scenario_read(const char *path, struct scenario *out, char *err, size_t errlen);
const char *scenario_action_name(enum scenario_action action);
#endif
