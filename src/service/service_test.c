/* The whole service in one process against stand-ins of state service, cloud and workers, with short times. */
#include "service/service.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <time.h>

#include "../../tests/standin/cloud.h"
#include "../../tests/standin/ports.h"
#include "../../tests/standin/site.h"
#include "../../tests/standin/store.h"
#include "../../tests/standin/workers.h"
#include "allocations/allocations.h"
#include "clock/clock.h"
#include "cloud/cloud.h"
#include "http/client.h"
#include "json/json.h"
#include "logging/logging.h"
#include "machines/machines.h"
#include "membership/membership.h"
#include "peers/peers.h"
#include "scheduler/scheduler.h"
#include "workers/workers.h"

static struct settings cfg;
static struct http_client *c;

static long ask(const char *method, const char *path, const char *body, char *state, size_t n) {
    char url[160];
    long status = 0;
    cJSON *a = NULL;
    g_snprintf(url, sizeof url, "http://%s%s", cfg.bind, path);
    http_call(c, method, url, body, 4000, &status, &a);
    if (state) g_strlcpy(state, json_get_string(a, "state") ? json_get_string(a, "state") : "", n);
    cJSON_Delete(a);
    return status;
}

static long submit(const char *job_id, const char *shape, int tasks) {
    char *body = g_strdup_printf(
        "{\"uid\":\"%s\",\"jobclass\":\"c\",\"owner\":\"red\",\"shape\":\"%s\",\"rank\":\"high\",\"tasks\":%d,"
        "\"vcpus\":2,\"gpus\":1,"
        "\"memory_gb\":4,\"image\":\"i\",\"pull_gb\":1,\"together\":false,\"spread\":false,\"reclaimable\":false,"
        "\"runtime_s\":1,"
        "\"checkpoint_s\":0,\"flush_s\":0}",
        job_id, shape, tasks);
    long status = 0;
    for (int i = 0; i < 40 && status != 200 && status != 201; i++) {
        status = ask("POST", "/work", body, NULL, 0);
        if (status >= 429) clock_sleep(clock_from_seconds(0.25));
    }
    g_free(body);
    return status;
}

static bool becomes(const char *job_id, const char *want, double within) {
    char path[80], state[32];
    struct timespec start = clock_now();
    g_snprintf(path, sizeof path, "/work/%s", job_id);
    while (clock_seconds_since(start) < within) {
        if (ask("GET", path, NULL, state, sizeof state) == 200 && strcmp(state, want) == 0) return true;
        clock_sleep(clock_from_seconds(0.1));
    }
    return false;
}

static bool until(int (*fn)(void), int least, double within) {
    struct timespec start = clock_now();
    while (clock_seconds_since(start) < within) {
        if (fn() >= least) return true;
        clock_sleep(clock_from_seconds(0.05));
    }
    return false;
}

static void answers(void **state) {
    (void)state;
    static const struct {
        const char *method, *path;
        long status;
    } rows[] = {{"GET", "/nowhere", 404},           {"GET", "/work", 405},       {"DELETE", "/work/req-10001", 405},
                {"GET", "/work/req-777", 404},      {"GET", "/work/other", 404}, {"POST", "/work/req-777/cancel", 404},
                {"POST", "/work/req-777/stop", 404}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        long got = 503;
        for (int n = 0; n < 40 && got == 503; n++) {
            got = ask(rows[i].method, rows[i].path, strcmp(rows[i].method, "POST") == 0 ? "{}" : NULL, NULL, 0);
            if (got == 503) clock_sleep(clock_from_seconds(0.1));
        }
        if (got != rows[i].status) fail_msg("%s %s: %ld", rows[i].method, rows[i].path, got);
    }
    assert_int_equal(ask("POST", "/work", "{\"uid\":1}", NULL, 0), 400);
}

static void runs_a_job(void **state) {
    (void)state;
    assert_int_equal(submit("req-10001", "batch", 5), 201);
    assert_int_equal(submit("req-10001", "batch", 5), 200);
    /* The cloud refuses thrice first: over its rate, in trouble, without capacity. */
    assert_true(becomes("req-10001", "done", 30));
    assert_int_equal(standin_cloud_rentals_refused(), 3);
    assert_true(standin_cloud_rented() >= 2);
    assert_int_equal(submit("req-10001", "batch", 5), 200);
    assert_int_equal(standin_cloud_claims_reused(), 0);
}

