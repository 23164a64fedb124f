#include "cluster.h"

#include <glib.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "clock/clock.h"
#include "cloud.h"
#include "http/client.h"
#include "http/status.h"
#include "json/json.h"
#include "logging/logging.h"
#include "ports.h"
#include "store.h"
#include "workers.h"

#define NAME_BYTES 8
#define ADDRESS_BYTES 32
#define FILE_PATH_BYTES 128
#define PATH_BYTES 64
#define URL_BYTES 160
#define STATE_BYTES 32
#define VALUE_KB_DEFAULT 4
#define REQUEST_TIMEOUT_MS 2000
#define SUBMIT_ATTEMPTS 200
#define POLL_S 0.05
#define RETRY_INTERVAL_S 0.1
#define WAIT_POLL_S 0.02

/* One controller process and its start parameters. */
struct controller {
    const char *program;
    char name[NAME_BYTES];
    char bind[ADDRESS_BYTES], listen[ADDRESS_BYTES], store_endpoint[ADDRESS_BYTES];
    char settings_path[FILE_PATH_BYTES], quota_path[FILE_PATH_BYTES]; /* quota_path empty: no file */
    const char *teams;
    GPid pid;
};
static struct controller controllers[CLUSTER_CONTROLLERS_MAX];
static struct cluster_settings cluster;
static char cloud_address[ADDRESS_BYTES], unused_address[ADDRESS_BYTES]; /* nothing listens at unused_address */

static const char *zone_of(int index) { return index ? "zb" : "za"; }

static char *seeds_json(int index) {
    GString *list = g_string_new("");
    for (int n = 0; n < cluster.controllers; n++) {
        if (n == index) continue;
        bool sees_no_peer = cluster.first_sees_no_peer && index == 0;
        g_string_append_printf(list, "%s{\"node\":\"n%d\",\"area\":\"%s\",\"address\":\"%s\"}", list->len ? "," : "", n,
                               zone_of(n), sees_no_peer ? unused_address : controllers[n].listen);
    }
    return g_string_free(list, FALSE);
}

static bool write_settings(int index) {
    struct controller *controller = &controllers[index];
    char *seeds = seeds_json(index);
    char *json = g_strdup_printf(
        "{\"node\":\"n%d\",\"area\":\"%s\",\"bind\":\"%s\",\"cluster_listen\":\"%s\",\"seeds\":[%s],"
        "\"services\":{\"cloud\":\"%s\",\"state\":\"%s\"},\"settings\":{\"size\":%d,\"zones\":[\"za\",\"zb\"],"
        "\"teams\":%s,"
        "\"workers\":{\"report_s\":0.3,\"lease_s\":%d,\"gang_wait_s\":30,\"gang_peer_s\":5,\"cancel_s\":%d},"
        "\"state\":{\"rps\":1000,\"write_rps\":500,\"value_kb\":%d,\"txn_ops\":8,\"next\":%s},"
        "\"cloud\":{\"rps\":50,\"list_lag_s\":1},\"machine_limits\":{\"cores\":0.2,\"mem_mb\":100,\"sockets\":1000}}}",
        index, zone_of(index), controller->bind, controller->listen, seeds, cloud_address, controller->store_endpoint,
        cluster.shards, controller->teams, CLUSTER_WORKER_LEASE_S, CLUSTER_CANCEL_DEADLINE_S,
        cluster.value_kb ? cluster.value_kb : VALUE_KB_DEFAULT, cluster.next_limits ? cluster.next_limits : "null");
    g_snprintf(controller->settings_path, sizeof controller->settings_path, "%s/fieldfield-%d-%d.json", g_get_tmp_dir(),
               (int)getpid(), index);
    bool written = g_file_set_contents(controller->settings_path, json, -1, NULL);
    g_free(json);
    g_free(seeds);
    return written;
}

void cluster_set_program(int index, const char *program) { controllers[index].program = program; }

bool cluster_set_teams(int index, const char *teams) {
    controllers[index].teams = teams;
    return write_settings(index);
}

bool cluster_set_quota_file(int index, const char *hcl) {
    struct controller *controller = &controllers[index];
    controller->quota_path[0] = 0;
    if (!hcl) return true;
    g_snprintf(controller->quota_path, sizeof controller->quota_path, "%s/fieldfield-%d-%d.hcl", g_get_tmp_dir(),
               (int)getpid(), index);
    return g_file_set_contents(controller->quota_path, hcl, -1, NULL);
}

