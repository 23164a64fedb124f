/* Clients that send half a request, or requests that have to wait for a slow store, keep nobody else out: health
 * checks, users and workers are served by real controllers.
 *
 * Each process runs one row, because every row needs stand-ins that start empty. */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "../standin/cloud.h"
#include "../standin/cluster.h"
#include "../standin/store.h"
#include "../standin/test_cases.h"
#include "../standin/test_settings.h"
#include "../standin/workers.h"
#include "clock/clock.h"
#include "sync/sync.h"

#define CONTROLLERS 2
#define TEAMS "[{\"name\":\"red\",\"cpus\":0,\"cpus_max\":64,\"gpus\":0,\"gpus_max\":16}]"
#define READY_TIMEOUT_S 20
#define SLOW_CLIENTS 1500 /* for each controller, which has 750 places */
#define DRIP_INTERVAL_S 1
#define OBSERVATION_S 8
#define CHECK_INTERVAL_S 0.3
#define HEALTH_CHECK_TIMEOUT_S 1 /* of the load balancer, which removes a controller after two failures in a row */
#define JOBS 20
#define DONE_TIMEOUT_S 30
#define STORE_DELAY_S 0.6
#define PROMPT_ANSWER_S 0.3 /* of requests that need no answer of the store */
#define HALF_REQUEST "POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n{\"uid\""

static int slow_fds[CONTROLLERS * SLOW_CLIENTS];
static gint n_slow; /* accessed atomically */

static void *drip_main(void *arg) {
    (void)arg;
    for (;;) {
        clock_sleep(clock_from_seconds(DRIP_INTERVAL_S));
        for (int i = 0; i < g_atomic_int_get(&n_slow); i++)
            (void)!send(slow_fds[i], "x", 1, MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    return NULL;
}

static void start_slow_client(int controller) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
    address.sin_port = htons((uint16_t)cluster_port(controller));
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_true(fd >= 0);
    assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof address), 0);
    (void)!send(fd, HALF_REQUEST, strlen(HALF_REQUEST), MSG_NOSIGNAL);
    slow_fds[n_slow] = fd;
    g_atomic_int_inc(&n_slow);
}

static bool check_health(int controller, double within_s) {
    struct timespec start = clock_now();
    return cluster_request(controller, "GET", "/up", NULL, NULL, 0) == 200 && clock_seconds_since(start) < within_s;
}

/* Returns the largest number of failed health checks in a row of any controller. */
static int failed_health_checks(double seconds, double within_s) {
    int in_row[CONTROLLERS] = {0}, most = 0;
    struct timespec start = clock_now();
    while (clock_seconds_since(start) < seconds) {
        for (int i = 0; i < CONTROLLERS; i++) {
            in_row[i] = check_health(i, within_s) ? 0 : in_row[i] + 1;
            most = MAX(most, in_row[i]);
        }
        clock_sleep(clock_from_seconds(CHECK_INTERVAL_S));
    }
    return most;
}

static void submit_jobs(void) {
    for (int i = 0; i < JOBS; i++) {
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-61%02d", i);
        struct cluster_job job = {job_id, "red", "batch", "high", 1, 1, 0, NULL};
        long status = cluster_submit(i, &job);
        if (status != 201 && status != 200) fail_msg("%s: %ld", job_id, status);
    }
}

static void wait_for_jobs(void) {
    for (int i = 0; i < JOBS; i++) {
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-61%02d", i);
        if (!cluster_wait_for_job_state(job_id, "done", DONE_TIMEOUT_S)) fail_msg("%s is not done", job_id);
    }
    assert_int_equal(standin_workers_starts_by_prefix("req-61"), JOBS);
}

/* Guards against half-sent requests that take all places of the controllers, and hold them with a byte a second. */
static void half_sent_requests(void **state) {
    (void)state;
    assert_int_equal(sync_start_thread(drip_main, NULL), 0);
    for (int i = 0; i < SLOW_CLIENTS; i++)
        for (int controller = 0; controller < CONTROLLERS; controller++) start_slow_client(controller);
    int failed = failed_health_checks(OBSERVATION_S, HEALTH_CHECK_TIMEOUT_S);
    if (failed >= 2) fail_msg("%d health checks in a row failed", failed);
    submit_jobs();
    wait_for_jobs();
}

static void *submit_main(void *arg) {
    (void)arg;
    submit_jobs();
    return NULL;
}

/* Guards against a handler that waits for the store on the thread that serves all connections. */
static void slow_store(void **state) {
    (void)state;
    pthread_t thread;
    standin_store_delay_answers(STORE_DELAY_S);
    assert_int_equal(pthread_create(&thread, NULL, submit_main, NULL), 0);
    int failed = failed_health_checks(OBSERVATION_S / 2, PROMPT_ANSWER_S);
    assert_int_equal(failed, 0);
    standin_store_delay_answers(0);
    pthread_join(thread, NULL);
    wait_for_jobs();
}

static const struct {
    const char *name;
    CMUnitTestFunction run;
} rows[] = {
    {"half_sent_requests", half_sent_requests},
    {"slow_store", slow_store},
};
static size_t row;

static void raise_open_files(void) {
    struct rlimit limit;
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

int main(int argc, char **argv) {
    if (test_cases_are_listed(argc, argv)) return test_cases_compare(TEST_CASE_TABLE(rows), argc, argv);
    const struct cluster_settings settings = {.controllers = CONTROLLERS, .shards = CONTROLLERS, .teams = {TEAMS}};
    raise_open_files();
    if (argc < 3 || !test_cases_find(TEST_CASE_TABLE(rows), argv[2], &row) || !cluster_start(argv[1], &settings))
        return 2;
    standin_cloud_stop_refusing_rentals();
    for (int index = 0; index < CONTROLLERS; index++) cluster_start_controller(index);
    if (!cluster_wait_for_shard_owners(READY_TIMEOUT_S)) return 2;
    const struct CMUnitTest tests[] = {{rows[row].name, rows[row].run, NULL, NULL, NULL}};
    int failed = cmocka_run_group_tests(tests, NULL, NULL);
    cluster_teardown();
    return failed;
}
