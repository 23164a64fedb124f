/* Two controllers as real processes against stand-ins: cut off from the store, ended and back at once, ended together.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../tests/standin/fleet.h"
#include "../../tests/standin/site.h"
#include "../../tests/standin/state.h"

#define LEASE_S 4
#define CANCEL_S 8
#define GAP_MOST 15 /* the protocol forgets a job after 75 s without an answer; these times are a fifth of its */

static const char *program;
static const char *const bind_at[] = {"127.0.0.1:18401", "127.0.0.1:18402"};
static GPid pids[2];
static char paths[2][128];
static struct http_client *c;

static void write_settings(int i, const char *state, const char *peer) {
    char *json = g_strdup_printf(
        "{\"node\":\"n%d\",\"area\":\"za\",\"bind\":\"%s\",\"cluster_listen\":\"127.0.0.1:1840%d\","
        "\"seeds\":[{\"node\":\"n%d\",\"area\":\"zb\",\"address\":\"%s\"}],"
        "\"services\":{\"cloud\":\"127.0.0.1:18407\",\"state\":\"%s\"},\"settings\":{\"size\":2,\"zones\":[\"za\","
        "\"zb\"],"
        "\"teams\":[{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0,\"gpus\":4,\"gpus_max\":0},"
        "{\"name\":\"blue\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":0}],"
        "\"workers\":{\"report_s\":0.3,\"lease_s\":%d,\"gang_wait_s\":30,\"gang_peer_s\":5,\"cancel_s\":%d},"
        "\"state\":{\"rps\":1000,\"write_rps\":500,\"value_kb\":4,\"txn_ops\":8},"
        "\"cloud\":{\"rps\":50,\"list_lag_s\":1},\"machine_limits\":{\"cores\":0.2,\"mem_mb\":100,\"sockets\":1000}}}",
        i, bind_at[i], 3 + i, 1 - i, peer, state, LEASE_S, CANCEL_S);
    g_snprintf(paths[i], sizeof paths[i], "%s/fieldfield-pair-%d-%d.json", g_get_tmp_dir(), (int)getpid(), i);
    assert_true(g_file_set_contents(paths[i], json, -1, NULL));
    g_free(json);
}

static void begin(int i) {
    char *argv[] = {(char *)program, "--config", paths[i], NULL};
    assert_true(g_spawn_async(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL, &pids[i], NULL));
}

static void end(int i) {
    kill(pids[i], SIGKILL);
    waitpid(pids[i], NULL, 0);
}

/* Asks one controller, or the other if that does not answer. */
static long ask(int first, const char *method, const char *path, const char *body, char *state, size_t n) {
    long status = 0;
    for (int i = 0; i < 2 && (status == 0 || status >= 429); i++) {
        char url[160];
        cJSON *a = NULL;
        g_snprintf(url, sizeof url, "http://%s%s", bind_at[(first + i) % 2], path);
        status = 0;
        http_call(c, method, url, body, 2000, &status, &a);
        if (state) g_strlcpy(state, base_str(a, "state") ? base_str(a, "state") : "", n);
        cJSON_Delete(a);
    }
    return status;
}

static bool submit(const char *uid, const char *shape, int tasks) {
    char *body = g_strdup_printf(
        "{\"uid\":\"%s\",\"jobclass\":\"c\",\"owner\":\"%s\",\"shape\":\"%s\",\"rank\":\"high\",\"tasks\":%d,\"vcpus\":"
        "2,"
        "\"gpus\":1,\"memory_gb\":4,\"image\":\"i\",\"pull_gb\":1,\"together\":false,\"spread\":false,"
        "\"reclaimable\":false,\"runtime_s\":1,\"checkpoint_s\":0,\"flush_s\":0}",
        uid, uid[strlen(uid) - 1] % 2 ? "red" : "blue", shape, tasks);
    long status = 0;
    for (int i = 0; i < 100 && status / 100 != 2; i++) {
        status = ask(1, "POST", "/work", body, NULL, 0);
        if (status / 100 != 2) base_sleep(base_span(0.2));
    }
    g_free(body);
    return status / 100 == 2;
}

static bool runs(const char *task, int want, double within) {
    struct timespec start = base_now();
    while (base_since(start) < within) {
        if (standin_workers_running(task) == want) return true;
        base_sleep(base_span(0.05));
    }
    return false;
}

/* One loses the store and the other controllers, but not its workers: what is told elsewhere holds, and it stops
 * answering the workers in time. */
