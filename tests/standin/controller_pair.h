/* A cluster (cluster.h) of two controllers, two shards and the teams red, blue and green. The first controller, n0 in
 * zone za, cannot reach its peer; the second, n1, is in zone zb. A function without a comment does the same as the
 * function of cluster.h whose name begins with cluster_ instead of pair_. */
#ifndef FF_STANDIN_CONTROLLER_PAIR_H
#define FF_STANDIN_CONTROLLER_PAIR_H
#include <stdbool.h>
#include <time.h>

#include "cluster.h"

#define PAIR_WORKER_LEASE_S CLUSTER_WORKER_LEASE_S
#define PAIR_CANCEL_DEADLINE_S CLUSTER_CANCEL_DEADLINE_S

void pair_set_next_limits(const char *json); /* `state.next` of the settings; called before pair_start */
bool pair_start(const char *program);        /* starts the stand-ins, but no controller */
void pair_teardown(void);
void pair_set_program(int index, const char *program);
void pair_start_controller(int index);
void pair_kill_controller(int index);
void pair_pause_controller(int index);
void pair_resume_controller(int index);
/* Kills both controllers and starts them again so that `leader` leads. Returns false if it does not lead, or a shard
 * has no owner, 15 s after the call. */
bool pair_restart_with_leader(int leader);

long pair_request(int index, const char *method, const char *path, const char *body, char *state, size_t n);
/* Sends a request to one controller, and to the other if the first does not respond or gives a retryable error. Returns
 * the last status. */
long pair_request_either(int first, const char *method, const char *path, const char *body, char *state, size_t n);
/* Submits a job to the second controller first, as cluster_submit does. Returns whether it was accepted. Tasks of jobs
 * whose ids begin with req-9 run until they are stopped, others for 0.6 s. Team green has a limit of 4 tasks (4 GPUs);
 * teams green and red have the same shard. */
bool pair_submit(const char *job_id, const char *team, const char *shape, int tasks);
/* Submits a job with prerequisites, a JSON list of job ids, as pair_submit does. Returns the last status. */
long pair_submit_with_prerequisites(const char *job_id, const char *team, const char *shape, int tasks,
                                    const char *prerequisites);
/* Sends the cancellation to one controller until it answers 200 or timeout_s is over. Copies the job's state in the
 * last response into state, which holds n bytes. */
void pair_cancel_job(int index, const char *job_id, double timeout_s, char *state, size_t n);
/* A team whose shard this controller owns; NULL: none. */
const char *pair_team_owned_by(int owner);
/* Whether the store's leader record names this controller. */
bool pair_leads(int index);
bool pair_wait_for_running_task(const char *task, int machines, double timeout_s);
bool pair_wait_for_job_state(const char *job_id, const char *state, double timeout_s);
void pair_wait_until_elapsed(struct timespec since, double seconds);
#endif
