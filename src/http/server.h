/* HTTP server with one epoll thread. A handler replies to a request immediately, or suspends it and replies later from
 * any thread. */
#ifndef FF_HTTP_SERVER_H
#define FF_HTTP_SERVER_H
#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stddef.h>

struct http_request;
struct http_server;

/* Called on the server's thread for each complete request. Either calls http_reply, or calls http_suspend and lets
 * another thread call http_reply. */
typedef void (*http_handler)(struct http_request *request, void *context);

/* Starts a server that listens on address, "HOST:PORT" with an IPv4 host, until the process ends. It has at most
 * max_connections connections at a time. Returns NULL if it cannot listen on the address. */
struct http_server *http_server_start(const char *address, unsigned max_connections, http_handler handler,
                                      void *context);

/* Return parts of the request. The strings belong to the request and are valid until the reply. *length is set to the
 * length of the body; length may be NULL. */
const char *http_method(const struct http_request *request);
const char *http_path(const struct http_request *request);
const char *http_body(const struct http_request *request, size_t *length);
/* Returns whether the body was longer than 64 KiB; http_body then returns only a part of it. */
bool http_body_too_large(const struct http_request *request);

/* Lets the server close the connection with the reply if connections are scarce. Called for requests of workers, which
 * may use nearly all connections. */
void http_close_when_connections_scarce(struct http_request *request);
/* Delays the reply until another thread calls http_reply. Called before the request is passed to that thread. */
void http_suspend(struct http_request *request);
/* Replies to the request, which must not be used afterwards. A NULL body is sent as an empty JSON object. If
 * retry_after_s is 0, the response has no Retry-After header. */
void http_reply(struct http_request *request, unsigned status, const char *body, int retry_after_s);
/* Like http_reply, with a JSON body, which is freed. */
void http_reply_json(struct http_request *request, unsigned status, cJSON *body, int retry_after_s);

/* Returns whether more than half of the allowed connections are in use. Pure. */
bool http_connections_scarce(unsigned connections, unsigned max_connections);
/* Returns whether a reply of this age is too old to be sent. Such a reply may no longer be true, because the process
 * was paused between http_reply and the sending. Pure. */
bool http_reply_expired(double reply_age_s);
#endif
