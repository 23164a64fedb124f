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

#define BODY_MAX (64 * 1024)

struct http_server {
    struct MHD_Daemon *daemon;
    unsigned most;
    http_handler fn;
    void *ctx;
};

struct http_request {
    struct MHD_Connection *conn;
    char *method, *path;
    GString *body;
    bool too_large, dispatched, held, ready;
    struct http_server *server;
    bool short_lived; /* its connection is closed when connections grow scarce */
    unsigned status;
    char *answer;
    struct timespec decided; /* when the answer was */
    int retry_after_s;
};

const char *http_method(const struct http_request *r) { return r->method; }
const char *http_path(const struct http_request *r) { return r->path; }
bool http_body_too_large(const struct http_request *r) { return r->too_large; }
const char *http_body(const struct http_request *r, size_t *len) {
    if (len) *len = r->body->len;
    return r->body->str;
}

void http_suspend(struct http_request *r) {
    /* Suspended before it is queued anywhere, so that a fast answer can't be lost. */
    r->held = true;
    MHD_suspend_connection(r->conn);
}

void http_close_when_crowded(struct http_request *r) { r->short_lived = true; }

bool http_crowded(unsigned connections, unsigned most) { return connections * 2 > most; }

void http_reply(struct http_request *r, unsigned status, const char *body, int retry_after_s) {
    r->status = status;
    r->decided = clock_now();
    r->answer = g_strdup(body ? body : "{}");
    r->retry_after_s = retry_after_s;
    r->ready = true;
    if (r->held) MHD_resume_connection(r->conn);
}

void http_reply_json(struct http_request *r, unsigned status, cJSON *body, int retry_after_s) {
    char *text = cJSON_PrintUnformatted(body);
    http_reply(r, status, text, retry_after_s);
    free(text);
    cJSON_Delete(body);
}

#define ANSWER_FRESH_S 1.0

bool http_reply_expired(double age_s) { return age_s > ANSWER_FRESH_S; }

static void refuse_stale(struct http_request *r) {
    if (r->status >= 500 || !http_reply_expired(clock_seconds_since(r->decided))) return;
    g_free(r->answer);
    r->answer = g_strdup("{\"error\":\"the answer is too old by now\"}");
    r->status = MHD_HTTP_SERVICE_UNAVAILABLE;
    r->retry_after_s = 1;
}

static enum MHD_Result send_ready(struct http_request *r) {
    refuse_stale(r);
    struct MHD_Response *resp = MHD_create_response_from_buffer(strlen(r->answer), r->answer, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(resp, "Content-Type", "application/json");
    if (r->retry_after_s > 0) {
        char t[16];
        g_snprintf(t, sizeof t, "%d", r->retry_after_s);
        MHD_add_response_header(resp, "Retry-After", t);
    }
    /* Workers by the thousand must not shut out health checks and users, who come by the same address. */
    /* Asked of the connection: a first request may come before the server's start has returned its daemon. */
    const union MHD_ConnectionInfo *of = MHD_get_connection_info(r->conn, MHD_CONNECTION_INFO_DAEMON);
    const union MHD_DaemonInfo *now = of ? MHD_get_daemon_info(of->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS) : NULL;
    if (r->short_lived && now && http_crowded(now->num_connections, r->server->most))
        MHD_add_response_header(resp, "Connection", "close");
    enum MHD_Result rc = MHD_queue_response(r->conn, r->status, resp);
    MHD_destroy_response(resp);
    return rc;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn, const char *url, const char *method,
                                  const char *version, const char *data, size_t *size, void **state) {
    (void)version;
    struct http_server *s = cls;
    struct http_request *r = *state;
    if (!r) {
        r = g_new0(struct http_request, 1);
        r->conn = conn;
        r->server = s;
        r->method = g_strdup(method);
        r->path = g_strdup(url);
        r->body = g_string_sized_new(512);
        *state = r;
        return MHD_YES;
    }
    if (*size > 0) {
        if (r->body->len + *size > BODY_MAX)
            r->too_large = true;
        else
            g_string_append_len(r->body, data, (gssize)*size);
        *size = 0;
        return MHD_YES;
    }
    if (!r->dispatched) {
        r->dispatched = true;
        s->fn(r, s->ctx);
        if (r->held) return MHD_YES;
    }
    if (!r->ready) return MHD_YES;
    return send_ready(r);
}

static void on_done(void *cls, struct MHD_Connection *conn, void **state, enum MHD_RequestTerminationCode code) {
    (void)cls;
    (void)conn;
    (void)code;
    struct http_request *r = *state;
    if (!r) return;
    g_free(r->method);
    g_free(r->path);
    g_string_free(r->body, TRUE);
    g_free(r->answer);
    g_free(r);
    *state = NULL;
}

struct http_server *http_server_start(const char *address, unsigned max_connections, http_handler fn, void *ctx) {
    struct sockaddr_in sa = {.sin_family = AF_INET};
    char host[64];
    const char *colon = strrchr(address, ':');
    if (!colon || (size_t)(colon - address) >= sizeof host) return NULL;
    memcpy(host, address, (size_t)(colon - address));
    host[colon - address] = 0;
    int port = atoi(colon + 1);
    if (inet_pton(AF_INET, host, &sa.sin_addr) != 1 || port <= 0 || port > 65535) return NULL;
    sa.sin_port = htons((uint16_t)port);
    struct http_server *s = g_new0(struct http_server, 1);
    s->fn = fn;
    s->ctx = ctx;
    s->most = max_connections;
    /* One epoll thread with suspended connections: a thread a connection would not fit the memory. */
    s->daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, (uint16_t)port, NULL, NULL,
                                 on_request, s, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&sa,
                                 MHD_OPTION_NOTIFY_COMPLETED, on_done, NULL, MHD_OPTION_CONNECTION_LIMIT,
                                 max_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)8192,
                                 MHD_OPTION_CONNECTION_TIMEOUT, 90u, MHD_OPTION_THREAD_STACK_SIZE, (size_t)262144,
                                 MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
    if (!s->daemon) {
        g_free(s);
        return NULL;
    }
    return s;
}
