/* The whole service in one process with stand-ins for the store, the cloud and the workers, and with short timeouts. */
#include "service/service.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <time.h>

#include "../../tests/standin/cloud.h"
#include "../../tests/standin/ports.h"
#include "../../tests/standin/store.h"
#include "../../tests/standin/test_settings.h"
#include "../../tests/standin/workers.h"
#include "allocations/allocations.h"
#include "clock/clock.h"
#include "http/client.h"
#include "json/json.h"
#include "logging/logging.h"
#include "store/store.h"

#define REQUEST_TIMEOUT_MS 4000
#define ATTEMPTS_MAX 40

static struct settings settings;
static struct http_client *client;

/* Sends a request to the service and returns the HTTP status. Copies the state in the response to job_state, a buffer
 * of n bytes, unless job_state is NULL. */
static long send_request(const char *method, const char *path, const char *body, char *job_state, size_t n) {
    char url[160];
    long status = 0;
    cJSON *response = NULL;
    g_snprintf(url, sizeof url, "http://%s%s", settings.listen_address, path);
    http_call(client, method, url, body, REQUEST_TIMEOUT_MS, &status, &response);
    if (job_state)
        g_strlcpy(job_state, json_get_string(response, "state") ? json_get_string(response, "state") : "", n);
    cJSON_Delete(response);
    return status;
}

/* Submits a job, with retries until it is accepted, and returns the last HTTP status. */
static long submit(const char *job_id, const char *shape, int n_tasks) {
    char *body = g_strdup_printf(
        "{\"uid\":\"%s\",\"jobclass\":\"c\",\"owner\":\"red\",\"shape\":\"%s\",\"rank\":\"high\",\"tasks\":%d,"
        "\"vcpus\":2,\"gpus\":1,"
        "\"memory_gb\":4,\"image\":\"i\",\"pull_gb\":1,\"together\":false,\"spread\":false,\"reclaimable\":false,"
        "\"runtime_s\":1,"
        "\"checkpoint_s\":0,\"flush_s\":0}",
        job_id, shape, n_tasks);
    long status = 0;
    for (int i = 0; i < ATTEMPTS_MAX && status != 200 && status != 201; i++) {
        status = send_request("POST", "/work", body, NULL, 0);
        if (status >= 429) clock_sleep(clock_from_seconds(0.25));
    }
    g_free(body);
    return status;
}

/* Polls the job until it is in the expected state. Returns false after the timeout. */
static bool wait_for_state(const char *job_id, const char *expected_state, double timeout_s) {
    char path[80], job_state[32];
    struct timespec start = clock_now();
    g_snprintf(path, sizeof path, "/work/%s", job_id);
    while (clock_seconds_since(start) < timeout_s) {
        if (send_request("GET", path, NULL, job_state, sizeof job_state) == 200 &&
            strcmp(job_state, expected_state) == 0)
            return true;
        clock_sleep(clock_from_seconds(0.1));
    }
    return false;
}

/* Waits until the counter has reached the minimum. Returns false after the timeout. */
static bool wait_for_count(int (*counter)(void), int minimum, double timeout_s) {
    struct timespec start = clock_now();
    while (clock_seconds_since(start) < timeout_s) {
        if (counter() >= minimum) return true;
        clock_sleep(clock_from_seconds(0.05));
    }
    return false;
}

static void paths_and_methods_have_expected_status(void **state) {
    (void)state;
    static const struct {
        const char *method, *path;
        long status;
    } rows[] = {{"GET", "/nowhere", 404},           {"GET", "/work", 405},       {"DELETE", "/work/req-10001", 405},
                {"GET", "/work/req-777", 404},      {"GET", "/work/other", 404}, {"POST", "/work/req-777/cancel", 404},
                {"POST", "/work/req-777/stop", 404}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        long status = 503;
        for (int attempt = 0; attempt < ATTEMPTS_MAX && status == 503; attempt++) {
            status =
                send_request(rows[i].method, rows[i].path, strcmp(rows[i].method, "POST") == 0 ? "{}" : NULL, NULL, 0);
            if (status == 503) clock_sleep(clock_from_seconds(0.1));
        }
        if (status != rows[i].status) fail_msg("%s %s: %ld", rows[i].method, rows[i].path, status);
    }
    assert_int_equal(send_request("POST", "/work", "{\"uid\":1}", NULL, 0), 400);
}

