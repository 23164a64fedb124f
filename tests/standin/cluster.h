/* A cluster for tests and rehearsals: controllers as real processes, with short timeouts and on free ports, connected
 * to the stand-ins. Each controller has its own endpoint of the store, at which the store can refuse that controller
 * alone. Controllers are named by their index from 0 on. Once cluster_start has returned, the functions may be called
 * from several threads. */
#ifndef FF_STANDIN_CLUSTER_H
#define FF_STANDIN_CLUSTER_H
#include <stdbool.h>
#include <stddef.h>
#include <time.h>

#define CLUSTER_CONTROLLERS_MAX 5
#define CLUSTER_WORKER_LEASE_S 4    /* `workers.lease_s` of the settings */
#define CLUSTER_CANCEL_DEADLINE_S 8 /* `workers.cancel_s` of the settings */

struct cluster_settings {
    int controllers;
    int shards;
    const char *teams[CLUSTER_CONTROLLERS_MAX]; /* JSON list for each controller; NULL: the first controller's list */
    const char *next_limits;                    /* JSON of `state.next` in the settings; NULL: none */
    int value_kb;                               /* `state.value_kb` of the settings; 0: 4 */
    bool first_sees_no_peer;                    /* the first controller's seeds are at an address without a listener */
};

/* Starts the stand-ins and writes the settings files, but starts no controller. Returns false on failure. */
bool cluster_start(const char *program, const struct cluster_settings *settings);
/* Kills all controllers and removes their files. */
void cluster_teardown(void);

/* The next three functions take effect when the controller is started next. cluster_set_quota_file and
 * cluster_set_teams return false if they cannot write a file. */
void cluster_set_program(int index, const char *program);
bool cluster_set_quota_file(int index, const char *hcl); /* content of the file of divided teams; NULL: no file */
bool cluster_set_teams(int index, const char *teams);    /* JSON list of the settings; kept, not copied */

void cluster_start_controller(int index);
void cluster_kill_controller(int index);
void cluster_pause_controller(int index); /* stops the whole process until it is resumed */
void cluster_resume_controller(int index);
/* Port at which the controller serves users and workers. */
int cluster_port(int index);
/* CPU time that the controller's process has used; 0 if the process does not run. */
double cluster_cpu_time_s(int index);
/* Sets whether the store refuses all requests of this controller. Requests of other controllers are not refused. */
void cluster_refuse_store(int index, bool refused);

/* Whether the field of the store's record holds the controller's name. */
bool cluster_record_names_controller(const char *key, const char *field, int index);
/* Index of the live controller that owns the shard; -1: none. */
int cluster_shard_owner(int shard);
/* Waits until every shard has a live owner; returns false after timeout_s. */
bool cluster_wait_for_shard_owners(double timeout_s);

struct cluster_job {
    const char *job_id, *team, *shape, *priority;
    int tasks;
    double vcpus, gpus;
    const char *prerequisites; /* JSON list of job ids; NULL: none */
};
/* Sends a request to one controller. Returns the HTTP status; 0: no response. Copies the response's `state` into state
 * (n bytes) unless that is NULL; it is empty if the response has none. */
long cluster_request(int index, const char *method, const char *path, const char *body, char *state, size_t n);
long cluster_submit_once(int index, const struct cluster_job *job);
/* Submits to one controller after the other until one accepts the job or gives an error that is not retryable, or the
 * attempts are used up. Returns the last status. */
long cluster_submit(int first, const struct cluster_job *job);
/* Sends the cancellation to one controller after the other until one answers 200 or timeout_s is over. Returns the last
 * status. */
long cluster_cancel_job(int first, const char *job_id, double timeout_s);
/* Wait until the job is in this state, or the task runs on so many machines. Return false after timeout_s. */
bool cluster_wait_for_job_state(const char *job_id, const char *state, double timeout_s);
bool cluster_wait_for_running_task(const char *task, int machines, double timeout_s);
/* Waits until so many seconds have passed since the given time. */
void cluster_wait_until_elapsed(struct timespec since, double seconds);
#endif
