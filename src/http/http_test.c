#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../tests/standin/site.h"
#include "http/client.h"
#include "http/server.h"
#include "sync/sync.h"

static int listener, requests;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Answers the first request of a connection if it is the first of all, and keeps the connection; reads any other and
 * closes without an answer, as a network does that is reset. */
static void *serve(void *arg) {
    int s = (int)(intptr_t)arg;
    char buf[2048];
    while (recv(s, buf, sizeof buf, 0) > 0) {
        pthread_mutex_lock(&lock);
        int n = ++requests;
        pthread_mutex_unlock(&lock);
        if (n > 1) break;
        static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        if (send(s, answer, sizeof answer - 1, MSG_NOSIGNAL) < 0) break;
    }
    close(s);
    return NULL;
}

static void *listen_main(void *arg) {
    (void)arg;
    for (int s; (s = accept(listener, NULL, NULL)) >= 0;) sync_start_thread(serve, (void *)(intptr_t)s);
    return NULL;
}

/* A command with starts goes out once. On a kept connection that ends before the answer the client sends it again, and
 * the first copy may be carried out long after the second was answered. */
static void sent_once(void **state) {
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
    struct http_client *c = http_client_new();
    long status;
    assert_int_equal(http_call(c, "POST", url, "{}", 1000, &status, NULL), HTTP_ANSWERED);
    assert_int_equal(http_call_once(c, "POST", url, "{}", 1000, &status, NULL), HTTP_UNKNOWN);
    pthread_mutex_lock(&lock);
    assert_int_equal(requests, 2);
    pthread_mutex_unlock(&lock);
    http_client_free(c);
}

/* Answers go out at once; one that was decided before the process stood still does not. */
static void stale_answers(void **state) {
    (void)state;
    static const struct {
        double age_s;
        bool stale;
    } rows[] = {{0, false}, {0.3, false}, {1.5, true}, {60, true}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) assert_int_equal(http_reply_expired(rows[i].age_s), rows[i].stale);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(sent_once), cmocka_unit_test(stale_answers)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