/* An accepted id that comes again is known, whatever it looks like by now; one that nobody has is refused for good. */
static void repeated(void **state) {
    (void)state;
    static const struct {
        const char *body;
        long status;
    } rows[] = {
        {"{\"uid\":\"req-10001\"}", 200},
        {"{\"uid\":\"req-10001\",\"jobclass\":\"c\",\"owner\":\"nobody\",\"shape\":\"batch\",\"rank\":\"high\","
         "\"tasks\":1,"
         "\"vcpus\":2,\"gpus\":1,\"memory_gb\":4,\"image\":\"i\",\"pull_gb\":1,\"together\":false,\"spread\":false,"
         "\"reclaimable\":false,\"runtime_s\":1,\"checkpoint_s\":0,\"flush_s\":0}",
         200},
        {"{\"uid\":\"req-10001\",\"tasks\":-1}", 200},
        {"{\"uid\":\"req-10999\"}", 400},
        {"{\"uid\":\"req-10999\",\"jobclass\":\"c\",\"owner\":\"nobody\",\"shape\":\"batch\",\"rank\":\"high\","
         "\"tasks\":1,"
         "\"vcpus\":2,\"gpus\":1,\"memory_gb\":4,\"image\":\"i\",\"pull_gb\":1,\"together\":false,\"spread\":false,"
         "\"reclaimable\":false,\"runtime_s\":1,\"checkpoint_s\":0,\"flush_s\":0}",
         422},
        {"{\"uid\":\"REQ\"}", 400},
        {"{\"tasks\":1}", 400},
        {"not json", 400},
        {"[]", 400},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        long got = 503;
        for (int n = 0; n < 40 && (got == 503 || got == 429); n++) {
            got = ask("POST", "/work", rows[i].body, NULL, 0);
            if (got == 503 || got == 429) clock_sleep(clock_from_seconds(0.1));
        }
        if (got != rows[i].status) fail_msg("%s: %ld", rows[i].body, got);
    }
    assert_int_equal(ask("GET", "/work/req-10999", NULL, NULL, 0), 404);
}

static void cancels(void **state) {
    (void)state;
    char s[32];
    assert_int_equal(submit("req-90001", "standing", 2), 201);
    assert_true(becomes("req-90001", "running", 10));
    struct timespec start = clock_now();
    while (standin_workers_running("req-90001/1") == 0 && clock_seconds_since(start) < 5)
        clock_sleep(clock_from_seconds(0.05));
    assert_int_equal(standin_workers_running("req-90001/1"), 1);
    assert_int_equal(ask("POST", "/work/req-90001/cancel", "{}", s, sizeof s), 200);
    assert_string_equal(s, "cancelled");
    start = clock_now();
    while (standin_workers_running("req-90001/0") + standin_workers_running("req-90001/1") &&
           clock_seconds_since(start) < 3)
        clock_sleep(clock_from_seconds(0.05));
    assert_int_equal(standin_workers_running("req-90001/0") + standin_workers_running("req-90001/1"), 0);
    assert_int_equal(submit("req-90001", "standing", 2), 200);
    assert_true(becomes("req-90001", "cancelled", 1));
}

/* In an outage users are refused at once; what was accepted runs on and is told again afterwards. */
static void outage(void **state) {
    (void)state;
    char s[32];
    assert_int_equal(submit("req-90002", "standing", 1), 201);
    assert_true(becomes("req-90002", "running", 10));
    standin_store_inject(STANDIN_OUTAGE);
    struct timespec start = clock_now();
    assert_int_equal(ask("GET", "/work/req-90002", NULL, s, sizeof s), 503);
    assert_true(clock_seconds_since(start) < 2);
    clock_sleep(clock_from_seconds(0.6));
    standin_store_inject(STANDIN_NO_FAULT);
    assert_true(becomes("req-90002", "running", 5));
    int before = standin_workers_starts();
    /* A transaction whose answer is lost is neither repeated blindly nor forgotten. */
    standin_store_inject(STANDIN_LOST_ANSWER);
    assert_true(submit("req-10003", "batch", 2) / 100 == 2);
    assert_true(becomes("req-10003", "done", 15));
    assert_true(standin_workers_starts() >= before + 2);
    assert_int_equal(standin_workers_most_copies(), 1);
}

/* A machine that falls silent is returned, and its task starts elsewhere only then. */
static void silent_machine(void **state) {
    (void)state;
    int at = -1, before = standin_cloud_returned();
    store_lock();
    struct job *j = jobs_find("req-90002");
    assert_int_equal(j->allocations->len, 1);
    at = (int)g_ascii_strtoll(((struct allocation *)j->allocations->pdata[0])->machine->id + 2, NULL, 10);
    store_unlock();
    assert_int_equal(submit("req-90004", "standing", 4), 201); /* others, so that one silent machine is not all */
    assert_true(becomes("req-90004", "running", 10));
    standin_workers_set_one_unreachable(at);
    assert_true(until(standin_cloud_returned, before + 1, 10));
    struct timespec start = clock_now();
    while (standin_workers_running("req-90002/0") != 1 && clock_seconds_since(start) < 8)
        clock_sleep(clock_from_seconds(0.05));
    assert_int_equal(standin_workers_running("req-90002/0"), 1);
    assert_int_equal(standin_workers_most_copies(), 1);
}

