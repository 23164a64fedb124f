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
#include "http/client.h"
#include "json/json.h"
#include "logging/logging.h"
#include "store/store.h"

#define REQUEST_TIMEOUT_MS 4000
#define ATTEMPTS 40

static struct settings settings;
static struct http_client *client;

static long ask(const char *method, const char *path, const char *body, char *state, size_t n) {
    char url[160];
    long status = 0;
    cJSON *answer = NULL;
    g_snprintf(url, sizeof url, "http://%s%s", settings.bind, path);
    http_call(client, method, url, body, REQUEST_TIMEOUT_MS, &status, &answer);
    if (state) g_strlcpy(state, json_get_string(answer, "state") ? json_get_string(answer, "state") : "", n);
    cJSON_Delete(answer);
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
    for (int i = 0; i < ATTEMPTS && status != 200 && status != 201; i++) {
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

static bool reaches(int (*count)(void), int least, double within) {
    struct timespec start = clock_now();
    while (clock_seconds_since(start) < within) {
        if (count() >= least) return true;
        clock_sleep(clock_from_seconds(0.05));
    }
    return false;
}

static void paths_and_methods_get_their_status(void **state) {
    (void)state;
    static const struct {
        const char *method, *path;
        long status;
    } rows[] = {{"GET", "/nowhere", 404},           {"GET", "/work", 405},       {"DELETE", "/work/req-10001", 405},
                {"GET", "/work/req-777", 404},      {"GET", "/work/other", 404}, {"POST", "/work/req-777/cancel", 404},
                {"POST", "/work/req-777/stop", 404}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        long got = 503;
        for (int n = 0; n < ATTEMPTS && got == 503; n++) {
            got = ask(rows[i].method, rows[i].path, strcmp(rows[i].method, "POST") == 0 ? "{}" : NULL, NULL, 0);
            if (got == 503) clock_sleep(clock_from_seconds(0.1));
        }
        if (got != rows[i].status) fail_msg("%s %s: %ld", rows[i].method, rows[i].path, got);
    }
    assert_int_equal(ask("POST", "/work", "{\"uid\":1}", NULL, 0), 400);
}

static void job_runs_and_is_done_after_refused_rentals(void **state) {
    (void)state;
    assert_int_equal(submit("req-10001", "batch", 5), 201);
    assert_int_equal(submit("req-10001", "batch", 5), 200);
    /* The cloud refuses the first three rentals: over its rate, by a fault, without capacity. */
    assert_true(becomes("req-10001", "done", 30));
    assert_int_equal(standin_cloud_rentals_refused(), 3);
    assert_true(standin_cloud_rented() >= 2);
    assert_int_equal(submit("req-10001", "batch", 5), 200);
    assert_int_equal(standin_cloud_claims_reused(), 0);
}

/* An id that was accepted is acknowledged again, whatever the rest of the request; an unknown one is validated. */
static void repeated_submissions_are_idempotent(void **state) {
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
        for (int n = 0; n < ATTEMPTS && (got == 503 || got == 429); n++) {
            got = ask("POST", "/work", rows[i].body, NULL, 0);
            if (got == 503 || got == 429) clock_sleep(clock_from_seconds(0.1));
        }
        if (got != rows[i].status) fail_msg("%s: %ld", rows[i].body, got);
    }
    assert_int_equal(ask("GET", "/work/req-10999", NULL, NULL, 0), 404);
}

static void cancelled_job_stops_on_all_machines(void **state) {
    (void)state;
    char job_state[32];
    assert_int_equal(submit("req-90001", "standing", 2), 201);
    assert_true(becomes("req-90001", "running", 10));
    struct timespec start = clock_now();
    while (standin_workers_running("req-90001/1") == 0 && clock_seconds_since(start) < 5)
        clock_sleep(clock_from_seconds(0.05));
    assert_int_equal(standin_workers_running("req-90001/1"), 1);
    assert_int_equal(ask("POST", "/work/req-90001/cancel", "{}", job_state, sizeof job_state), 200);
    assert_string_equal(job_state, "cancelled");
    start = clock_now();
    while (standin_workers_running("req-90001/0") + standin_workers_running("req-90001/1") &&
           clock_seconds_since(start) < 3)
        clock_sleep(clock_from_seconds(0.05));
    assert_int_equal(standin_workers_running("req-90001/0") + standin_workers_running("req-90001/1"), 0);
    assert_int_equal(submit("req-90001", "standing", 2), 200);
    assert_true(becomes("req-90001", "cancelled", 1));
}

/* In an outage of the store users get 503 at once; accepted jobs run on, and are reported again afterwards. */
static void jobs_run_on_through_a_store_outage(void **state) {
    (void)state;
    char job_state[32];
    assert_int_equal(submit("req-90002", "standing", 1), 201);
    assert_true(becomes("req-90002", "running", 10));
    standin_store_inject(STANDIN_OUTAGE);
    struct timespec start = clock_now();
    assert_int_equal(ask("GET", "/work/req-90002", NULL, job_state, sizeof job_state), 503);
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

/* A machine that sends no heartbeats is returned, and only then its task starts on another. */
static void silent_machine_is_returned_before_its_task_restarts(void **state) {
    (void)state;
    int index = -1, before = standin_cloud_returned();
    store_lock();
    struct job *job = jobs_find("req-90002");
    assert_non_null(job); /* an earlier case may have failed before it was accepted */
    assert_int_equal(job->allocations->len, 1);
    index = (int)g_ascii_strtoll(((struct allocation *)job->allocations->pdata[0])->machine->id + 2, NULL, 10);
    store_unlock();
    assert_int_equal(submit("req-90004", "standing", 4), 201); /* others, so that one silent machine is not all */
    assert_true(becomes("req-90004", "running", 10));
    standin_workers_set_one_unreachable(index);
    assert_true(reaches(standin_cloud_returned, before + 1, 10));
    struct timespec start = clock_now();
    while (standin_workers_running("req-90002/0") != 1 && clock_seconds_since(start) < 8)
        clock_sleep(clock_from_seconds(0.05));
    assert_int_equal(standin_workers_running("req-90002/0"), 1);
    assert_int_equal(standin_workers_most_copies(), 1);
}

/* No heartbeat from any machine: the controller is isolated, not the machines, and returns none. */
static void silence_of_all_machines_returns_none(void **state) {
    (void)state;
    int before = standin_cloud_returned();
    standin_workers_set_unreachable(true);
    clock_sleep(clock_from_seconds(3.5));
    assert_int_equal(standin_cloud_returned(), before);
    standin_workers_set_unreachable(false);
    assert_true(becomes("req-90002", "running", 5));
    assert_int_equal(standin_workers_most_copies(), 1);
}

/* Two runs of this test on one machine once shared the ports of SITE_JSON, and each other's requests. */
static bool use_free_ports(void) {
    char **addresses[] = {&settings.bind, &settings.cluster_listen, &settings.cloud_address, &settings.state_address};
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
    if (!settings_parse(quick, "f.json", &settings, NULL)) return 1;
    g_free(text);
    g_free(quick);
    settings.state_rps = 1000;
    settings.state_write_rps = 500;
    settings.tuning.silence_timeout = clock_from_seconds(1);
    settings.n_seeds = 0;
    settings.teams[0].gpus_max = 0;
    if (!use_free_ports()) return 1;
    standin_workers_start(settings.bind);
    if (!standin_store_start(settings.state_address) || !standin_cloud_start(settings.cloud_address)) return 1;
    logging_init("error");
    client = http_client_new();
    service_init(&settings);
    if (!service_start(&settings)) return 1;
    const struct CMUnitTest tests[] = {cmocka_unit_test(paths_and_methods_get_their_status),
                                       cmocka_unit_test(job_runs_and_is_done_after_refused_rentals),
                                       cmocka_unit_test(repeated_submissions_are_idempotent),
                                       cmocka_unit_test(cancelled_job_stops_on_all_machines),
                                       cmocka_unit_test(jobs_run_on_through_a_store_outage),
                                       cmocka_unit_test(silent_machine_is_returned_before_its_task_restarts),
                                       cmocka_unit_test(silence_of_all_machines_returns_none)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
