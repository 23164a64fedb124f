/* Plays a scenario against real controllers and the stand-ins, and judges it by the workers' own log. */
#ifndef FF_REHEARSAL_PLAY_H
#define FF_REHEARSAL_PLAY_H
#include <stdbool.h>

#include "scenario.h"

struct play_result {
    bool passed;
    double filled_s;  /* from the first submission until the first limited team held its limit; negative: never */
    double used;      /* mean part of its limit in use while it had work */
    double pause_s;   /* the longest time without a start of that team's while its work waited */
    double starved_s; /* the longest time below a guarantee while there was work for it */
    double busiest_s; /* processor time of the busiest controller */
    int starts, changes, requests; /* tasks started; of the store: changes and requests */
};

/* Prints what happens in order. Undivided: every team keeps to one shard, whatever the scenario says. */
bool play_scenario(const char *program, const struct scenario *scenario, unsigned seed, bool undivided,
                   struct play_result *out);
#endif