bool cluster_start(const char *program, const struct cluster_settings *settings) {
    cluster = *settings;
    if (!ports_claim()) return false;
    ports_next_address(cloud_address, sizeof cloud_address);
    ports_next_address(unused_address, sizeof unused_address);
    g_setenv("LOG_LEVEL", "error", FALSE);
    logging_init("error");
    for (int index = 0; index < cluster.controllers; index++) {
        struct controller *controller = &controllers[index];
        controller->program = program;
        controller->teams = cluster.teams[index] ? cluster.teams[index] : cluster.teams[0];
        g_snprintf(controller->name, sizeof controller->name, "n%d", index);
        ports_next_address(controller->bind, sizeof controller->bind);
        ports_next_address(controller->listen, sizeof controller->listen);
        ports_next_address(controller->store_endpoint, sizeof controller->store_endpoint);
        if (index == 0 ? !standin_store_start(controller->store_endpoint)
                       : !standin_store_add_endpoint(index, controller->store_endpoint))
            return false;
    }
    standin_workers_set_first_port(ports_next());
    standin_workers_start(controllers[0].bind);
    if (!standin_cloud_start(cloud_address)) return false;
    for (int index = 1; index < cluster.controllers; index++)
        standin_workers_add_controller(controllers[index].name, controllers[index].bind);
    standin_workers_set_lease(CLUSTER_WORKER_LEASE_S);
    bool written = true;
    for (int index = 0; index < cluster.controllers; index++) written &= write_settings(index);
    return written;
}

