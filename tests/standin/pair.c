#include "pair.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <time.h>

#include "clock/clock.h"
#include "cluster.h"
#include "http/status.h"
#include "store.h"

#define HANDOVER_S 10
#define START_S 15
#define POLL_S 0.05
#define LEASE_POLL_S 0.1
#define CANCEL_RETRY_S 0.02
#define PATH_BYTES 64

#define TEAMS                                                                  \
    "[{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0,\"gpus\":4,\"gpus_max\":0}," \
    "{\"name\":\"blue\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":0}," \
    "{\"name\":\"green\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":4}]"

static struct cluster_settings site = {
    .controllers = 2, .shards = 2, .teams = {TEAMS, TEAMS}, .first_sees_no_peer = true};
static const char *const teams[] = {"red", "blue"};

void pair_next_limits(const char *json) { site.next_limits = json; }
bool pair_start(const char *program) { return cluster_start(program, &site); }
void pair_clear(void) { cluster_clear(); }
void pair_program(int index, const char *program) { cluster_program(index, program); }
void pair_start_controller(int index) { cluster_start_controller(index); }
void pair_kill_controller(int index) { cluster_kill_controller(index); }
void pair_pause_controller(int index) { cluster_pause_controller(index); }
void pair_resume_controller(int index) { cluster_resume_controller(index); }

bool pair_leads(int index) { return cluster_record_names("leader", "node", index); }

const char *pair_team_of(int owner) {
    if (cluster_record_names("share/0", "owner", owner)) return teams[0];
    return cluster_record_names("share/1", "owner", owner) ? teams[1] : NULL;
}

bool pair_start_led_by(int first) {
    struct timespec start = clock_now();
    pair_kill_controller(0);
    pair_kill_controller(1);
    /* Its predecessor's lease has to end first. */
    char *text;
    while ((text = standin_store_value("leader")) && clock_seconds_since(start) < HANDOVER_S) {
        g_free(text);
        clock_sleep(clock_from_seconds(LEASE_POLL_S));
    }
    g_free(text);
    pair_start_controller(first);
    while (!pair_leads(first) && clock_seconds_since(start) < START_S) clock_sleep(clock_from_seconds(POLL_S));
    pair_start_controller(1 - first);
    while (!(pair_team_of(0) && pair_team_of(1)) && clock_seconds_since(start) < START_S)
        clock_sleep(clock_from_seconds(POLL_S));
    return pair_leads(first) && pair_team_of(0) && pair_team_of(1);
}

long pair_ask_one(int index, const char *method, const char *path, const char *body, char *state, size_t n) {
    return cluster_ask(index, method, path, body, state, n);
}

long pair_ask(int first, const char *method, const char *path, const char *body, char *state, size_t n) {
    long status = 0;
    for (int index = 0; index < 2 && (status == 0 || status >= HTTP_TOO_MANY_REQUESTS); index++)
        status = pair_ask_one((first + index) % 2, method, path, body, state, n);
    return status;
}

long pair_submit_after(const char *job_id, const char *team, const char *shape, int tasks, const char *prereqs) {
    const struct cluster_job job = {job_id, team, shape, "high", tasks, 2, 1, prereqs};
    return cluster_submit(1, &job);
}

bool pair_submit(const char *job_id, const char *team, const char *shape, int tasks) {
    return pair_submit_after(job_id, team, shape, tasks, "null") / 100 == 2;
}

void pair_cancel_at(int index, const char *job_id, double within, char *state, size_t n) {
    char path[PATH_BYTES];
    struct timespec start = clock_now();
    g_snprintf(path, sizeof path, "/work/%s/cancel", job_id);
    while (pair_ask_one(index, "POST", path, "{}", state, n) != HTTP_OK && clock_seconds_since(start) < within)
        clock_sleep(clock_from_seconds(CANCEL_RETRY_S));
}

bool pair_task_runs(const char *task, int want, double within) { return cluster_task_runs(task, want, within); }
bool pair_job_becomes(const char *job_id, const char *state, double within) {
    return cluster_job_becomes(job_id, state, within);
}
void pair_wait(struct timespec since, double seconds) { cluster_wait(since, seconds); }
