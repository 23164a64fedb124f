#include "client.h"

#include <curl/curl.h>
#include <glib.h>
#include <string.h>

struct http_client {
    CURL *curl;
    struct curl_slist *headers;
    GString *in;
};

static size_t on_data(char *p, size_t size, size_t n, void *ctx) {
    g_string_append_len(ctx, p, (gssize)(size * n));
    return size * n;
}

struct http_client *http_client_new(void) {
    static gsize once = 0;
    if (g_once_init_enter(&once)) {
        /* No TLS: its tables cost memory and start-up time that the machine doesn't have to spare. */
        curl_global_init(CURL_GLOBAL_NOTHING);
        g_once_init_leave(&once, 1);
    }
    struct http_client *c = g_new0(struct http_client, 1);
    c->curl = curl_easy_init();
    c->in = g_string_sized_new(1024);
    c->headers = curl_slist_append(NULL, "Content-Type: application/json");
    c->headers = curl_slist_append(c->headers, "Expect:");
    curl_easy_setopt(c->curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(c->curl, CURLOPT_HTTPHEADER, c->headers);
    curl_easy_setopt(c->curl, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(c->curl, CURLOPT_WRITEDATA, c->in);
    curl_easy_setopt(c->curl, CURLOPT_PROXY, "");
    curl_easy_setopt(c->curl, CURLOPT_MAXCONNECTS, 4L);
    curl_easy_setopt(c->curl, CURLOPT_BUFFERSIZE, 16384L);
    return c;
}

void http_client_free(struct http_client *c) {
    if (!c) return;
    curl_easy_cleanup(c->curl);
    curl_slist_free_all(c->headers);
    g_string_free(c->in, TRUE);
    g_free(c);
}

enum http_outcome http_call(struct http_client *c, const char *method, const char *url, const char *body,
                            long timeout_ms, long *status, cJSON **answer) {
    if (answer) *answer = NULL;
    *status = 0;
    g_string_truncate(c->in, 0);
    curl_easy_setopt(c->curl, CURLOPT_URL, url);
    curl_easy_setopt(c->curl, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(c->curl, CURLOPT_CONNECTTIMEOUT_MS, timeout_ms < 1500 ? timeout_ms : 1500L);
    if (body) {
        curl_easy_setopt(c->curl, CURLOPT_POST, 1L);
        curl_easy_setopt(c->curl, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
        curl_easy_setopt(c->curl, CURLOPT_POSTFIELDS, body);
    } else {
        curl_easy_setopt(c->curl, CURLOPT_HTTPGET, 1L);
    }
    curl_easy_setopt(c->curl, CURLOPT_CUSTOMREQUEST, method);
    CURLcode rc = curl_easy_perform(c->curl);
    if (rc != CURLE_OK) {
        /* A connection attempt that was given up never completes later: nothing was sent. Whether anything was is
         * told by the bytes; the times that curl keeps may read 0 on a kept connection where clocks tick coarsely, and
         * a request taken for unsent is a start that may be made twice. */
        long sent = 0;
        curl_easy_getinfo(c->curl, CURLINFO_REQUEST_SIZE, &sent);
        return sent <= 0 ? HTTP_NOT_SENT : HTTP_UNKNOWN;
    }
    curl_easy_getinfo(c->curl, CURLINFO_RESPONSE_CODE, status);
    if (answer) *answer = cJSON_ParseWithLength(c->in->str, c->in->len);
    return HTTP_ANSWERED;
}

enum http_outcome http_call_once(struct http_client *c, const char *method, const char *url, const char *body,
                                 long timeout_ms, long *status, cJSON **answer) {
    curl_easy_setopt(c->curl, CURLOPT_FRESH_CONNECT, 1L);
    enum http_outcome o = http_call(c, method, url, body, timeout_ms, status, answer);
    curl_easy_setopt(c->curl, CURLOPT_FRESH_CONNECT, 0L);
    return o;
}
