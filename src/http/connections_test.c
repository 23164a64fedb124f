/* Half-sent and slowly sent requests against a server with few places. */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "../../tests/standin/test_settings.h"
#include "clock/clock.h"
#include "http/client.h"
#include "http/server.h"
#include "sync/sync.h"

#define PLACES 60
#define SLOW_CLIENTS 200
#define DRIP_INTERVAL_S 0.3
#define REQUEST_DEADLINE_S 5 /* users wait as long for an answer */
#define DEADLINE_SLACK_S 2
#define HEALTH_CHECK_TIMEOUT_MS 1000 /* of the load balancer */
#define HALF_REQUEST "POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n{\"uid\""

static int port;
static char url[64];

static void on_request(struct http_request *request, void *context) {
    (void)context;
    http_reply(request, 200, "{}", 0);
}

static int connect_to_server(void) {
    struct sockaddr_in address = {
        .sin_family = AF_INET, .sin_port = htons((uint16_t)port), .sin_addr = {htonl(INADDR_LOOPBACK)}};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_true(fd >= 0);
    assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof address), 0);
    return fd;
}

static void send_text(int fd, const char *text, size_t length) {
    for (size_t sent = 0; sent < length;) {
        ssize_t n = send(fd, text + sent, length - sent, MSG_NOSIGNAL);
        if (n <= 0) return;
        sent += (size_t)n;
    }
}

/* Returns whether the server has closed the connection or answered on it. */
static bool has_ended(int fd) {
    struct pollfd poll_fd = {.fd = fd, .events = POLLIN};
    return poll(&poll_fd, 1, 0) > 0;
}

/* Clients that send one byte after another until they are stopped. */
static struct slow_clients {
    pthread_mutex_t lock;
    int fds[SLOW_CLIENTS], count;
} slow = {.lock = PTHREAD_MUTEX_INITIALIZER};

static void *drip_main(void *arg) {
    (void)arg;
    for (;;) {
        clock_sleep(clock_from_seconds(DRIP_INTERVAL_S));
        pthread_mutex_lock(&slow.lock);
        for (int i = 0; i < slow.count; i++) send_text(slow.fds[i], "x", 1);
        pthread_mutex_unlock(&slow.lock);
    }
    return NULL;
}

static void start_slow_clients(int count) {
    for (int i = 0; i < count; i++) {
        int fd = connect_to_server();
        send_text(fd, HALF_REQUEST, strlen(HALF_REQUEST));
        pthread_mutex_lock(&slow.lock);
        slow.fds[slow.count++] = fd;
        pthread_mutex_unlock(&slow.lock);
    }
}

static void stop_slow_clients(void) {
    pthread_mutex_lock(&slow.lock);
    for (int i = 0; i < slow.count; i++) close(slow.fds[i]);
    slow.count = 0;
    pthread_mutex_unlock(&slow.lock);
}

static long request_status(struct http_client *client, long timeout_ms) {
    long status = 0;
    http_call_once(client, "GET", url, NULL, timeout_ms, &status, NULL);
    return status;
}

/* Guards against clients that take all places and hold them with a byte now and then. */
static void half_sent_requests_do_not_keep_others_out(void **state) {
    (void)state;
    struct http_client *client = http_client_new();
    start_slow_clients(SLOW_CLIENTS);
    clock_sleep(clock_from_seconds(DEADLINE_SLACK_S));
    for (int i = 0; i < 10; i++) {
        assert_int_equal(request_status(client, HEALTH_CHECK_TIMEOUT_MS), 200);
        clock_sleep(clock_from_seconds(DRIP_INTERVAL_S));
    }
    stop_slow_clients();
    http_client_free(client);
}

/* Guards against a deadline that each byte starts anew, and against one that ends connections between requests. */
static void incomplete_request_ends_at_its_deadline(void **state) {
    (void)state;
    static const char request[] = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
    char answer[1024];
    int silent = connect_to_server(), idle = connect_to_server();
    send_text(idle, request, sizeof request - 1);
    assert_true(recv(idle, answer, sizeof answer, 0) > 0);
    int second_request = connect_to_server();
    send_text(second_request, request, sizeof request - 1);
    assert_true(recv(second_request, answer, sizeof answer, 0) > 0);
    clock_sleep(clock_from_seconds(1));
    start_slow_clients(1);
    send_text(second_request, request, sizeof request / 2);
    clock_sleep(clock_from_seconds(REQUEST_DEADLINE_S - DEADLINE_SLACK_S));
    assert_false(has_ended(slow.fds[0]));
    assert_false(has_ended(second_request));
    clock_sleep(clock_from_seconds(2 * DEADLINE_SLACK_S));
    assert_true(has_ended(slow.fds[0]));
    assert_true(has_ended(second_request));
    assert_true(has_ended(silent));
    assert_false(has_ended(idle));
    send_text(idle, request, sizeof request - 1);
    assert_true(recv(idle, answer, sizeof answer, 0) > 0);
    assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
    stop_slow_clients();
    close(silent);
    close(idle);
    close(second_request);
}

/* Sends all of a request but its last byte. */
static int send_large_request(int to_port, const char *body) {
    char header[128];
    struct sockaddr_in address = {
        .sin_family = AF_INET, .sin_port = htons((uint16_t)to_port), .sin_addr = {htonl(INADDR_LOOPBACK)}};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof address), 0);
    int length = g_snprintf(header, sizeof header, "POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n",
                            strlen(body) + 1);
    send_text(fd, header, (size_t)length);
    send_text(fd, body, strlen(body));
    return fd;
}

/* Guards against bodies that together take more memory than the controller has. */
static void bodies_are_limited_together(void **state) {
    (void)state;
    enum { CLIENTS = 320, BODY_BYTES = 60000 };
    char address[32], answer[1024], *body = g_strnfill(BODY_BYTES, ' ');
    int fds[CLIENTS], large_port = test_free_port(), accepted = 0, refused = 0;
    g_snprintf(address, sizeof address, "127.0.0.1:%d", large_port);
    assert_non_null(http_server_start(address, 2 * CLIENTS, on_request, NULL));
    for (int i = 0; i < CLIENTS; i++) fds[i] = send_large_request(large_port, body);
    for (int i = 0; i < CLIENTS; i++) {
        send_text(fds[i], " ", 1);
        ssize_t n = recv(fds[i], answer, sizeof answer - 1, 0);
        answer[MAX(n, 0)] = 0;
        accepted += g_str_has_prefix(answer, "HTTP/1.1 200");
        refused += g_str_has_prefix(answer, "HTTP/1.1 503");
        close(fds[i]);
    }
    assert_int_equal(accepted + refused, CLIENTS);
    assert_true(accepted > 0 && (long)accepted * BODY_BYTES < 17L * 1024 * 1024);
    int fd = send_large_request(large_port, body);
    send_text(fd, " ", 1);
    assert_true(recv(fd, answer, sizeof answer, 0) > 0);
    assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
    close(fd);
    g_free(body);
}

int main(void) {
    char address[32];
    port = test_free_port();
    g_snprintf(address, sizeof address, "127.0.0.1:%d", port);
    g_snprintf(url, sizeof url, "http://%s/up", address);
    if (!http_server_start(address, PLACES, on_request, NULL) || sync_start_thread(drip_main, NULL) != 0) return 1;
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(half_sent_requests_do_not_keep_others_out),
        cmocka_unit_test(incomplete_request_ends_at_its_deadline),
        cmocka_unit_test(bodies_are_limited_together),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