/* Deaf to all workers at once: it is us, not them. Nothing is returned. */
static void deaf(void **state) {
    (void)state;
    int before = standin_cloud_returned();
    standin_workers_set_unreachable(true);
    clock_sleep(clock_from_seconds(3.5));
    assert_int_equal(standin_cloud_returned(), before);
    standin_workers_set_unreachable(false);
    assert_true(becomes("req-90002", "running", 5));
    assert_int_equal(standin_workers_most_copies(), 1);
}

/* Which gangs may be completed under the attempt they have. */
static void gang_open(void **state) {
    (void)state;
    static const struct {
        enum task_state a, b;
        bool seen, stop, over, other_attempt, old;
        int64_t want;
    } rows[] = {
        {TASK_FETCHING, TASK_GATHERING, true, false, false, false, false, 7},
        {TASK_GATHERING, TASK_RUNNING, true, false, false, false, false, 0}, /* it has started */
        {TASK_GATHERING, TASK_GATHERING, false, false, false, false, false, 0},
        {TASK_GATHERING, TASK_GATHERING, true, true, false, false, false, 0},
        {TASK_GATHERING, TASK_GATHERING, true, false, true, false, false, 0},
        {TASK_GATHERING, TASK_GATHERING, true, false, false, true, false, 0},
        {TASK_GATHERING, TASK_GATHERING, true, false, false, false, true, 0}, /* the word is too old */
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct machine m;
        struct job j;
        memset(&m, 0, sizeof m);
        memset(&j, 0, sizeof j);
        if (!rows[i].old) m.liveness.last_heartbeat = clock_now();
        struct allocation a = {.job = &j, .machine = &m, .attempt = 7, .seen = true, .state = rows[i].a}, b = a;
        b.state = rows[i].b;
        b.seen = rows[i].seen;
        b.stop_requested = rows[i].stop;
        b.released = rows[i].over;
        if (rows[i].other_attempt) b.attempt = 8;
        j.allocations = g_ptr_array_new();
        g_ptr_array_add(j.allocations, &a);
        g_ptr_array_add(j.allocations, &b);
        assert_int_equal(allocations_open_gang_attempt(&j), rows[i].want);
        g_ptr_array_free(j.allocations, TRUE);
    }
}

/* Two runs of this test on one machine once shared the ports of SITE_JSON, and each other's requests. */
static bool use_free_ports(void) {
    char **addresses[] = {&cfg.bind, &cfg.cluster_listen, &cfg.cloud, &cfg.state};
    if (!ports_claim()) return false;
    for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
        char address[32];
        ports_next_address(address, sizeof address);
        g_free(*addresses[i]);
        *addresses[i] = g_strdup(address);
    }
    standin_workers_set_first_port(ports_next());
    return true;
}

int main(void) {
    char *text =
        site_with(SITE_JSON, "\"report_s\":3,\"lease_s\":20,\"gang_wait_s\":30,\"gang_peer_s\":5,\"cancel_s\":40",
                  "\"report_s\":0.3,\"lease_s\":20,\"gang_wait_s\":30,\"gang_peer_s\":5,\"cancel_s\":40");
    char *quick = site_with(text, "{\"rps\":2,", "{\"rps\":50,");
    if (!settings_parse(quick, "f.json", &cfg, NULL)) return 1;
    g_free(text);
    g_free(quick);
    cfg.state_rps = 1000;
    cfg.state_write_rps = 500;
    cfg.tuning.silent_return = clock_from_seconds(1);
    cfg.n_seeds = 0;
    cfg.teams[0].gpus_max = 0;
    if (!use_free_ports()) return 1;
    standin_workers_start(cfg.bind);
    if (!standin_store_start(cfg.state) || !standin_cloud_start(cfg.cloud)) return 1;
    logging_init("error");
    c = http_client_new();
    service_init(&cfg);
    if (!service_start(&cfg)) return 1;
    const struct CMUnitTest tests[] = {cmocka_unit_test(answers),  cmocka_unit_test(runs_a_job),
                                       cmocka_unit_test(repeated), cmocka_unit_test(cancels),
                                       cmocka_unit_test(outage),   cmocka_unit_test(silent_machine),
                                       cmocka_unit_test(deaf),     cmocka_unit_test(gang_open)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