static void job_completes_after_refused_rentals(void **state) {
    (void)state;
    assert_int_equal(submit("req-10001", "batch", 5), 201);
    assert_int_equal(submit("req-10001", "batch", 5), 200);
    /* The cloud refuses the first three rentals: over the rate, because of an error, and without capacity. */
    assert_true(wait_for_state("req-10001", "done", 30));
    assert_int_equal(standin_cloud_rentals_refused(), 3);
    assert_true(standin_cloud_rented() >= 2);
    assert_int_equal(submit("req-10001", "batch", 5), 200);
    assert_int_equal(standin_cloud_claims_reused(), 0);
}

/* A submission with an accepted id is acknowledged again, whatever its other fields are. A new one is validated. */
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
        long status = 503;
        for (int attempt = 0; attempt < ATTEMPTS_MAX && (status == 503 || status == 429); attempt++) {
            status = send_request("POST", "/work", rows[i].body, NULL, 0);
            if (status == 503 || status == 429) clock_sleep(clock_from_seconds(0.1));
        }
        if (status != rows[i].status) fail_msg("%s: %ld", rows[i].body, status);
    }
    assert_int_equal(send_request("GET", "/work/req-10999", NULL, NULL, 0), 404);
}

static void cancelled_job_stops_on_all_machines(void **state) {
    (void)state;
    char job_state[32];
    assert_int_equal(submit("req-90001", "standing", 2), 201);
    assert_true(wait_for_state("req-90001", "running", 10));
    struct timespec start = clock_now();
    while (standin_workers_running("req-90001/1") == 0 && clock_seconds_since(start) < 5)
        clock_sleep(clock_from_seconds(0.05));
    assert_int_equal(standin_workers_running("req-90001/1"), 1);
    assert_int_equal(send_request("POST", "/work/req-90001/cancel", "{}", job_state, sizeof job_state), 200);
    assert_string_equal(job_state, "cancelled");
    start = clock_now();
    while (standin_workers_running("req-90001/0") + standin_workers_running("req-90001/1") &&
           clock_seconds_since(start) < 3)
        clock_sleep(clock_from_seconds(0.05));
    assert_int_equal(standin_workers_running("req-90001/0") + standin_workers_running("req-90001/1"), 0);
    assert_int_equal(submit("req-90001", "standing", 2), 200);
    assert_true(wait_for_state("req-90001", "cancelled", 1));
}

/* During an outage of the store, polls get status 503 immediately and accepted jobs continue; later their state is
 * reported again. */
static void jobs_survive_a_store_outage(void **state) {
    (void)state;
    char job_state[32];
    assert_int_equal(submit("req-90002", "standing", 1), 201);
    assert_true(wait_for_state("req-90002", "running", 10));
    standin_store_inject(STANDIN_OUTAGE);
    struct timespec start = clock_now();
    assert_int_equal(send_request("GET", "/work/req-90002", NULL, job_state, sizeof job_state), 503);
    assert_true(clock_seconds_since(start) < 2);
    clock_sleep(clock_from_seconds(0.6));
    standin_store_inject(STANDIN_NO_FAULT);
    assert_true(wait_for_state("req-90002", "running", 5));
    int starts_before = standin_workers_starts();
    /* If the response to a transaction is lost, the job is neither lost nor started twice. */
    standin_store_inject(STANDIN_LOST_ANSWER);
    assert_true(submit("req-10003", "batch", 2) / 100 == 2);
    assert_true(wait_for_state("req-10003", "done", 15));
    assert_true(standin_workers_starts() >= starts_before + 2);
    assert_int_equal(standin_workers_most_copies(), 1);
}

