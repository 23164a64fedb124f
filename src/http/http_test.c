/* The HTTP client against servers on loopback addresses, and the pure functions of the HTTP server. */
#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../tests/standin/test_settings.h"
#include "clock/clock.h"
#include "http/client.h"
#include "http/server.h"
#include "sync/sync.h"

static int listen_fd, n_requests;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Serves one connection. Responds to the first request of the test and keeps the connection open; after any other
 * request it closes the connection without a response, like a connection reset. */
static void *serve_connection(void *arg) {
    int fd = (int)(intptr_t)arg;
    char buf[2048];
    while (recv(fd, buf, sizeof buf, 0) > 0) {
        pthread_mutex_lock(&lock);
        int n = ++n_requests;
        pthread_mutex_unlock(&lock);
        if (n > 1) break;
        static const char response[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        if (send(fd, response, sizeof response - 1, MSG_NOSIGNAL) < 0) break;
    }
    close(fd);
    return NULL;
}

static void *listen_main(void *arg) {
    (void)arg;
    for (int fd; (fd = accept(listen_fd, NULL, NULL)) >= 0;) sync_start_thread(serve_connection, (void *)(intptr_t)fd);
    return NULL;
}

/* libcurl sends a request again if a reused connection closes before the response. A command sent twice could start a
 * task twice, because the worker may process the first copy long after the second. */
static void http_call_once_sends_no_second_copy(void **state) {
    (void)state;
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t address_length = sizeof address;
    listen_fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(listen_fd, (struct sockaddr *)&address, sizeof address), 0);
    assert_int_equal(listen(listen_fd, 8), 0);
    assert_int_equal(getsockname(listen_fd, (struct sockaddr *)&address, &address_length), 0);
    assert_int_equal(sync_start_thread(listen_main, NULL), 0);
    char url[64];
    g_snprintf(url, sizeof url, "http://127.0.0.1:%d/commands", ntohs(address.sin_port));
    struct http_client *client = http_client_new();
    long status;
    assert_int_equal(http_call(client, "POST", url, "{}", 1000, &status, NULL), HTTP_ANSWERED);
    assert_int_equal(http_call_once(client, "POST", url, "{}", 1000, &status, NULL), HTTP_UNKNOWN);
    pthread_mutex_lock(&lock);
    assert_int_equal(n_requests, 2);
    pthread_mutex_unlock(&lock);
    http_client_free(client);
}

/* A reply that is sent long after http_reply, because the process was paused, may no longer be true. */
static void old_reply_expires(void **state) {
    (void)state;
    static const struct {
        double reply_age_s;
        bool expired;
    } cases[] = {{0, false}, {0.3, false}, {1.5, true}, {60, true}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
        assert_int_equal(http_reply_expired(cases[i].reply_age_s), cases[i].expired);
}

/* Accepts one connection, responds to the first request, and reads the second without a response. */
static void *respond_to_first_request(void *arg) {
    int connection_fd = accept(*(int *)arg, NULL, NULL);
    char buf[4096];
    static const char response[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    if (connection_fd >= 0 && read(connection_fd, buf, sizeof buf) > 0 &&
        write(connection_fd, response, sizeof response - 1) > 0)
        (void)!read(connection_fd, buf, sizeof buf);
    clock_sleep(clock_from_seconds(1));
    if (connection_fd >= 0) close(connection_fd);
    return NULL;
}

/* A request without a response has an unknown outcome, on a reused connection, too. A request was not sent if the
 * connection was refused. */
static void request_without_response_is_unknown(void **state) {
    (void)state;
    struct sockaddr_in address = {
        .sin_family = AF_INET, .sin_port = htons(18186), .sin_addr = {htonl(INADDR_LOOPBACK)}};
    int enabled = 1, fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    assert_int_equal(bind(fd, (struct sockaddr *)&address, sizeof address), 0);
    assert_int_equal(listen(fd, 4), 0);
    assert_int_equal(sync_start_thread(respond_to_first_request, &fd), 0);
    struct http_client *client = http_client_new();
    long status;
    assert_int_equal(http_call(client, "POST", "http://127.0.0.1:18186/a", "{}", 500, &status, NULL), HTTP_ANSWERED);
    assert_int_equal(http_call(client, "POST", "http://127.0.0.1:18186/a", "{}", 300, &status, NULL), HTTP_UNKNOWN);
    assert_int_equal(http_call(client, "POST", "http://127.0.0.1:18187/a", "{}", 300, &status, NULL), HTTP_NOT_SENT);
    http_client_free(client);
    close(fd);
}

/* Accepts one connection and sends a body without an end until the connection is closed. */
static void *respond_without_end(void *arg) {
    static const char header[] = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n[";
    static char body[65536];
    int connection_fd = accept(*(int *)arg, NULL, NULL);
    memset(body, ' ', sizeof body);
    ssize_t sent = send(connection_fd, header, sizeof header - 1, MSG_NOSIGNAL);
    while (sent > 0) sent = send(connection_fd, body, sizeof body, MSG_NOSIGNAL);
    close(connection_fd);
    return NULL;
}

/* Guards against a response that takes more memory than the controller has. */
static void response_without_end_is_given_up(void **state) {
    (void)state;
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
    socklen_t address_length = sizeof address;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&address, sizeof address), 0);
    assert_int_equal(listen(fd, 4), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&address, &address_length), 0);
    assert_int_equal(sync_start_thread(respond_without_end, &fd), 0);
    char url[64];
    g_snprintf(url, sizeof url, "http://127.0.0.1:%d/a", ntohs(address.sin_port));
    struct http_client *client = http_client_new();
    struct timespec start = clock_now();
    long status;
    cJSON *response;
    assert_int_equal(http_call(client, "GET", url, NULL, 60000, &status, &response), HTTP_UNKNOWN);
    assert_null(response);
    assert_true(clock_seconds_since(start) < 30);
    http_client_free(client);
    close(fd);
}

/* Connections of workers are closed early enough to leave connections for users and health checks. */
static void connections_are_scarce_above_half(void **state) {
    (void)state;
    static const struct {
        unsigned connections, max_connections;
        bool expected;
    } cases[] = {{0, 1594, false}, {797, 1594, false}, {798, 1594, true}, {1594, 1594, true}, {1, 1, true}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
        assert_int_equal(http_connections_scarce(cases[i].connections, cases[i].max_connections), cases[i].expected);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(http_call_once_sends_no_second_copy), cmocka_unit_test(old_reply_expires),
        cmocka_unit_test(request_without_response_is_unknown), cmocka_unit_test(response_without_end_is_given_up),
        cmocka_unit_test(connections_are_scarce_above_half),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
