#include "pair.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fleet.h"
#include "state.h"

static const char *programs[2], *next_limits = "null";
static int base_port;
static char bind_at[2][32], listen_at[2][32], door[2][32], cloud_at[32], nowhere[32];
static const char *const teams[] = {"red", "blue"};
static GPid pids[2];
static char paths[2][128];

static bool write_settings(int i) {
    char *json = g_strdup_printf(
        "{\"node\":\"n%d\",\"area\":\"%s\",\"bind\":\"%s\",\"cluster_listen\":\"%s\","
        "\"seeds\":[{\"node\":\"n%d\",\"area\":\"%s\",\"address\":\"%s\"}],"
        "\"services\":{\"cloud\":\"%s\",\"state\":\"%s\"},\"settings\":{\"size\":2,\"zones\":[\"za\","
        "\"zb\"],"
        "\"teams\":[{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0,\"gpus\":4,\"gpus_max\":0},"
        "{\"name\":\"blue\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":0},"
        "{\"name\":\"green\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":4}],"
        "\"workers\":{\"report_s\":0.3,\"lease_s\":%d,\"gang_wait_s\":30,\"gang_peer_s\":5,\"cancel_s\":%d},"
        "\"state\":{\"rps\":1000,\"write_rps\":500,\"value_kb\":4,\"txn_ops\":8,\"next\":%s},"
        "\"cloud\":{\"rps\":50,\"list_lag_s\":1},\"machine_limits\":{\"cores\":0.2,\"mem_mb\":100,\"sockets\":1000}}}",
        i, i ? "zb" : "za", bind_at[i], listen_at[i], 1 - i, i ? "za" : "zb", i ? listen_at[0] : nowhere, cloud_at,
        door[1 - i], PAIR_LEASE_S, PAIR_CANCEL_S, next_limits);
    g_snprintf(paths[i], sizeof paths[i], "%s/fieldfield-pair-%d-%d.json", g_get_tmp_dir(), (int)getpid(), i);
    bool ok = g_file_set_contents(paths[i], json, -1, NULL);
    g_free(json);
    return ok;
}

static void address(char *to, int offset) { g_snprintf(to, 32, "127.0.0.1:%d", base_port + offset); }

void pair_next_limits(const char *json) { next_limits = json; }
void pair_program(int i, const char *program) { programs[i] = program; }

bool pair_start(const char *program, int slot) {
    programs[0] = programs[1] = program;
    base_port = 20000 + slot * 100;
    for (int i = 0; i < 2; i++) {
        address(bind_at[i], 1 + i);
        address(listen_at[i], 3 + i);
        address(door[i], 5 + i);
    }
    address(cloud_at, 7);
    address(nowhere, 9);
    g_setenv("LOG_LEVEL", "error", FALSE);
    base_log_init("error");
    if (!standin_state_start(door[0]) || !standin_state_second_door(door[1])) return false;
    standin_workers_ports(base_port + 20);
    if (!standin_cloud_start(cloud_at, bind_at[0])) return false;
    standin_workers_knows("n1", bind_at[1]);
    standin_workers_lease(PAIR_LEASE_S);
    return write_settings(0) && write_settings(1);
}