/* A machine that sends no heartbeats is returned to the cloud, and only then does its task start on another one. */
static void silent_machine_is_returned_before_its_task_restarts(void **state) {
    (void)state;
    int machine_index = -1, returned_before = standin_cloud_returned();
    store_lock();
    struct job *job = jobs_find("req-90002");
    assert_non_null(job); /* NULL if an earlier test failed before the job was accepted */
    assert_int_equal(job->allocations->len, 1);
    machine_index = (int)g_ascii_strtoll(((struct allocation *)job->allocations->pdata[0])->machine->id + 2, NULL, 10);
    store_unlock();
    /* The service rents more machines for this job, so that only one of several machines is silent. */
    assert_int_equal(submit("req-90004", "standing", 4), 201);
    assert_true(wait_for_state("req-90004", "running", 10));
    standin_workers_set_machine_unreachable(machine_index);
    assert_true(wait_for_count(standin_cloud_returned, returned_before + 1, 10));
    struct timespec start = clock_now();
    while (standin_workers_running("req-90002/0") != 1 && clock_seconds_since(start) < 8)
        clock_sleep(clock_from_seconds(0.05));
    assert_int_equal(standin_workers_running("req-90002/0"), 1);
    assert_int_equal(standin_workers_most_copies(), 1);
}

/* If no machine sends heartbeats, the controller considers itself isolated and must not return the machines. */
static void no_machine_is_returned_if_all_are_silent(void **state) {
    (void)state;
    int returned_before = standin_cloud_returned();
    standin_workers_set_unreachable(true);
    clock_sleep(clock_from_seconds(3.5));
    assert_int_equal(standin_cloud_returned(), returned_before);
    standin_workers_set_unreachable(false);
    assert_true(wait_for_state("req-90002", "running", 5));
    assert_int_equal(standin_workers_most_copies(), 1);
}

/* Replaces the fixed ports of TEST_SETTINGS_JSON, with which concurrent runs of this test received each other's
 * requests. */
static bool use_free_ports(void) {
    char **addresses[] = {&settings.listen_address, &settings.peer_listen_address, &settings.cloud_address,
                          &settings.store_address};
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
    char *short_report_json = test_replace_first(
        TEST_SETTINGS_JSON, "\"report_s\":3,\"lease_s\":20,\"gang_wait_s\":30,\"gang_peer_s\":5,\"cancel_s\":40",
        "\"report_s\":0.3,\"lease_s\":20,\"gang_wait_s\":30,\"gang_peer_s\":5,\"cancel_s\":40");
    char *settings_json = test_replace_first(short_report_json, "{\"rps\":2,", "{\"rps\":50,");
    if (!settings_parse(settings_json, "f.json", &settings, NULL)) return 1;
    g_free(short_report_json);
    g_free(settings_json);
    settings.store_requests_per_s = 1000;
    settings.store_changes_per_s = 500;
    settings.tuning.silence_timeout = clock_from_seconds(1);
    settings.n_peers = 0;
    settings.teams[0].gpus_max = 0;
    if (!use_free_ports()) return 1;
    standin_workers_start(settings.listen_address);
    if (!standin_store_start(settings.store_address) || !standin_cloud_start(settings.cloud_address)) return 1;
    logging_init("error");
    client = http_client_new();
    service_init(&settings);
    if (!service_start(&settings)) return 1;
    const struct CMUnitTest tests[] = {cmocka_unit_test(paths_and_methods_have_expected_status),
                                       cmocka_unit_test(job_completes_after_refused_rentals),
                                       cmocka_unit_test(repeated_submissions_are_idempotent),
                                       cmocka_unit_test(cancelled_job_stops_on_all_machines),
                                       cmocka_unit_test(jobs_survive_a_store_outage),
                                       cmocka_unit_test(silent_machine_is_returned_before_its_task_restarts),
                                       cmocka_unit_test(no_machine_is_returned_if_all_are_silent)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
