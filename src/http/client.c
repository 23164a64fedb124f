#include "client.h"

#include <curl/curl.h>
#include <glib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MAX_MS 1500L
#define KEPT_CONNECTIONS_MAX 4L
#define RECEIVE_BUFFER_BYTES 16384L
#define INITIAL_ANSWER_BYTES 1024

struct http_client {
    CURL *curl;
    struct curl_slist *headers;
    GString *answer; /* the body of the last one */
};

static size_t append_data(char *data, size_t size, size_t n, void *context) {
    g_string_append_len(context, data, (gssize)(size * n));
    return size * n;
}

struct http_client *http_client_new(void) {
    static gsize once = 0;
    if (g_once_init_enter(&once)) {
        /* No TLS: its tables cost memory and start-up time that the machine doesn't have to spare. */
        curl_global_init(CURL_GLOBAL_NOTHING);
        g_once_init_leave(&once, 1);
    }
    struct http_client *client = g_new0(struct http_client, 1);
    client->curl = curl_easy_init();
    client->answer = g_string_sized_new(INITIAL_ANSWER_BYTES);
    client->headers = curl_slist_append(NULL, "Content-Type: application/json");
    client->headers = curl_slist_append(client->headers, "Expect:");
    curl_easy_setopt(client->curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(client->curl, CURLOPT_HTTPHEADER, client->headers);
    curl_easy_setopt(client->curl, CURLOPT_WRITEFUNCTION, append_data);
    curl_easy_setopt(client->curl, CURLOPT_WRITEDATA, client->answer);
    curl_easy_setopt(client->curl, CURLOPT_PROXY, "");
    curl_easy_setopt(client->curl, CURLOPT_MAXCONNECTS, KEPT_CONNECTIONS_MAX);
    curl_easy_setopt(client->curl, CURLOPT_BUFFERSIZE, RECEIVE_BUFFER_BYTES);
    return client;
}

void http_client_free(struct http_client *client) {
    if (!client) return;
    curl_easy_cleanup(client->curl);
    curl_slist_free_all(client->headers);
    g_string_free(client->answer, TRUE);
    g_free(client);
}

enum http_outcome http_call(struct http_client *client, const char *method, const char *url, const char *body,
                            long timeout_ms, long *status, cJSON **answer) {
    if (answer) *answer = NULL;
    *status = 0;
    g_string_truncate(client->answer, 0);
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
        /* A connection attempt that was given up never completes later: nothing was sent. Whether anything was is
         * told by the bytes; the times that curl keeps may read 0 on a kept connection where clocks tick coarsely, and
         * a request taken for unsent is a start that may be made twice. */
        long sent = 0;
        curl_easy_getinfo(client->curl, CURLINFO_REQUEST_SIZE, &sent);
        return sent <= 0 ? HTTP_NOT_SENT : HTTP_UNKNOWN;
    }
    curl_easy_getinfo(client->curl, CURLINFO_RESPONSE_CODE, status);
    if (answer) *answer = cJSON_ParseWithLength(client->answer->str, client->answer->len);
    return HTTP_ANSWERED;
}

enum http_outcome http_call_once(struct http_client *client, const char *method, const char *url, const char *body,
                                 long timeout_ms, long *status, cJSON **answer) {
    curl_easy_setopt(client->curl, CURLOPT_FRESH_CONNECT, 1L);
    enum http_outcome outcome = http_call(client, method, url, body, timeout_ms, status, answer);
    curl_easy_setopt(client->curl, CURLOPT_FRESH_CONNECT, 0L);
    return outcome;
}
