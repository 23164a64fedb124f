/* HTTP client with blocking calls. Each client is used by one thread only and keeps its connections open. */
#ifndef FF_HTTP_CLIENT_H
#define FF_HTTP_CLIENT_H
#include <cjson/cJSON.h>

struct http_client;

/* The outcome of a request.
 *
 * HTTP_ANSWERED: the response was received.
 * HTTP_NOT_SENT: no part of the request was sent, so the server will not process it.
 * HTTP_UNKNOWN: the request was sent, at least in part, and no response was received. The server may have processed it,
 * or may still process it. */
enum http_outcome { HTTP_ANSWERED, HTTP_NOT_SENT, HTTP_UNKNOWN };

/* Creates a client that has no connections yet. */
struct http_client *http_client_new(void);
/* Closes the connections and frees the client; NULL is ignored. */
void http_client_free(struct http_client *client);

/* Sends a request and waits at most timeout_ms for the response. A NULL body sends no body. On HTTP_ANSWERED, *status
 * is the HTTP status and *response is the parsed body, which the caller frees, or NULL if the body is not JSON.
 * Otherwise *status is 0 and *response is NULL. response may be NULL. */
enum http_outcome http_call(struct http_client *client, const char *method, const char *url, const char *body,
                            long timeout_ms, long *status, cJSON **response);
/* Like http_call, but on a new connection. If a reused connection closes before the response, libcurl sends the request
 * a second time, and the server may process the first copy much later. */
enum http_outcome http_call_once(struct http_client *client, const char *method, const char *url, const char *body,
                                 long timeout_ms, long *status, cJSON **response);
#endif
