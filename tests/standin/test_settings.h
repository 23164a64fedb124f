/* Settings of a small cluster for tests: two shards, three zones, three teams. */
#ifndef FF_STANDIN_TEST_SETTINGS_H
#define FF_STANDIN_TEST_SETTINGS_H
/* cmocka.h needs the headers before it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
/* clang-format off */
#include <cmocka.h>
/* clang-format on */
#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#define TEST_SETTINGS_JSON                                                                                             \
    "{\"node\":\"n0\",\"area\":\"za\",\"bind\":\"127.0.0.1:18080\",\"cluster_listen\":\"127.0.0.1:18081\",\"future\":" \
    "1,"                                                                                                               \
    "\"seeds\":[{\"node\":\"n1\",\"area\":\"zb\",\"address\":\"127.0.0.1:18082\"}],"                                   \
    "\"services\":{\"cloud\":\"127.0.0.1:18083\",\"state\":\"127.0.0.1:18084\"},"                                      \
    "\"settings\":{\"size\":2,\"zones\":[\"za\",\"zb\",\"zc\"],"                                                       \
    "\"teams\":[{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0,\"gpus\":4,\"gpus_max\":8},"                               \
    "{\"name\":\"blue\",\"cpus\":0,\"cpus_max\":20,\"gpus\":0,\"gpus_max\":0},"                                        \
    "{\"name\":\"green\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":0}],"                                       \
    "\"workers\":{\"report_s\":3,\"lease_s\":20,\"gang_wait_s\":30,\"gang_peer_s\":5,\"cancel_s\":40},"                \
    "\"state\":{\"rps\":100,\"write_rps\":20,\"value_kb\":4,\"txn_ops\":8},"                                           \
    "\"cloud\":{\"rps\":2,\"list_lag_s\":5},\"machine_limits\":{\"cores\":0.2,\"mem_mb\":100,\"sockets\":1000}}}"

#define TEST_ADDRESS_BYTES 32

/* A loopback port that the system chose as free. Tests run in parallel, so they cannot share a fixed port. */
static inline int test_free_port(void) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof address;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_true(fd >= 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&address, length), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&address, &length), 0);
    close(fd);
    return ntohs(address.sin_port);
}

/* A copy of text with the first occurrence of `from` replaced by `to`, to be freed by g_free. */
static inline char *test_replace_first(const char *text, const char *from, const char *to) {
    const char *found = strstr(text, from);
    assert_non_null(found);
    return g_strdup_printf("%.*s%s%s", (int)(found - text), text, to, found + strlen(from));
}

/* TEST_SETTINGS_JSON with a free port for the state service, to be freed by g_free. */
static inline char *test_settings_json(void) {
    char address[TEST_ADDRESS_BYTES];
    g_snprintf(address, sizeof address, "127.0.0.1:%d", test_free_port());
    return test_replace_first(TEST_SETTINGS_JSON, "127.0.0.1:18084", address);
}
#endif
