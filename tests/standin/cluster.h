/* Several controllers as real processes against the stand-ins, with short times, on free ports. Each sees the store
 * through an endpoint of its own, which can be refused for it alone. For tests and rehearsals; the functions may be
 * called from several threads once cluster_start has returned. */
#ifndef FF_STANDIN_CLUSTER_H
#define FF_STANDIN_CLUSTER_H
#include <stdbool.h>
#include <stddef.h>
#include <time.h>

#define CLUSTER_MAX 5
#define CLUSTER_LEASE_S 4
#define CLUSTER_CANCEL_S 8

struct cluster_settings {
    int controllers;
    int shards;
    const char *teams[CLUSTER_MAX]; /* JSON list of each controller's settings; NULL: that of the first */
    const char *next_limits;        /* `state.next`; NULL: none */
    bool first_sees_no_peer;
};

bool cluster_start(const char *program, const struct cluster_settings *site); /* the stand-ins; no controller yet */
void cluster_clear(void);                             /* kills the controllers that run, and removes their files */
void cluster_program(int index, const char *program); /* what that controller is from its next start on */
/* Its file of divided teams from its next start on; NULL: none. */
bool cluster_quota(int index, const char *hcl);
bool cluster_teams(int index, const char *teams); /* another list in its settings from its next start on */
void cluster_start_controller(int index);
void cluster_kill_controller(int index);
void cluster_pause_controller(int index); /* the whole process stops until it is resumed */
void cluster_resume_controller(int index);
double cluster_processor_s(int index);           /* processor time of its process so far */
void cluster_refuse_store(int index, bool shut); /* the store refuses this controller alone */

bool cluster_record_names(const char *key, const char *field, int index); /* the record's field names that controller */
int cluster_owner(int shard);                                             /* index of its owner; -1: none that lives */
bool cluster_all_shards_owned(double within);                             /* every shard has an owner */

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
bool cluster_job_becomes(const char *job_id, const char *state, double within);
bool cluster_task_runs(const char *task, int want, double within); /* on so many machines */
void cluster_wait(struct timespec since, double seconds);
#endif
