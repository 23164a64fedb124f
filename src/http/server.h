/* HTTP server: one epoll thread; a handler answers at once, or suspends the request and answers later from any thread.
 */
#ifndef FF_HTTP_SERVER_H
#define FF_HTTP_SERVER_H
#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stddef.h>

struct http_request;
struct http_server;

/* Called on the server's thread for each complete request. Answers with http_reply, or calls http_suspend and leaves
 * that to another thread. */
typedef void (*http_handler)(struct http_request *request, void *context);

/* Listens on "address:port" (IPv4) until the process ends; NULL where it can't. */
struct http_server *http_server_start(const char *address, unsigned max_connections, http_handler handler,
                                      void *context);

/* What the request says; the texts belong to it and live until it is answered. */
const char *http_method(const struct http_request *request);
const char *http_path(const struct http_request *request);
const char *http_body(const struct http_request *request, size_t *length);
/* The body was longer than 64 KiB; what http_body gives is cut short. */
bool http_body_too_large(const struct http_request *request);

/* One of very many clients: its connection is closed with the answer once connections grow scarce. */
void http_close_when_crowded(struct http_request *request);
/* The answer comes later. Called before the request is handed to another thread. */
void http_suspend(struct http_request *request);
/* Answers; the request must not be used afterwards. A NULL body is an empty object; retry_after_s 0: no such header. */
void http_reply(struct http_request *request, unsigned status, const char *body, int retry_after_s);
/* The same with a JSON body, which it takes over. */
void http_reply_json(struct http_request *request, unsigned status, cJSON *body, int retry_after_s);

/* Pure: half of the connections allowed are in use. */
bool http_crowded(unsigned connections, unsigned max_connections);
/* Pure: an answer decided so long ago is not sent any more: the process was paused in between, and what was true then
 * may have changed. */
bool http_reply_expired(double age_s);
#endif
