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

/* Very many connections are kept at once, so each is bounded. */
enum {
    BODY_MAX = 64 * 1024,
    INITIAL_BODY_BYTES = 512,
    CONNECTION_BYTES = 8192,
    CONNECTION_IDLE_MAX_S = 90,
    SERVER_STACK_BYTES = 256 * 1024
};
enum { HOST_BYTES = 64, PORT_MAX = 65535 };

struct http_server {
    struct MHD_Daemon *daemon;
    unsigned max_connections;
    http_handler handler;
    void *context;
};

struct http_request {
    struct MHD_Connection *connection;
    char *method, *path;
    GString *body;
    bool too_large, dispatched, suspended, answered;
    struct http_server *server;
    bool short_lived; /* its connection is closed when connections grow scarce */
    unsigned status;
    char *answer;
    struct timespec decided; /* when the answer was */
    int retry_after_s;
};

const char *http_method(const struct http_request *request) { return request->method; }
const char *http_path(const struct http_request *request) { return request->path; }
bool http_body_too_large(const struct http_request *request) { return request->too_large; }
const char *http_body(const struct http_request *request, size_t *length) {
    if (length) *length = request->body->len;
    return request->body->str;
}

void http_suspend(struct http_request *request) {
    /* Suspended before it is queued anywhere, so that a fast answer can't be lost. */
    request->suspended = true;
    MHD_suspend_connection(request->connection);
}

void http_close_when_crowded(struct http_request *request) { request->short_lived = true; }

bool http_crowded(unsigned connections, unsigned max_connections) { return connections * 2 > max_connections; }

void http_reply(struct http_request *request, unsigned status, const char *body, int retry_after_s) {
    request->status = status;
    request->decided = clock_now();
    request->answer = g_strdup(body ? body : "{}");
    request->retry_after_s = retry_after_s;
    request->answered = true;
    if (request->suspended) MHD_resume_connection(request->connection);
}

void http_reply_json(struct http_request *request, unsigned status, cJSON *body, int retry_after_s) {
    char *text = cJSON_PrintUnformatted(body);
    http_reply(request, status, text, retry_after_s);
    free(text);
    cJSON_Delete(body);
}

#define ANSWER_FRESH_S 1.0 /* an answer decided longer ago is not sent */

bool http_reply_expired(double age_s) { return age_s > ANSWER_FRESH_S; }

static void refuse_expired(struct http_request *request) {
    if (request->status >= MHD_HTTP_INTERNAL_SERVER_ERROR || !http_reply_expired(clock_seconds_since(request->decided)))
        return;
    g_free(request->answer);
    request->answer = g_strdup("{\"error\":\"the answer is too old by now\"}");
    request->status = MHD_HTTP_SERVICE_UNAVAILABLE;
    request->retry_after_s = 1;
}

static enum MHD_Result send_answer(struct http_request *request) {
    refuse_expired(request);
    struct MHD_Response *response =
        MHD_create_response_from_buffer(strlen(request->answer), request->answer, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", "application/json");
    if (request->retry_after_s > 0) {
        char seconds[16];
        g_snprintf(seconds, sizeof seconds, "%d", request->retry_after_s);
        MHD_add_response_header(response, "Retry-After", seconds);
    }
    /* Workers by the thousand must not shut out health checks and users, who come by the same address. The number is
     * asked of the connection: a first request may come before the server's start has returned its daemon. */
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(request->connection, MHD_CONNECTION_INFO_DAEMON);
    const union MHD_DaemonInfo *current =
        info ? MHD_get_daemon_info(info->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS) : NULL;
    if (request->short_lived && current && http_crowded(current->num_connections, request->server->max_connections))
        MHD_add_response_header(response, "Connection", "close");
    enum MHD_Result result = MHD_queue_response(request->connection, request->status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection, const char *url, const char *method,
                                  const char *version, const char *data, size_t *size, void **state) {
    (void)version;
    struct http_server *server = cls;
    struct http_request *request = *state;
    if (!request) {
        request = g_new0(struct http_request, 1);
        request->connection = connection;
        request->server = server;
        request->method = g_strdup(method);
        request->path = g_strdup(url);
        request->body = g_string_sized_new(INITIAL_BODY_BYTES);
        *state = request;
        return MHD_YES;
    }
    if (*size > 0) {
        if (request->body->len + *size > BODY_MAX) {
            request->too_large = true;
        } else {
            g_string_append_len(request->body, data, (gssize)*size);
        }
        *size = 0;
        return MHD_YES;
    }
    if (!request->dispatched) {
        request->dispatched = true;
        server->handler(request, server->context);
        if (request->suspended) return MHD_YES;
    }
    if (!request->answered) return MHD_YES;
    return send_answer(request);
}

static void on_done(void *cls, struct MHD_Connection *connection, void **state, enum MHD_RequestTerminationCode code) {
    (void)cls;
    (void)connection;
    (void)code;
    struct http_request *request = *state;
    if (!request) return;
    g_free(request->method);
    g_free(request->path);
    g_string_free(request->body, TRUE);
    g_free(request->answer);
    g_free(request);
    *state = NULL;
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
    /* One epoll thread with suspended connections: a thread a connection would not fit the memory. */
    server->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, (uint16_t)port, NULL, NULL, on_request, server,
        MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&listen_address, MHD_OPTION_NOTIFY_COMPLETED, on_done, NULL,
        MHD_OPTION_CONNECTION_LIMIT, max_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_BYTES,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)CONNECTION_IDLE_MAX_S, MHD_OPTION_THREAD_STACK_SIZE,
        (size_t)SERVER_STACK_BYTES, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
    if (!server->daemon) {
        g_free(server);
        return NULL;
    }
    return server;
}
