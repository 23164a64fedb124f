#include "server.h"

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../clock/clock.h"
#include "connections.h"
#include "status.h"

/* Limits for each connection, because thousands are open at a time. */
enum {
    BODY_MAX_BYTES = 64 * 1024,
    INITIAL_BODY_BYTES = 512,
    CONNECTION_MEMORY_BYTES = 8192,
    CONNECTION_IDLE_TIMEOUT_S = 90,
    SERVER_THREAD_STACK_BYTES = 256 * 1024
};
/* Limit on the bodies of all requests of a server together, those that have not arrived in full included. */
enum { BODIES_MAX_BYTES = 16 * 1024 * 1024 };
enum { HOST_BYTES = 64, PORT_MAX = 65535 };

struct http_server {
    struct MHD_Daemon *daemon;
    unsigned max_connections;
    struct http_connections *connections;
    size_t bodies_bytes; /* of all requests; used by the server's thread only */
    http_handler handler;
    void *context;
};

struct http_request {
    struct MHD_Connection *connection;
    char *method, *path;
    GString *body;
    bool body_too_large, dispatched, suspended, replied;
    bool bodies_too_large; /* a part of the body was dropped because of BODIES_MAX_BYTES */
    struct http_server *server;
    bool close_if_scarce; /* the connection is closed with the reply if connections are scarce */
    unsigned status;
    char *response_body;
    struct timespec replied_at; /* when http_reply was called */
    int retry_after_s;
};

const char *http_method(const struct http_request *request) { return request->method; }
const char *http_path(const struct http_request *request) { return request->path; }
bool http_body_too_large(const struct http_request *request) { return request->body_too_large; }
const char *http_body(const struct http_request *request, size_t *length) {
    if (length) *length = request->body->len;
    return request->body->str;
}

void http_suspend(struct http_request *request) {
    /* Called before any other thread can reply, because the reply resumes the connection. */
    request->suspended = true;
    MHD_suspend_connection(request->connection);
}

void http_close_when_connections_scarce(struct http_request *request) { request->close_if_scarce = true; }

bool http_connections_scarce(unsigned connections, unsigned max_connections) {
    return connections * 2 > max_connections;
}

void http_reply(struct http_request *request, unsigned status, const char *body, int retry_after_s) {
    request->status = status;
    request->replied_at = clock_now();
    request->response_body = g_strdup(body ? body : "{}");
    request->retry_after_s = retry_after_s;
    request->replied = true;
    if (request->suspended) MHD_resume_connection(request->connection);
}

void http_reply_json(struct http_request *request, unsigned status, cJSON *body, int retry_after_s) {
    char *text = cJSON_PrintUnformatted(body);
    http_reply(request, status, text, retry_after_s);
    free(text);
    cJSON_Delete(body);
}

#define REPLY_MAX_AGE_S 1.0

bool http_reply_expired(double reply_age_s) { return reply_age_s > REPLY_MAX_AGE_S; }

static void replace_expired_reply(struct http_request *request) {
    if (request->status >= MHD_HTTP_INTERNAL_SERVER_ERROR ||
        !http_reply_expired(clock_seconds_since(request->replied_at)))
        return;
    g_free(request->response_body);
    request->response_body = g_strdup("{\"error\":\"the answer is too old by now\"}");
    request->status = MHD_HTTP_SERVICE_UNAVAILABLE;
    request->retry_after_s = 1;
}