static void cut_from_store(void **state) {
    (void)state;
    char s[32];
    assert_true(submit("req-90001", "standing", 2));
    assert_true(submit("req-90002", "standing", 2));
    assert_true(runs("req-90001/1", 1, 20) && runs("req-90002/1", 1, 20));
    standin_state_shut(true);
    struct timespec cut = base_now();
    assert_int_equal(ask(1, "POST", "/work/req-90001/cancel", "{}", s, sizeof s), 200);
    assert_int_equal(ask(1, "POST", "/work/req-90002/cancel", "{}", s, sizeof s), 200);
    struct timespec told = base_now();
    assert_string_equal(s, "cancelled");
    while (base_since(cut) < CANCEL_S - LEASE_S) base_sleep(base_span(0.05));
    const char *report =
        "{\"host\":\"i-000000\",\"address\":\"127.0.0.1:18300\",\"flavour\":\"g4\",\"site\":\"za\","
        "\"tenure\":1,\"seq\":1,\"fence\":0,\"tasks\":[]}";
    char url[96];
    long status = 0;
    g_snprintf(url, sizeof url, "http://%s/checkin", bind_at[0]);
    http_call(c, "POST", url, report, 2000, &status, NULL);
    assert_true(status == 421 || status == 503);
    while (base_since(told) < CANCEL_S) base_sleep(base_span(0.05));
    for (int t = 0; t < 2; t++) {
        g_snprintf(s, sizeof s, "req-90001/%d", t);
        assert_int_equal(standin_workers_running(s), 0);
        g_snprintf(s, sizeof s, "req-90002/%d", t);
        assert_int_equal(standin_workers_running(s), 0);
    }
    standin_state_shut(false);
    assert_int_equal(standin_workers_most(), 1);
}

/* Polls a set of jobs in turn; the worst time that one of them went without an answer, or 1e9 if one was unknown. */
static double worst_gap(char uids[][32], int n, double seconds) {
    struct timespec start = base_now(), answered[64];
    double worst = 0;
    for (int i = 0; i < n; i++) answered[i] = start;
    while (base_since(start) < seconds)
        for (int i = 0; i < n; i++) {
            char path[64], s[32];
            g_snprintf(path, sizeof path, "/work/%s", uids[i]);
            long status = ask(i % 2, "GET", path, NULL, s, sizeof s);
            worst = status == 404 ? 1e9 : MAX(worst, base_since(answered[i]));
            if (status == 200) answered[i] = base_now();
            if (status != 200) base_sleep(base_span(0.05));
        }
    for (int i = 0; i < n; i++) worst = MAX(worst, base_since(answered[i]));
    return worst;
}

/* Back within a fraction of a second, twice in a row, and the other in the middle of the election that follows. */
static void back_mid_election(void **state) {
    (void)state;
    char uids[1][32] = {"req-90003"};
    assert_true(submit(uids[0], "standing", 3));
    assert_true(runs("req-90003/2", 1, 20));
    assert_true(submit("req-10004", "batch", 12));
    end(0);
    begin(0);
    base_sleep(base_span(0.3));
    end(0);
    begin(0);
    base_sleep(base_span(0.2));
    end(1);
    begin(1);
    assert_true(worst_gap(uids, 1, 8) < GAP_MOST);
    char s[32] = "";
    struct timespec start = base_now();
    while (strcmp(s, "done") != 0 && base_since(start) < 30) {
        ask(0, "GET", "/work/req-10004", NULL, s, sizeof s);
        base_sleep(base_span(0.1));
    }
    assert_string_equal(s, "done");
    assert_true(runs("req-90003/0", 1, 10) && runs("req-90003/1", 1, 10) && runs("req-90003/2", 1, 10));
    assert_int_equal(standin_workers_most(), 1);
}

/* All end with a full backlog: every job that was accepted is known, and none waits long for an answer. */
static void all_end(void **state) {
    (void)state;
    enum { JOBS = 60 };
    static char uids[JOBS][32];
    for (int i = 0; i < JOBS; i++) {
        g_snprintf(uids[i], sizeof uids[i], "req-95%03d", i);
        assert_true(submit(uids[i], "standing", 8));
    }
    end(0);
    end(1);
    begin(0);
    begin(1);
    double gap = worst_gap(uids, JOBS, 10);
    if (gap >= GAP_MOST) fail_msg("a job went without an answer for %.1f s", gap);
    assert_int_equal(standin_workers_most(), 1);
}

int main(int argc, char **argv) {
    if (argc < 2) return 2;
    program = argv[1];
    g_setenv("LOG_LEVEL", "error", TRUE);
    base_log_init("error");
    if (!standin_state_start("127.0.0.1:18405") || !standin_state_second_door("127.0.0.1:18406")) return 1;
    if (!standin_cloud_start("127.0.0.1:18407", bind_at[0])) return 1;
    standin_workers_knows("n1", bind_at[1]);
    standin_workers_lease(LEASE_S);
    /* The first sees the store through the door that can be shut, and no peer. */
    write_settings(0, "127.0.0.1:18406", "127.0.0.1:18409");
    write_settings(1, "127.0.0.1:18405", "127.0.0.1:18403");
    c = http_client_new();
    begin(0);
    begin(1);
    const struct CMUnitTest tests[] = {cmocka_unit_test(cut_from_store), cmocka_unit_test(back_mid_election),
                                       cmocka_unit_test(all_end)};
    int rc = cmocka_run_group_tests(tests, NULL, NULL);
    for (int i = 0; i < 2; i++) {
        end(i);
        unlink(paths[i]);
    }
    return rc;
}
