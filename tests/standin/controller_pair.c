#include "controller_pair.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <time.h>

#include "clock/clock.h"
#include "cluster.h"
#include "http/status.h"
#include "store.h"

#define LEADER_EXPIRY_TIMEOUT_S 10
#define START_TIMEOUT_S 15
#define POLL_S 0.05
#define LEASE_POLL_S 0.1
#define CANCEL_RETRY_S 0.02
#define PATH_BYTES 64

#define TEAMS_JSON                                                             \
    "[{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0,\"gpus\":4,\"gpus_max\":0}," \
    "{\"name\":\"blue\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":0}," \
    "{\"name\":\"green\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":4}]"

static struct cluster_settings settings = {
    .controllers = 2, .shards = 2, .teams = {TEAMS_JSON, TEAMS_JSON}, .first_sees_no_peer = true};
/* The team of shard 0 and that of shard 1. */
static const char *const teams[] = {"red", "blue"};

void pair_set_next_limits(const char *json) { settings.next_limits = json; }
bool pair_start(const char *program) { return cluster_start(program, &settings); }
void pair_teardown(void) { cluster_teardown(); }
void pair_set_program(int index, const char *program) { cluster_set_program(index, program); }
void pair_start_controller(int index) { cluster_start_controller(index); }
void pair_kill_controller(int index) { cluster_kill_controller(index); }
void pair_pause_controller(int index) { cluster_pause_controller(index); }
void pair_resume_controller(int index) { cluster_resume_controller(index); }

bool pair_leads(int index) { return cluster_record_names_controller("leader", "node", index); }

const char *pair_team_owned_by(int owner) {
    if (cluster_record_names_controller("share/0", "owner", owner)) return teams[0];
    return cluster_record_names_controller("share/1", "owner", owner) ? teams[1] : NULL;
}

bool pair_restart_with_leader(int leader) {
    struct timespec start = clock_now();
    pair_kill_controller(0);
    pair_kill_controller(1);
    /* The lease of the previous leader has to expire before another controller can lead. */
    char *leader_record;
    while ((leader_record = standin_store_value("leader")) && clock_seconds_since(start) < LEADER_EXPIRY_TIMEOUT_S) {
        g_free(leader_record);
        clock_sleep(clock_from_seconds(LEASE_POLL_S));
    }
    g_free(leader_record);
    pair_start_controller(leader);
    while (!pair_leads(leader) && clock_seconds_since(start) < START_TIMEOUT_S) clock_sleep(clock_from_seconds(POLL_S));
    pair_start_controller(1 - leader);
    while (!(pair_team_owned_by(0) && pair_team_owned_by(1)) && clock_seconds_since(start) < START_TIMEOUT_S)
        clock_sleep(clock_from_seconds(POLL_S));
    return pair_leads(leader) && pair_team_owned_by(0) && pair_team_owned_by(1);
}

long pair_request(int index, const char *method, const char *path, const char *body, char *state, size_t n) {
    return cluster_request(index, method, path, body, state, n);
}

long pair_request_either(int first, const char *method, const char *path, const char *body, char *state, size_t n) {
    long status = 0;
    for (int index = 0; index < 2 && (status == 0 || status >= HTTP_TOO_MANY_REQUESTS); index++)
        status = pair_request((first + index) % 2, method, path, body, state, n);
    return status;
}

long pair_submit_with_prerequisites(const char *job_id, const char *team, const char *shape, int tasks,
                                    const char *prerequisites) {
    const struct cluster_job job = {job_id, team, shape, "high", tasks, 2, 1, prerequisites};
    return cluster_submit(1, &job);
}

bool pair_submit(const char *job_id, const char *team, const char *shape, int tasks) {
    return pair_submit_with_prerequisites(job_id, team, shape, tasks, "null") / 100 == 2;
}

void pair_cancel_job(int index, const char *job_id, double timeout_s, char *state, size_t n) {
    char path[PATH_BYTES];
    struct timespec start = clock_now();
    g_snprintf(path, sizeof path, "/work/%s/cancel", job_id);
    while (pair_request(index, "POST", path, "{}", state, n) != HTTP_OK && clock_seconds_since(start) < timeout_s)
        clock_sleep(clock_from_seconds(CANCEL_RETRY_S));
}

bool pair_wait_for_running_task(const char *task, int machines, double timeout_s) {
    return cluster_wait_for_running_task(task, machines, timeout_s);
}
bool pair_wait_for_job_state(const char *job_id, const char *state, double timeout_s) {
    return cluster_wait_for_job_state(job_id, state, timeout_s);
}
void pair_wait_until_elapsed(struct timespec since, double seconds) { cluster_wait_until_elapsed(since, seconds); }
