#include "client.h"

#include <curl/curl.h>
#include <glib.h>
#include <string.h>

#include "../json/reader.h"

#define CONNECT_TIMEOUT_MAX_MS 1500L
#define CACHED_CONNECTIONS_MAX 4L
#define RECEIVE_BUFFER_BYTES 16384L
#define INITIAL_RESPONSE_BYTES 1024
#define RESPONSE_MAX_BYTES ((size_t)32 * 1024 * 1024) /* a longer response would not fit a controller's memory */

struct http_client {
    CURL *curl;
    struct curl_slist *headers;
    GString *response_body; /* of the latest request */
};

/* Returns the number of bytes taken; fewer than given end the transfer with an error. */
static size_t append_data(char *data, size_t size, size_t n, void *context) {
    GString *response_body = context;
    if (response_body->len + size * n > RESPONSE_MAX_BYTES) return 0;
    g_string_append_len(response_body, data, (gssize)(size * n));
    return size * n;
}

struct http_client *http_client_new(void) {
    static gsize curl_initialized = 0;
    if (g_once_init_enter(&curl_initialized)) {
        /* TLS is not initialized: all requests are plain HTTP, and its tables would cost memory and startup time. */
        curl_global_init(CURL_GLOBAL_NOTHING);
        g_once_init_leave(&curl_initialized, 1);
    }
    struct http_client *client = g_new0(struct http_client, 1);
    client->curl = curl_easy_init();
    client->response_body = g_string_sized_new(INITIAL_RESPONSE_BYTES);
    client->headers = curl_slist_append(NULL, "Content-Type: application/json");
    client->headers = curl_slist_append(client->headers, "Expect:");
    curl_easy_setopt(client->curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(client->curl, CURLOPT_HTTPHEADER, client->headers);
    curl_easy_setopt(client->curl, CURLOPT_WRITEFUNCTION, append_data);
    curl_easy_setopt(client->curl, CURLOPT_WRITEDATA, client->response_body);
    curl_easy_setopt(client->curl, CURLOPT_PROXY, "");
    curl_easy_setopt(client->curl, CURLOPT_MAXCONNECTS, CACHED_CONNECTIONS_MAX);
    curl_easy_setopt(client->curl, CURLOPT_BUFFERSIZE, RECEIVE_BUFFER_BYTES);
    return client;
}

void http_client_free(struct http_client *client) {
    if (!client) return;
    curl_easy_cleanup(client->curl);
    curl_slist_free_all(client->headers);
    g_string_free(client->response_body, TRUE);
    g_free(client);
}

enum http_outcome http_call(struct http_client *client, const char *method, const char *url, const char *body,
                            long timeout_ms, long *status, cJSON **response) {
    if (response) *response = NULL;
    *status = 0;
    g_string_truncate(client->response_body, 0);
    curl_easy_setopt(client->curl, CURLOPT_URL, url);
    curl_easy_setopt(client->curl, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(client->curl, CURLOPT_CONNECTTIMEOUT_MS, MIN(timeout_ms, CONNECT_TIMEOUT_MAX_MS));
    if (body) {
        curl_easy_setopt(client->curl, CURLOPT_POST, 1L);
        curl_easy_setopt(client->curl, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
        curl_easy_setopt(client->curl, CURLOPT_POSTFIELDS, body);
    } else {
        curl_easy_setopt(client->curl, CURLOPT_HTTPGET, 1L);
    }
    curl_easy_setopt(client->curl, CURLOPT_CUSTOMREQUEST, method);
    CURLcode result = curl_easy_perform(client->curl);
    if (result != CURLE_OK) {
        /* The number of bytes sent shows whether the server may have received the request; an abandoned connection
         * attempt sends none later. libcurl's timings cannot be used: with a coarse clock they may be 0 on a reused
         * connection. A request that is wrongly reported as not sent may start a task twice. */
        long bytes_sent = 0;
        curl_easy_getinfo(client->curl, CURLINFO_REQUEST_SIZE, &bytes_sent);
        return bytes_sent <= 0 ? HTTP_NOT_SENT : HTTP_UNKNOWN;
    }
    curl_easy_getinfo(client->curl, CURLINFO_RESPONSE_CODE, status);
    if (response) *response = json_read(client->response_body->str, client->response_body->len);
    return HTTP_ANSWERED;
}

enum http_outcome http_call_once(struct http_client *client, const char *method, const char *url, const char *body,
                                 long timeout_ms, long *status, cJSON **response) {
    curl_easy_setopt(client->curl, CURLOPT_FRESH_CONNECT, 1L);
    enum http_outcome outcome = http_call(client, method, url, body, timeout_ms, status, response);
    curl_easy_setopt(client->curl, CURLOPT_FRESH_CONNECT, 0L);
    return outcome;
}