/* Makes the kernel kill the controller when the test process ends, however it ends. */
static void kill_with_test(gpointer data) {
    (void)data;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

void cluster_start_controller(int index) {
    struct controller *controller = &controllers[index];
    char *argv[] = {(char *)controller->program, "--config", controller->settings_path, NULL};
    char **environment = g_get_environ();
    if (controller->quota_path[0])
        environment = g_environ_setenv(environment, "FIELDFIELD_QUOTA", controller->quota_path, TRUE);
    if (!g_spawn_async(NULL, argv, environment, G_SPAWN_DO_NOT_REAP_CHILD, kill_with_test, NULL, &controller->pid,
                       NULL))
        controller->pid = 0;
    g_strfreev(environment);
}

void cluster_kill_controller(int index) {
    struct controller *controller = &controllers[index];
    if (!controller->pid) return;
    kill(controller->pid, SIGKILL);
    waitpid(controller->pid, NULL, 0);
    controller->pid = 0;
}

void cluster_pause_controller(int index) {
    if (controllers[index].pid) kill(controllers[index].pid, SIGSTOP);
}

void cluster_resume_controller(int index) {
    if (controllers[index].pid) kill(controllers[index].pid, SIGCONT);
}

int cluster_port(int index) { return atoi(strrchr(controllers[index].bind, ':') + 1); }

double cluster_cpu_time_s(int index) {
    char path[PATH_BYTES], *text = NULL;
    long user = 0, system = 0;
    g_snprintf(path, sizeof path, "/proc/%d/stat", (int)controllers[index].pid);
    if (!controllers[index].pid || !g_file_get_contents(path, &text, NULL, NULL)) return 0;
    /* The times are fields 14 and 15. The scan starts behind field 2, a name in brackets that may contain spaces. */
    const char *rest = strrchr(text, ')');
    if (rest) sscanf(rest + 1, " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %ld %ld", &user, &system);
    g_free(text);
    return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

void cluster_refuse_store(int index, bool refused) { standin_store_refuse_endpoint(index, refused); }

void cluster_teardown(void) {
    for (int index = 0; index < cluster.controllers; index++) {
        cluster_kill_controller(index);
        unlink(controllers[index].settings_path);
        if (controllers[index].quota_path[0]) unlink(controllers[index].quota_path);
    }
}

bool cluster_record_names_controller(const char *key, const char *field, int index) {
    char *text = standin_store_value(key);
    cJSON *object = cJSON_Parse(text ? text : "{}");
    const char *value = json_get_string(object, field);
    bool names_controller = value && strcmp(value, controllers[index].name) == 0;
    cJSON_Delete(object);
    g_free(text);
    return names_controller;
}

/* The shard's record names its owner and the owner's incarnation. A controller that was restarted or is gone has
 * another incarnation or none in its own record, and owns the shard no longer. */
static bool owns(int index, int shard) {
    char shard_key[16], node_key[16];
    g_snprintf(shard_key, sizeof shard_key, "share/%d", shard);
    g_snprintf(node_key, sizeof node_key, "node/n%d", index);
    char *shard_text = standin_store_value(shard_key), *node_text = standin_store_value(node_key);
    cJSON *shard_record = cJSON_Parse(shard_text ? shard_text : "{}"),
          *node_record = cJSON_Parse(node_text ? node_text : "{}");
    const char *owner = json_get_string(shard_record, "owner"),
               *owner_incarnation = json_get_string(shard_record, "inc"),
               *live_incarnation = json_get_string(node_record, "inc");
    bool is_owner = owner && owner_incarnation && live_incarnation && !strcmp(owner, controllers[index].name) &&
                    !strcmp(owner_incarnation, live_incarnation);
    cJSON_Delete(shard_record);
    cJSON_Delete(node_record);
    g_free(shard_text);
    g_free(node_text);
    return is_owner;
}

int cluster_shard_owner(int shard) {
    for (int index = 0; index < cluster.controllers; index++)
        if (owns(index, shard)) return index;
    return -1;
}

bool cluster_wait_for_shard_owners(double timeout_s) {
    struct timespec start = clock_now();
    while (clock_seconds_since(start) < timeout_s) {
        int owned = 0;
        for (int shard = 0; shard < cluster.shards; shard++) owned += cluster_shard_owner(shard) >= 0;
        if (owned == cluster.shards) return true;
        clock_sleep(clock_from_seconds(POLL_S));
    }
    return false;
}

long cluster_request(int index, const char *method, const char *path, const char *body, char *state, size_t n) {
    char url[URL_BYTES];
    long status = 0;
    cJSON *answer = NULL;
    g_snprintf(url, sizeof url, "http://%s%s", controllers[index].bind, path);
    struct http_client *client = http_client_new(); /* one for each call, as several threads may call */
    http_call(client, method, url, body, REQUEST_TIMEOUT_MS, &status, &answer);
    http_client_free(client);
    if (state) g_strlcpy(state, json_get_string(answer, "state") ? json_get_string(answer, "state") : "", n);
    cJSON_Delete(answer);
    return status;
}

long cluster_submit_once(int index, const struct cluster_job *job) {
    char *body = g_strdup_printf(
        "{\"uid\":\"%s\",\"jobclass\":\"c\",\"owner\":\"%s\",\"shape\":\"%s\",\"rank\":\"%s\",\"tasks\":%d,"
        "\"vcpus\":%g,\"gpus\":%g,\"memory_gb\":4,\"image\":\"i\",\"pull_gb\":1,\"together\":false,\"spread\":false,"
        "\"reclaimable\":false,\"runtime_s\":1,\"checkpoint_s\":0,\"flush_s\":0,\"prereqs\":%s}",
        job->job_id, job->team, job->shape, job->priority, job->tasks, job->vcpus, job->gpus,
        job->prerequisites ? job->prerequisites : "null");
    long status = cluster_request(index, "POST", "/work", body, NULL, 0);
    g_free(body);
    return status;
}

static bool is_retryable(long status) { return status == 0 || status >= HTTP_TOO_MANY_REQUESTS; }

long cluster_submit(int first, const struct cluster_job *job) {
    long status = 0;
    for (int attempt = 0; attempt < SUBMIT_ATTEMPTS && is_retryable(status); attempt++) {
        status = cluster_submit_once((first + attempt) % cluster.controllers, job);
        if (is_retryable(status)) clock_sleep(clock_from_seconds(RETRY_INTERVAL_S));
    }
    return status;
}

long cluster_cancel_job(int first, const char *job_id, double timeout_s) {
    char path[PATH_BYTES];
    long status = 0;
    g_snprintf(path, sizeof path, "/work/%s/cancel", job_id);
    struct timespec start = clock_now();
    for (int index = first; status != HTTP_OK && clock_seconds_since(start) < timeout_s; index++) {
        status = cluster_request(index % cluster.controllers, "POST", path, "{}", NULL, 0);
        if (status != HTTP_OK) clock_sleep(clock_from_seconds(POLL_S));
    }
    return status;
}

bool cluster_wait_for_job_state(const char *job_id, const char *state, double timeout_s) {
    char path[PATH_BYTES], current[STATE_BYTES];
    struct timespec start = clock_now();
    g_snprintf(path, sizeof path, "/work/%s", job_id);
    for (int index = 0; clock_seconds_since(start) < timeout_s; index++) {
        if (cluster_request(index % cluster.controllers, "GET", path, NULL, current, sizeof current) == HTTP_OK &&
            strcmp(current, state) == 0)
            return true;
        clock_sleep(clock_from_seconds(RETRY_INTERVAL_S));
    }
    return false;
}

bool cluster_wait_for_running_task(const char *task, int machines, double timeout_s) {
    struct timespec start = clock_now();
    while (clock_seconds_since(start) < timeout_s) {
        if (standin_workers_running(task) == machines) return true;
        clock_sleep(clock_from_seconds(POLL_S));
    }
    return false;
}

void cluster_wait_until_elapsed(struct timespec since, double seconds) {
    while (clock_seconds_since(since) < seconds) clock_sleep(clock_from_seconds(WAIT_POLL_S));
}
