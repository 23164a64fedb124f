#include "cluster.h"

#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "clock/clock.h"
#include "fleet.h"
#include "http/client.h"
#include "json/json.h"
#include "logging/logging.h"
#include "state.h"

struct controller {
    const char *program;
    char name[8], bind[32], listen[32], door[32];
    char settings[128], quota[128]; /* files; quota empty: none */
    const char *teams;
    GPid pid;
};
static struct controller controllers[CLUSTER_MAX];
static struct cluster_site site;
static char cloud[32], nowhere[32];

/* Ports come in blocks below those that the system gives to outgoing connections: a controller that begins again must
 * find its own free. A block is this process's as long as it listens on the block's first port. */
#define BLOCKS_FROM 10000
#define BLOCK_PORTS 100
#define BLOCKS 220
static int next_port;

static bool claim_block(int first_port) {
    struct sockaddr_in at = {
        .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK), .sin_port = htons((uint16_t)first_port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd >= 0 && bind(fd, (struct sockaddr *)&at, sizeof at) == 0 && listen(fd, 1) == 0) return true;
    if (fd >= 0) close(fd);
    return false;
}

static bool claim_ports(void) {
    for (int n = 0; n < BLOCKS; n++) {
        int first = BLOCKS_FROM + ((int)getpid() + n) % BLOCKS * BLOCK_PORTS;
        if (!claim_block(first)) continue;
        next_port = first + 1;
        return true;
    }
    return false;
}

static void free_address(char *to) { g_snprintf(to, 32, "127.0.0.1:%d", next_port++); }

static const char *zone_of(int i) { return i ? "zb" : "za"; }

static char *seeds_of(int i) {
    GString *list = g_string_new("");
    for (int n = 0; n < site.controllers; n++) {
        if (n == i) continue;
        bool alone = site.first_sees_no_peer && i == 0;
        g_string_append_printf(list, "%s{\"node\":\"n%d\",\"area\":\"%s\",\"address\":\"%s\"}", list->len ? "," : "", n,
                               zone_of(n), alone ? nowhere : controllers[n].listen);
    }
    return g_string_free(list, FALSE);
}

static bool write_settings(int i) {
    struct controller *c = &controllers[i];
    char *seeds = seeds_of(i);
    char *json = g_strdup_printf(
        "{\"node\":\"n%d\",\"area\":\"%s\",\"bind\":\"%s\",\"cluster_listen\":\"%s\",\"seeds\":[%s],"
        "\"services\":{\"cloud\":\"%s\",\"state\":\"%s\"},\"settings\":{\"size\":%d,\"zones\":[\"za\",\"zb\"],"
        "\"teams\":%s,"
        "\"workers\":{\"report_s\":0.3,\"lease_s\":%d,\"gang_wait_s\":30,\"gang_peer_s\":5,\"cancel_s\":%d},"
        "\"state\":{\"rps\":1000,\"write_rps\":500,\"value_kb\":4,\"txn_ops\":8,\"next\":%s},"
        "\"cloud\":{\"rps\":50,\"list_lag_s\":1},\"machine_limits\":{\"cores\":0.2,\"mem_mb\":100,\"sockets\":1000}}}",
        i, zone_of(i), c->bind, c->listen, seeds, cloud, c->door, site.shards, c->teams, CLUSTER_LEASE_S,
        CLUSTER_CANCEL_S, site.next_limits ? site.next_limits : "null");
    g_snprintf(c->settings, sizeof c->settings, "%s/fieldfield-%d-%d.json", g_get_tmp_dir(), (int)getpid(), i);
    bool ok = g_file_set_contents(c->settings, json, -1, NULL);
    g_free(json);
    g_free(seeds);
    return ok;
}

void cluster_program(int i, const char *program) { controllers[i].program = program; }

bool cluster_teams(int i, const char *teams) {
    controllers[i].teams = teams;
    return write_settings(i);
}

bool cluster_quota(int i, const char *hcl) {
    struct controller *c = &controllers[i];
    c->quota[0] = 0;
    if (!hcl) return true;
    g_snprintf(c->quota, sizeof c->quota, "%s/fieldfield-%d-%d.hcl", g_get_tmp_dir(), (int)getpid(), i);
    return g_file_set_contents(c->quota, hcl, -1, NULL);
}

