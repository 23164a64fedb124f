/* A cluster of two controllers. The first, n0 in zone za, sees no peer; the second, n1, is in zone zb. */
#ifndef FF_STANDIN_PAIR_H
#define FF_STANDIN_PAIR_H
#include <stdbool.h>
#include <time.h>

#include "cluster.h"

#define PAIR_LEASE_S CLUSTER_LEASE_S
#define PAIR_CANCEL_S CLUSTER_CANCEL_S

void pair_next_limits(const char *json);           /* `state.next` of the settings; before pair_start */
bool pair_start(const char *program);              /* the stand-ins; no controller yet */
void pair_clear(void);                             /* kills the controllers that run */
void pair_program(int index, const char *program); /* what that controller is from its next start on */
void pair_start_controller(int index);
void pair_kill_controller(int index);
void pair_pause_controller(int index); /* the whole process stops until it is resumed */
void pair_resume_controller(int index);
/* Starts both anew with controller `first` leading; false if that was not so within 15 s. */
bool pair_start_led_by(int first);

long pair_ask_one(int index, const char *method, const char *path, const char *body, char *state, size_t n);
/* Asks one controller, or the other if that does not answer. */
long pair_ask(int first, const char *method, const char *path, const char *body, char *state, size_t n);
/* Submits until it is accepted, up to 20 s. Tasks of uids req-9... run on, others for 0.6 s. Team green has a limit of
 * 4 tasks; its shard is red's. */
bool pair_submit(const char *job_id, const char *team, const char *shape, int tasks);
/* The same with `prereqs`, a JSON list; the status that ended it. */
long pair_submit_after(const char *job_id, const char *team, const char *shape, int tasks, const char *prereqs);
/* Asks one controller to cancel the job until it answers 200, `within` seconds at most; what it says of the job at
 * last. */
void pair_cancel_at(int index, const char *job_id, double within, char *state, size_t n);
const char *pair_team_of(int owner); /* a team whose shard that controller owns; NULL: none */
bool pair_leads(int index);
bool pair_task_runs(const char *task, int want, double within); /* on so many machines */
bool pair_job_becomes(const char *job_id, const char *state, double within);
void pair_wait(struct timespec since, double seconds);
#endif
