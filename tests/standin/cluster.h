/* Several controllers as real processes against the stand-ins, with short times, on free ports. Each sees the store
 * through a door of its own, which can be shut for it alone. */
#ifndef FF_STANDIN_CLUSTER_H
#define FF_STANDIN_CLUSTER_H
#include <stdbool.h>
#include <stddef.h>
#include <time.h>

#define CLUSTER_MAX 5
#define CLUSTER_LEASE_S 4
#define CLUSTER_CANCEL_S 8

struct cluster_site {
    int controllers;
    int shards;
    const char *teams[CLUSTER_MAX]; /* JSON list of each controller's settings; NULL: that of the first */
    const char *next_limits;        /* `state.next`; NULL: none */
    bool first_sees_no_peer;
};

bool cluster_start(const char *program, const struct cluster_site *site); /* the stand-ins; no controller yet */
void cluster_clear(void);                                                 /* ends what runs */
void cluster_program(int index, const char *program); /* what that controller is from its next beginning on */
/* Its file of divided teams from its next beginning on; NULL: none. */
bool cluster_quota(int index, const char *hcl);
bool cluster_teams(int index, const char *teams); /* another list in its settings from its next beginning on */
void cluster_begin(int index);
void cluster_end(int index);
void cluster_stop(int index); /* stands still as a whole until it is continued */
void cluster_continue(int index);
double cluster_processor_s(int index);           /* processor time of its process so far */
void cluster_refuse_store(int index, bool shut); /* the store refuses this controller alone */

bool cluster_names(const char *key, const char *field, int index); /* the record's field names that controller */
int cluster_owner(int shard);                                      /* index of its owner; -1: none that lives */
bool cluster_shared(double within);                                /* every shard has an owner */

struct cluster_job {
    const char *job_id, *team, *kind, *priority;
    int tasks;
    double vcpus, gpus;
    const char *prerequisites; /* JSON list; NULL: none */
};
/* Asks one controller; 0: no answer. The state, where it is asked for, is empty if the answer has none. */
long cluster_ask(int index, const char *method, const char *path, const char *body, char *state, size_t n);
long cluster_submit_once(int index, const struct cluster_job *job);
/* Submits at one controller, then the next, until it is accepted or refused for good; the status that ended it. */
long cluster_submit(int first, const struct cluster_job *job);
long cluster_cancel(int first, const char *job_id, double within); /* until somebody confirms it */
bool cluster_becomes(const char *job_id, const char *state, double within);
bool cluster_runs(const char *task, int want, double within); /* on so many machines */
void cluster_wait(struct timespec since, double seconds);
#endif
