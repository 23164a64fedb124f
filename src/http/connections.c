#include "connections.h"

#include <glib.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>
#include <time.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../sync/sync.h"

/* A check looks at all connections. Checks are counted instead of seconds, so that a pause of this process shortens no
 * client's time. */
#define CHECK_INTERVAL_S 0.5
#define CHECKS_PER_DEADLINE ((unsigned)(HTTP_REQUEST_DEADLINE_S / CHECK_INTERVAL_S))
#define TICK_INTERVAL_S 0.25 /* between checks if places are scarce */
#define TICKS_PER_CHECK ((unsigned)(CHECK_INTERVAL_S / TICK_INTERVAL_S))
/* Places are scarce if more than SCARCE_TENTHS of them are taken; then all above KEPT_TENTHS are vacated. */
#define SCARCE_TENTHS 9u
#define KEPT_TENTHS 5u
#define TENTHS 10u
#define LOG_INTERVAL_S 10.0
static const double request_deadline_s = HTTP_REQUEST_DEADLINE_S;

enum connection_state {
    CONNECTION_INCOMPLETE, /* its first request, or the beginning of a further one, is awaited in full */
    CONNECTION_IDLE,       /* the response to its last request was sent, and nothing has arrived since */
    CONNECTION_BUSY,       /* a request is being answered */
    CONNECTION_CLOSING     /* it was shut down, and the server has yet to close it */
};

struct http_connection {
    int socket_fd;
    enum connection_state state;
    uint64_t bytes_answered; /* bytes received up to the end of the last request */
    unsigned checks;         /* number of checks that have found it in its state */
};

struct http_connections {
    pthread_mutex_t lock;
    unsigned max_connections;
    GPtrArray *list;        /* struct http_connection */
    unsigned late, evicted; /* numbers of closed connections since the last line in the log */
    struct timespec logged_at;
};

/* Returns the number of bytes received on a connection; 0: the system does not tell. */
static uint64_t bytes_received(int socket_fd) {
    struct tcp_info info = {0};
    socklen_t size = sizeof info;
    if (getsockopt(socket_fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
    return info.tcpi_bytes_received;
}

/* ---- Checks. These functions are called with the lock held. ---- */

static void shut_down(struct http_connection *connection) {
    connection->state = CONNECTION_CLOSING;
    shutdown(connection->socket_fd, SHUT_RDWR);
}

static void check_connection(struct http_connections *connections, struct http_connection *connection) {
    if (connection->state == CONNECTION_IDLE && bytes_received(connection->socket_fd) > connection->bytes_answered) {
        connection->state = CONNECTION_INCOMPLETE;
        connection->checks = 0;
    }
    connection->checks++;
    if (connection->state != CONNECTION_INCOMPLETE || connection->checks <= CHECKS_PER_DEADLINE) return;
    shut_down(connection);
    connections->late++;
}

/* Orders connections by the order in which they are closed. */
static gint compare_for_eviction(gconstpointer left, gconstpointer right) {
    const struct http_connection *first = *(struct http_connection *const *)left,
                                 *second = *(struct http_connection *const *)right;
    if (first->state != second->state) return (gint)first->state - (gint)second->state;
    return (first->checks < second->checks) - (first->checks > second->checks);
}

static bool is_evictable(const struct http_connection *connection) {
    return connection->state == CONNECTION_IDLE || connection->state == CONNECTION_INCOMPLETE;
}

static bool is_scarce(const struct http_connections *connections) {
    return connections->list->len * TENTHS > connections->max_connections * SCARCE_TENTHS;
}

/* Returns the number of connections that are not being closed yet. */
static unsigned count_open(const struct http_connections *connections) {
    unsigned n_open = 0;
    for (guint i = 0; i < connections->list->len; i++)
        n_open += ((const struct http_connection *)connections->list->pdata[i])->state != CONNECTION_CLOSING;
    return n_open;
}

/* The sorted list begins with the connections to be closed first. */
static void make_room(struct http_connections *connections) {
    unsigned kept = connections->max_connections * KEPT_TENTHS / TENTHS, n_open = count_open(connections);
    g_ptr_array_sort(connections->list, compare_for_eviction);
    for (guint i = 0; i < connections->list->len && n_open > kept; i++) {
        struct http_connection *connection = connections->list->pdata[i];
        if (!is_evictable(connection)) break;
        shut_down(connection);
        connections->evicted++;
        n_open--;
    }
}

static void log_closed(struct http_connections *connections) {
    if (connections->late + connections->evicted == 0) return;
    if (clock_seconds_since(connections->logged_at) < LOG_INTERVAL_S) return;
    log_info("connections: closed %u with a request that was incomplete for %.0f s, %u to make room; %u of %u are open",
             connections->late, request_deadline_s, connections->evicted, count_open(connections),
             connections->max_connections);
    connections->late = connections->evicted = 0;
    connections->logged_at = clock_now();
}

static void check_all(struct http_connections *connections) {
    for (guint i = 0; i < connections->list->len; i++) check_connection(connections, connections->list->pdata[i]);
    log_closed(connections);
}

/* ---- The thread ---- */

static void *check_main(void *arg) {
    struct http_connections *connections = arg;
    for (unsigned tick = 1;; tick++) {
        clock_sleep(clock_from_seconds(TICK_INTERVAL_S));
        pthread_mutex_lock(&connections->lock);
        if (tick % TICKS_PER_CHECK == 0) check_all(connections);
        if (is_scarce(connections)) make_room(connections);
        pthread_mutex_unlock(&connections->lock);
    }
    return NULL;
}

/* ---- Calls of the server ---- */

struct http_connections *http_connections_new(unsigned max_connections) {
    struct http_connections *connections = g_new0(struct http_connections, 1);
    pthread_mutex_init(&connections->lock, NULL);
    connections->max_connections = max_connections;
    connections->list = g_ptr_array_new();
    return connections;
}

void http_connections_free(struct http_connections *connections) {
    g_ptr_array_free(connections->list, TRUE);
    pthread_mutex_destroy(&connections->lock);
    g_free(connections);
}

void http_connections_start(struct http_connections *connections) { sync_start_thread(check_main, connections); }

struct http_connection *http_connections_add(struct http_connections *connections, int socket_fd) {
    struct http_connection *connection = g_new0(struct http_connection, 1);
    connection->socket_fd = socket_fd;
    pthread_mutex_lock(&connections->lock);
    g_ptr_array_add(connections->list, connection);
    pthread_mutex_unlock(&connections->lock);
    return connection;
}

void http_connections_remove(struct http_connections *connections, struct http_connection *connection) {
    pthread_mutex_lock(&connections->lock);
    g_ptr_array_remove_fast(connections->list, connection);
    pthread_mutex_unlock(&connections->lock);
    g_free(connection);
}

static void enter_state(struct http_connections *connections, struct http_connection *connection,
                        enum connection_state state) {
    pthread_mutex_lock(&connections->lock);
    if (connection->state != CONNECTION_CLOSING) connection->state = state;
    connection->checks = 0;
    pthread_mutex_unlock(&connections->lock);
}

void http_connections_begin_request(struct http_connections *connections, struct http_connection *connection) {
    enter_state(connections, connection, CONNECTION_BUSY);
}

void http_connections_end_request(struct http_connections *connections, struct http_connection *connection) {
    connection->bytes_answered = bytes_received(connection->socket_fd);
    enter_state(connections, connection, CONNECTION_IDLE);
}
