/* Settings of a small deployment for the tests: three zones, three teams, one machine type. */
#ifndef FF_STANDIN_SITE_H
#define FF_STANDIN_SITE_H
/* cmocka's own headers come first, in its order. */
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

#define SITE_JSON                                                                                                      \
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

#define SITE_ADDRESS_LENGTH 32

/* A port of the loopback address that the system says is free; tests run side by side. */
static inline int site_free_port(void) {
    struct sockaddr_in at = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof at;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_true(fd >= 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&at, length), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &length), 0);
    close(fd);
    return ntohs(at.sin_port);
}

/* A copy of text with the first `from` replaced. */
static inline char *site_with(const char *text, const char *from, const char *to) {
    const char *at = strstr(text, from);
    assert_non_null(at);
    return g_strdup_printf("%.*s%s%s", (int)(at - text), text, to, at + strlen(from));
}

/* The settings with a state service on a free port. */
static inline char *site_json(void) {
    char address[SITE_ADDRESS_LENGTH];
    g_snprintf(address, sizeof address, "127.0.0.1:%d", site_free_port());
    return site_with(SITE_JSON, "127.0.0.1:18084", address);
}
#endif
