#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum { HEAD_MAX = 8192, BODY_MAX = 64 * 1024 * 1024, STACK_BYTES = 256 * 1024 };

double net_now(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

void net_sleep(double seconds) {
    struct timespec length = {(time_t)seconds, (long)((seconds - (double)(time_t)seconds) * 1e9)};
    while (nanosleep(&length, &length) != 0 && errno == EINTR) continue;
}

static struct sockaddr_in loopback(int port) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((unsigned short)port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/* The ports are below those that the system uses for outgoing connections. */
int net_free_port(void) {
    enum { FIRST_PORT = 12000, PORTS = 18000 };
    static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
    static int offset = -1;
    pthread_mutex_lock(&lock);
    if (offset < 0) offset = (int)((unsigned)getpid() * 331u % PORTS);
    for (int i = 0; i < PORTS; i++) {
        int port = FIRST_PORT + offset, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        struct sockaddr_in address = loopback(port);
        offset = (offset + 1) % PORTS;
        bool is_free = bind(fd, (struct sockaddr *)&address, sizeof address) == 0;
        close(fd);
        if (!is_free) continue;
        pthread_mutex_unlock(&lock);
        return port;
    }
    pthread_mutex_unlock(&lock);
    return -1;
}

/* Waits until the socket is ready or the deadline has passed (deadline < 0: none). */
static bool wait_for(int fd, short events, double deadline) {
    struct pollfd entry = {.fd = fd, .events = events};
    for (;;) {
        int timeout_ms = -1;
        if (deadline >= 0) {
            double left = deadline - net_now();
            if (left <= 0) return false;
            timeout_ms = (int)(left * 1000) + 1;
        }
        int ready = poll(&entry, 1, timeout_ms);
        if (ready > 0) return true;
        if (ready < 0 && errno != EINTR) return false;
    }
}

static bool send_all(int fd, const char *data, size_t length, double deadline) {
    while (length > 0) {
        ssize_t sent = send(fd, data, length, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            data += sent;
            length -= (size_t)sent;
        } else if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
            if (!wait_for(fd, POLLOUT, deadline)) return false;
        } else {
            return false;
        }
    }
    return true;
}

struct message {
    char head[HEAD_MAX];
    char *body;
    size_t body_length;
};

static const char *header_value(const char *head, const char *name) {
    size_t length = strlen(name);
    for (const char *line = strstr(head, "\r\n"); line; line = strstr(line + 2, "\r\n")) {
        if (strncasecmp(line + 2, name, length) == 0 && line[2 + length] == ':') {
            const char *value = line + 2 + length + 1;
            return value + strspn(value, " ");
        }
    }
    return NULL;
}

/* Reads a message with Content-Length. Returns false at the end of the connection or the deadline. */
static bool receive(int fd, struct message *message, double deadline) {
    size_t used = 0;
    char *end = NULL;
    message->body = NULL;
    while (!end) {
        if (used >= HEAD_MAX - 1 || !wait_for(fd, POLLIN, deadline)) return false;
        ssize_t got = recv(fd, message->head + used, HEAD_MAX - 1 - used, MSG_DONTWAIT);
        if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR)) return false;
        if (got > 0) used += (size_t)got;
        message->head[used] = 0;
        end = strstr(message->head, "\r\n\r\n");
    }
    size_t head_length = (size_t)(end - message->head) + 4;
    char *rest = message->head + head_length;
    size_t have = used - head_length;
    end[2] = 0;
    const char *text = header_value(message->head, "Content-Length");
    long length = text ? atol(text) : 0;
    if (length < 0 || length > BODY_MAX) return false;
    message->body_length = (size_t)length;
    message->body = malloc((size_t)length + 1);
    if (have > (size_t)length) have = (size_t)length;
    memcpy(message->body, rest, have);
    while (have < (size_t)length) {
        ssize_t got = wait_for(fd, POLLIN, deadline) ? recv(fd, message->body + have, (size_t)length - have, 0) : 0;
        if (got <= 0) {
            free(message->body);
            message->body = NULL;
            return false;
        }
        have += (size_t)got;
    }
    message->body[length] = 0;
    return true;
}

struct connection {
    int fd, endpoint;
    net_handler handler;
};

static void *connection_main(void *arg) {
    struct connection connection = *(struct connection *)arg;
    struct message *message = malloc(sizeof *message);
    free(arg);
    while (receive(connection.fd, message, -1)) {
        struct net_request request = {.body = message->body, .endpoint = connection.endpoint};
        char *answer = NULL, head[160];
        int status = 0;
        if (sscanf(message->head, "%7s %511s", request.method, request.path) == 2)
            status = connection.handler(&request, &answer);
        free(message->body);
        if (status == 0) {
            free(answer);
            break;
        }
        const char *text = answer ? answer : "{}";
        const char *wish = header_value(message->head, "Connection");
        bool last = wish && strncasecmp(wish, "close", 5) == 0;
        snprintf(head, sizeof head, "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n%s\r\n",
                 status, strlen(text), last ? "Connection: close\r\n" : "");
        bool sent = send_all(connection.fd, head, strlen(head), net_now() + 30) &&
                    send_all(connection.fd, text, strlen(text), net_now() + 30);
        free(answer);
        if (!sent || last) break;
    }
    free(message);
    close(connection.fd);
    return NULL;
}

static void start_thread(void *(*function)(void *), void *arg) {
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, STACK_BYTES);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_create(&thread, &attributes, function, arg);
    pthread_attr_destroy(&attributes);
}

static void *accept_main(void *arg) {
    struct connection listener = *(struct connection *)arg;
    free(arg);
    for (;;) {
        int fd = accept4(listener.fd, NULL, NULL, SOCK_CLOEXEC), on = 1;
        if (fd < 0) {
            if (errno == EINVAL) return NULL; /* shut down */
            net_sleep(0.01);
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        struct connection *connection = malloc(sizeof *connection);
        *connection = (struct connection){fd, listener.endpoint, listener.handler};
        start_thread(connection_main, connection);
    }
}

int net_serve(int port, int endpoint, net_handler handler) {
    struct sockaddr_in address = loopback(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, (struct sockaddr *)&address, sizeof address) != 0 || listen(fd, 128) != 0) {
        close(fd);
        return -1;
    }
    struct connection *listener = malloc(sizeof *listener);
    *listener = (struct connection){fd, endpoint, handler};
    start_thread(accept_main, listener);
    return fd;
}

int net_call(int port, const char *method, const char *path, const char *body, double timeout_s, char **answer) {
    double deadline = net_now() + timeout_s;
    struct sockaddr_in address = loopback(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), status = 0, on = 1;
    char head[768];
    if (answer) *answer = NULL;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    bool connected = connect(fd, (struct sockaddr *)&address, sizeof address) == 0;
    if (!connected && errno == EINPROGRESS && wait_for(fd, POLLOUT, deadline)) {
        int error = 0;
        socklen_t size = sizeof error;
        connected = getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    }
    snprintf(head, sizeof head,
             "%s %s HTTP/1.1\r\nHost: 127.0.0.1:%d\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n"
             "Connection: close\r\n\r\n",
             method, path, port, body ? strlen(body) : 0);
    struct message *message = malloc(sizeof *message);
    message->body = NULL;
    if (connected && send_all(fd, head, strlen(head), deadline) &&
        (!body || send_all(fd, body, strlen(body), deadline)) && receive(fd, message, deadline))
        sscanf(message->head, "HTTP/1.1 %d", &status);
    if (status && answer) {
        *answer = message->body;
    } else {
        free(message->body);
    }
    free(message);
    close(fd);
    return status;
}
