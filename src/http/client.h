/* HTTP client with blocking calls. One client belongs to one thread and keeps its connections. */
#ifndef FF_HTTP_CLIENT_H
#define FF_HTTP_CLIENT_H
#include <cjson/cJSON.h>

struct http_client;

/* HTTP_NOT_SENT: the server surely has nothing of the request. HTTP_UNKNOWN: it may have been, or may yet be, carried
 * out. */
enum http_outcome { HTTP_ANSWERED, HTTP_NOT_SENT, HTTP_UNKNOWN };

/* Without a connection yet. */
struct http_client *http_client_new(void);
void http_client_free(struct http_client *client);

/* Sends a request; body NULL: none. On HTTP_ANSWERED *status is set and *answer, unless answer is NULL, is the parsed
 * body, NULL where it is no JSON; the caller frees it. */
enum http_outcome http_call(struct http_client *client, const char *method, const char *url, const char *body,
                            long timeout_ms, long *status, cJSON **answer);
/* The same on a connection of its own: where a kept connection ends before the answer, the client sends the request
 * once more, and the first copy may be carried out much later. */
enum http_outcome http_call_once(struct http_client *client, const char *method, const char *url, const char *body,
                                 long timeout_ms, long *status, cJSON **answer);
#endif