static enum MHD_Result send_response(struct http_request *request) {
    replace_expired_reply(request);
    struct MHD_Response *response =
        MHD_create_response_from_buffer(strlen(request->response_body), request->response_body, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", "application/json");
    if (request->retry_after_s > 0) {
        char seconds[16];
        g_snprintf(seconds, sizeof seconds, "%d", request->retry_after_s);
        MHD_add_response_header(response, "Retry-After", seconds);
    }
    /* Thousands of workers use the same address as users and health checks and must not take all connections. The
     * daemon is read from the connection, because server->daemon may not be set yet when the first request arrives. */
    const union MHD_ConnectionInfo *connection_info =
        MHD_get_connection_info(request->connection, MHD_CONNECTION_INFO_DAEMON);
    const union MHD_DaemonInfo *daemon_info =
        connection_info ? MHD_get_daemon_info(connection_info->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS) : NULL;
    if (request->close_if_scarce && daemon_info &&
        http_connections_scarce(daemon_info->num_connections, request->server->max_connections))
        MHD_add_response_header(response, "Connection", "close");
    enum MHD_Result result = MHD_queue_response(request->connection, request->status, response);
    MHD_destroy_response(response);
    return result;
}

static struct http_connection *find_connection(struct MHD_Connection *connection) {
    return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context;
}

static void append_body(struct http_request *request, const char *data, size_t size) {
    struct http_server *server = request->server;
    if (request->body->len + size > BODY_MAX_BYTES) {
        request->body_too_large = true;
    } else if (server->bodies_bytes + size > BODIES_MAX_BYTES) {
        request->bodies_too_large = true;
    } else {
        g_string_append_len(request->body, data, (gssize)size);
        server->bodies_bytes += size;
    }
}

/* Passes a complete request to the handler. */
static void dispatch(struct http_request *request) {
    request->dispatched = true;
    http_connections_begin_request(request->server->connections, find_connection(request->connection));
    if (request->bodies_too_large) {
        http_reply(request, HTTP_SERVICE_UNAVAILABLE, NULL, 1);
    } else {
        request->server->handler(request, request->server->context);
    }
}

static enum MHD_Result on_request(void *callback_context, struct MHD_Connection *connection, const char *url,
                                  const char *method, const char *version, const char *data, size_t *size,
                                  void **stored_request) {
    (void)version;
    struct http_server *server = callback_context;
    struct http_request *request = *stored_request;
    if (!request) {
        request = g_new0(struct http_request, 1);
        request->connection = connection;
        request->server = server;
        request->method = g_strdup(method);
        request->path = g_strdup(url);
        request->body = g_string_sized_new(INITIAL_BODY_BYTES);
        *stored_request = request;
        return MHD_YES;
    }
    if (*size > 0) {
        append_body(request, data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (!request->dispatched) {
        dispatch(request);
        if (request->suspended) return MHD_YES;
    }
    if (!request->replied) return MHD_YES;
    return send_response(request);
}

static void on_request_completed(void *callback_context, struct MHD_Connection *connection, void **stored_request,
                                 enum MHD_RequestTerminationCode code) {
    struct http_server *server = callback_context;
    (void)code;
    struct http_request *request = *stored_request;
    if (!request) return;
    http_connections_end_request(server->connections, find_connection(connection));
    server->bodies_bytes -= request->body->len;
    g_free(request->method);
    g_free(request->path);
    g_string_free(request->body, TRUE);
    g_free(request->response_body);
    g_free(request);
    *stored_request = NULL;
}

static void on_connection(void *callback_context, struct MHD_Connection *connection, void **stored_connection,
                          enum MHD_ConnectionNotificationCode code) {
    struct http_server *server = callback_context;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        const union MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        *stored_connection = http_connections_add(server->connections, info->connect_fd);
    } else {
        http_connections_remove(server->connections, *stored_connection);
        *stored_connection = NULL;
    }
}

struct http_server *http_server_start(const char *address, unsigned max_connections, http_handler handler,
                                      void *context) {
    struct sockaddr_in listen_address = {.sin_family = AF_INET};
    char host[HOST_BYTES];
    const char *colon = strrchr(address, ':');
    if (!colon || (size_t)(colon - address) >= sizeof host) return NULL;
    memcpy(host, address, (size_t)(colon - address));
    host[colon - address] = 0;
    int port = atoi(colon + 1);
    if (inet_pton(AF_INET, host, &listen_address.sin_addr) != 1 || port <= 0 || port > PORT_MAX) return NULL;
    listen_address.sin_port = htons((uint16_t)port);
    struct http_server *server = g_new0(struct http_server, 1);
    server->handler = handler;
    server->context = context;
    server->max_connections = max_connections;
    server->connections = http_connections_new(max_connections);
    /* One epoll thread serves all connections; one thread per connection would need too much memory. */
    server->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, (uint16_t)port, NULL, NULL, on_request, server,
        MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&listen_address, MHD_OPTION_NOTIFY_COMPLETED, on_request_completed,
        server, MHD_OPTION_NOTIFY_CONNECTION, on_connection, server, MHD_OPTION_CONNECTION_LIMIT, max_connections,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_TIMEOUT,
        (unsigned)CONNECTION_IDLE_TIMEOUT_S, MHD_OPTION_THREAD_STACK_SIZE, (size_t)SERVER_THREAD_STACK_BYTES,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
    if (!server->daemon) {
        http_connections_free(server->connections);
        g_free(server);
        return NULL;
    }
    http_connections_start(server->connections);
    return server;
}