/* A test that ends in any way takes its controllers with it. */
static void die_with_test(gpointer data) {
    (void)data;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

void pair_begin(int i) {
    char *argv[] = {(char *)programs[i], "--config", paths[i], NULL};
    if (!g_spawn_async(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, die_with_test, NULL, &pids[i], NULL)) pids[i] = 0;
}

void pair_end(int i) {
    if (!pids[i]) return;
    kill(pids[i], SIGKILL);
    waitpid(pids[i], NULL, 0);
    pids[i] = 0;
}

void pair_stop(int i) {
    if (pids[i]) kill(pids[i], SIGSTOP);
}

void pair_continue(int i) {
    if (pids[i]) kill(pids[i], SIGCONT);
}

void pair_clear(void) {
    for (int i = 0; i < 2; i++) {
        pair_end(i);
        unlink(paths[i]);
    }
}

static bool names(const char *key, const char *field, int i) {
    char want[8], *text = standin_state_value(key);
    g_snprintf(want, sizeof want, "n%d", i);
    cJSON *o = cJSON_Parse(text ? text : "{}");
    const char *v = base_str(o, field);
    bool yes = v && strcmp(v, want) == 0;
    cJSON_Delete(o);
    g_free(text);
    return yes;
}

bool pair_leads(int i) { return names("leader", "node", i); }

const char *pair_team_of(int owner) {
    return names("share/0", "owner", owner) ? teams[0] : names("share/1", "owner", owner) ? teams[1] : NULL;
}

bool pair_begin_led_by(int first) {
    struct timespec start = base_now();
    pair_end(0);
    pair_end(1);
    /* Its predecessor's lease has to end first. */
    char *text;
    while ((text = standin_state_value("leader")) && base_since(start) < 10) {
        g_free(text);
        base_sleep(base_span(0.1));
    }
    g_free(text);
    pair_begin(first);
    while (!pair_leads(first) && base_since(start) < 15) base_sleep(base_span(0.05));
    pair_begin(1 - first);
    while (!(pair_team_of(0) && pair_team_of(1)) && base_since(start) < 15) base_sleep(base_span(0.05));
    return pair_leads(first) && pair_team_of(0) && pair_team_of(1);
}

long pair_ask_one(int i, const char *method, const char *path, const char *body, char *state, size_t n) {
    char url[160];
    long status = 0;
    cJSON *a = NULL;
    g_snprintf(url, sizeof url, "http://%s%s", bind_at[i], path);
    struct http_client *c = http_client_new(); /* several threads may ask */
    http_call(c, method, url, body, 2000, &status, &a);
    http_client_free(c);
    if (state) g_strlcpy(state, base_str(a, "state") ? base_str(a, "state") : "", n);
    cJSON_Delete(a);
    return status;
}

long pair_ask(int first, const char *method, const char *path, const char *body, char *state, size_t n) {
    long status = 0;
    for (int i = 0; i < 2 && (status == 0 || status >= 429); i++)
        status = pair_ask_one((first + i) % 2, method, path, body, state, n);
    return status;
}

long pair_submit_after(const char *uid, const char *team, const char *shape, int tasks, const char *prereqs) {
    char *body = g_strdup_printf(
        "{\"uid\":\"%s\",\"jobclass\":\"c\",\"owner\":\"%s\",\"shape\":\"%s\",\"rank\":\"high\",\"tasks\":%d,\"vcpus\":"
        "2,"
        "\"gpus\":1,\"memory_gb\":4,\"image\":\"i\",\"pull_gb\":1,\"together\":false,\"spread\":false,"
        "\"reclaimable\":false,\"runtime_s\":1,\"checkpoint_s\":0,\"flush_s\":0,\"prereqs\":%s}",
        uid, team, shape, tasks, prereqs);
    long status = 0;
    for (int i = 0; i < 100 && (status == 0 || status >= 429); i++) {
        status = pair_ask(1, "POST", "/work", body, NULL, 0);
        if (status == 0 || status >= 429) base_sleep(base_span(0.2));
    }
    g_free(body);
    return status;
}

bool pair_submit(const char *uid, const char *team, const char *shape, int tasks) {
    return pair_submit_after(uid, team, shape, tasks, "null") / 100 == 2;
}

bool pair_runs(const char *task, int want, double within) {
    struct timespec start = base_now();
    while (base_since(start) < within) {
        if (standin_workers_running(task) == want) return true;
        base_sleep(base_span(0.05));
    }
    return false;
}

bool pair_becomes(const char *uid, const char *state, double within) {
    char path[64], s[32];
    struct timespec start = base_now();
    g_snprintf(path, sizeof path, "/work/%s", uid);
    while (base_since(start) < within) {
        if (pair_ask(1, "GET", path, NULL, s, sizeof s) == 200 && strcmp(s, state) == 0) return true;
        base_sleep(base_span(0.1));
    }
    return false;
}

void pair_wait(struct timespec since, double seconds) {
    while (base_since(since) < seconds) base_sleep(base_span(0.02));
}
