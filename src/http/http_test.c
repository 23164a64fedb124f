/* Client and server of HTTP on loopback: what is sent once, and answers that come too late. */
#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../tests/standin/site.h"
#include "clock/clock.h"
#include "http/client.h"
#include "http/server.h"
#include "sync/sync.h"

static int listener, requests;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Answers the first request of a connection if it is the first of all, and keeps the connection; reads any other and
 * closes without an answer, as a network does that is reset. */
static void *serve(void *arg) {
    int fd = (int)(intptr_t)arg;
    char buf[2048];
    while (recv(fd, buf, sizeof buf, 0) > 0) {
        pthread_mutex_lock(&lock);
        int n = ++requests;
        pthread_mutex_unlock(&lock);
        if (n > 1) break;
        static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        if (send(fd, answer, sizeof answer - 1, MSG_NOSIGNAL) < 0) break;
    }
    close(fd);
    return NULL;
}

static void *listen_main(void *arg) {
    (void)arg;
    for (int fd; (fd = accept(listener, NULL, NULL)) >= 0;) sync_start_thread(serve, (void *)(intptr_t)fd);
    return NULL;
}

/* A command with starts goes out once. On a kept connection that ends before the answer the client sends it again, and
 * the first copy may be carried out long after the second was answered. */
static void http_call_once_sends_no_second_copy(void **state) {
    (void)state;
    struct sockaddr_in at = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof at;
    listener = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(listener, (struct sockaddr *)&at, sizeof at), 0);
    assert_int_equal(listen(listener, 8), 0);
    assert_int_equal(getsockname(listener, (struct sockaddr *)&at, &len), 0);
    assert_int_equal(sync_start_thread(listen_main, NULL), 0);
    char url[64];
    g_snprintf(url, sizeof url, "http://127.0.0.1:%d/commands", ntohs(at.sin_port));
    struct http_client *client = http_client_new();
    long status;
    assert_int_equal(http_call(client, "POST", url, "{}", 1000, &status, NULL), HTTP_ANSWERED);
    assert_int_equal(http_call_once(client, "POST", url, "{}", 1000, &status, NULL), HTTP_UNKNOWN);
    pthread_mutex_lock(&lock);
    assert_int_equal(requests, 2);
    pthread_mutex_unlock(&lock);
    http_client_free(client);
}

/* Answers go out at once; one that was decided before the process was paused does not. */
static void an_answer_decided_before_a_pause_expires(void **state) {
    (void)state;
    static const struct {
        double age_s;
        bool stale;
    } cases[] = {{0, false}, {0.3, false}, {1.5, true}, {60, true}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
        assert_int_equal(http_reply_expired(cases[i].age_s), cases[i].stale);
}

static void *answer_one_request(void *arg) {
    /* Accepts one connection, answers its first request, and is silent after the second. */
    int at = accept(*(int *)arg, NULL, NULL);
    char buf[4096];
    static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    if (at >= 0 && read(at, buf, sizeof buf) > 0 && write(at, ok, sizeof ok - 1) > 0) (void)!read(at, buf, sizeof buf);
    clock_sleep(clock_from_seconds(1));
    if (at >= 0) close(at);
    return NULL;
}

/* What was sent and not answered is unknown, also on a kept connection; what found no listener was not sent. */
static void what_was_sent_and_not_answered_is_unknown(void **state) {
    (void)state;
    struct sockaddr_in address = {
        .sin_family = AF_INET, .sin_port = htons(18186), .sin_addr = {htonl(INADDR_LOOPBACK)}};
    int one = 1, fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    assert_int_equal(bind(fd, (struct sockaddr *)&address, sizeof address), 0);
    assert_int_equal(listen(fd, 4), 0);
    assert_int_equal(sync_start_thread(answer_one_request, &fd), 0);
    struct http_client *client = http_client_new();
    long status;
    assert_int_equal(http_call(client, "POST", "http://127.0.0.1:18186/a", "{}", 500, &status, NULL), HTTP_ANSWERED);
    assert_int_equal(http_call(client, "POST", "http://127.0.0.1:18186/a", "{}", 300, &status, NULL), HTTP_UNKNOWN);
    assert_int_equal(http_call(client, "POST", "http://127.0.0.1:18187/a", "{}", 300, &status, NULL), HTTP_NOT_SENT);
    http_client_free(client);
    close(fd);
}

/* Workers' connections are closed while there is still room for everybody else. */
static void a_crowded_server_closes_connections_of_workers(void **state) {
    (void)state;
    static const struct {
        unsigned open, most;
        bool want;
    } cases[] = {{0, 1594, false}, {797, 1594, false}, {798, 1594, true}, {1594, 1594, true}, {1, 1, true}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
        assert_int_equal(http_crowded(cases[i].open, cases[i].most), cases[i].want);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(http_call_once_sends_no_second_copy),
        cmocka_unit_test(an_answer_decided_before_a_pause_expires),
        cmocka_unit_test(what_was_sent_and_not_answered_is_unknown),
        cmocka_unit_test(a_crowded_server_closes_connections_of_workers),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