bool cluster_start(const char *program, const struct cluster_site *s) {
    site = *s;
    if (!claim_ports()) return false;
    free_address(cloud);
    free_address(nowhere);
    g_setenv("LOG_LEVEL", "error", FALSE);
    logging_init("error");
    for (int i = 0; i < site.controllers; i++) {
        struct controller *c = &controllers[i];
        c->program = program;
        c->teams = site.teams[i] ? site.teams[i] : site.teams[0];
        g_snprintf(c->name, sizeof c->name, "n%d", i);
        free_address(c->bind);
        free_address(c->listen);
        free_address(c->door);
        if (i == 0 ? !standin_state_start(c->door) : !standin_state_door(i, c->door)) return false;
    }
    standin_workers_ports(next_port);
    if (!standin_cloud_start(cloud, controllers[0].bind)) return false;
    for (int i = 1; i < site.controllers; i++) standin_workers_knows(controllers[i].name, controllers[i].bind);
    standin_workers_lease(CLUSTER_LEASE_S);
    bool ok = true;
    for (int i = 0; i < site.controllers; i++) ok &= write_settings(i);
    return ok;
}

/* A test that ends in any way takes its controllers with it. */
static void die_with_test(gpointer data) {
    (void)data;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

void cluster_begin(int i) {
    struct controller *c = &controllers[i];
    char *argv[] = {(char *)c->program, "--config", c->settings, NULL};
    char **environment = g_get_environ();
    if (c->quota[0]) environment = g_environ_setenv(environment, "FIELDFIELD_QUOTA", c->quota, TRUE);
    if (!g_spawn_async(NULL, argv, environment, G_SPAWN_DO_NOT_REAP_CHILD, die_with_test, NULL, &c->pid, NULL))
        c->pid = 0;
    g_strfreev(environment);
}

void cluster_end(int i) {
    struct controller *c = &controllers[i];
    if (!c->pid) return;
    kill(c->pid, SIGKILL);
    waitpid(c->pid, NULL, 0);
    c->pid = 0;
}

void cluster_stop(int i) {
    if (controllers[i].pid) kill(controllers[i].pid, SIGSTOP);
}

void cluster_continue(int i) {
    if (controllers[i].pid) kill(controllers[i].pid, SIGCONT);
}

double cluster_processor_s(int i) {
    char path[64], *text = NULL;
    long user = 0, system = 0;
    g_snprintf(path, sizeof path, "/proc/%d/stat", (int)controllers[i].pid);
    if (!controllers[i].pid || !g_file_get_contents(path, &text, NULL, NULL)) return 0;
    /* The 14th and 15th field; the second is a name in brackets. */
    const char *rest = strrchr(text, ')');
    if (rest) sscanf(rest + 1, " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %ld %ld", &user, &system);
    g_free(text);
    return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

void cluster_shut(int i, bool shut) { standin_state_shut(i, shut); }

void cluster_clear(void) {
    for (int i = 0; i < site.controllers; i++) {
        cluster_end(i);
        unlink(controllers[i].settings);
        if (controllers[i].quota[0]) unlink(controllers[i].quota);
    }
}

bool cluster_names(const char *key, const char *field, int i) {
    char *text = standin_state_value(key);
    cJSON *o = cJSON_Parse(text ? text : "{}");
    const char *v = json_get_string(o, field);
    bool yes = v && strcmp(v, controllers[i].name) == 0;
    cJSON_Delete(o);
    g_free(text);
    return yes;
}

/* The record of a shard names the incarnation that has it: one that ended has it no more. */
static bool owns(int i, int shard) {
    char shard_key[16], node_key[16];
    g_snprintf(shard_key, sizeof shard_key, "share/%d", shard);
    g_snprintf(node_key, sizeof node_key, "node/n%d", i);
    char *shard_text = standin_state_value(shard_key), *node_text = standin_state_value(node_key);
    cJSON *s = cJSON_Parse(shard_text ? shard_text : "{}"), *n = cJSON_Parse(node_text ? node_text : "{}");
    const char *owner = json_get_string(s, "owner"), *owning = json_get_string(s, "inc"),
               *living = json_get_string(n, "inc");
    bool yes = owner && owning && living && !strcmp(owner, controllers[i].name) && !strcmp(owning, living);
    cJSON_Delete(s);
    cJSON_Delete(n);
    g_free(shard_text);
    g_free(node_text);
    return yes;
}

int cluster_owner(int shard) {
    for (int i = 0; i < site.controllers; i++)
        if (owns(i, shard)) return i;
    return -1;
}

bool cluster_shared(double within) {
    struct timespec start = clock_now();
    while (clock_seconds_since(start) < within) {
        int owned = 0;
        for (int k = 0; k < site.shards; k++) owned += cluster_owner(k) >= 0;
        if (owned == site.shards) return true;
        clock_sleep(clock_from_seconds(0.05));
    }
    return false;
}

long cluster_ask(int i, const char *method, const char *path, const char *body, char *state, size_t n) {
    char url[160];
    long status = 0;
    cJSON *a = NULL;
    g_snprintf(url, sizeof url, "http://%s%s", controllers[i].bind, path);
    struct http_client *c = http_client_new(); /* several threads may ask */
    http_call(c, method, url, body, 2000, &status, &a);
    http_client_free(c);
    if (state) g_strlcpy(state, json_get_string(a, "state") ? json_get_string(a, "state") : "", n);
    cJSON_Delete(a);
    return status;
}

long cluster_submit_once(int i, const struct cluster_job *job) {
    char *body = g_strdup_printf(
        "{\"uid\":\"%s\",\"jobclass\":\"c\",\"owner\":\"%s\",\"shape\":\"%s\",\"rank\":\"%s\",\"tasks\":%d,"
        "\"vcpus\":%g,\"gpus\":%g,\"memory_gb\":4,\"image\":\"i\",\"pull_gb\":1,\"together\":false,\"spread\":false,"
        "\"reclaimable\":false,\"runtime_s\":1,\"checkpoint_s\":0,\"flush_s\":0,\"prereqs\":%s}",
        job->job_id, job->team, job->kind, job->priority, job->tasks, job->vcpus, job->gpus,
        job->prerequisites ? job->prerequisites : "null");
    long status = cluster_ask(i, "POST", "/work", body, NULL, 0);
    g_free(body);
    return status;
}

static bool to_be_repeated(long status) { return status == 0 || status >= 429; }

long cluster_submit(int first, const struct cluster_job *job) {
    long status = 0;
    for (int attempt = 0; attempt < 200 && to_be_repeated(status); attempt++) {
        status = cluster_submit_once((first + attempt) % site.controllers, job);
        if (to_be_repeated(status)) clock_sleep(clock_from_seconds(0.1));
    }
    return status;
}

long cluster_cancel(int first, const char *job_id, double within) {
    char path[64];
    long status = 0;
    g_snprintf(path, sizeof path, "/work/%s/cancel", job_id);
    struct timespec start = clock_now();
    for (int i = first; status != 200 && clock_seconds_since(start) < within; i++) {
        status = cluster_ask(i % site.controllers, "POST", path, "{}", NULL, 0);
        if (status != 200) clock_sleep(clock_from_seconds(0.05));
    }
    return status;
}

bool cluster_becomes(const char *job_id, const char *state, double within) {
    char path[64], s[32];
    struct timespec start = clock_now();
    g_snprintf(path, sizeof path, "/work/%s", job_id);
    for (int i = 0; clock_seconds_since(start) < within; i++) {
        if (cluster_ask(i % site.controllers, "GET", path, NULL, s, sizeof s) == 200 && strcmp(s, state) == 0)
            return true;
        clock_sleep(clock_from_seconds(0.1));
    }
    return false;
}

bool cluster_runs(const char *task, int want, double within) {
    struct timespec start = clock_now();
    while (clock_seconds_since(start) < within) {
        if (standin_workers_running(task) == want) return true;
        clock_sleep(clock_from_seconds(0.05));
    }
    return false;
}

void cluster_wait(struct timespec since, double seconds) {
    while (clock_seconds_since(since) < seconds) clock_sleep(clock_from_seconds(0.02));
}
