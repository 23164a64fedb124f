#include "request.h"

#include <stddef.h>
#include <stdio.h>

#include "../http/client.h"
#include "../http/status.h"
#include "../json/json.h"

enum { URL_BYTES = 512 };

static const struct settings *cfg;

void store_request_init(const struct settings *settings) { cfg = settings; }

static enum store_answer answer_from_status(long status) {
    static const struct {
        long status;
        enum store_answer answer;
    } answers[] = {
        {HTTP_OK, STORE_ANSWER_OK},
        {HTTP_BAD_REQUEST, STORE_ANSWER_MALFORMED},
        {HTTP_NOT_FOUND, STORE_ANSWER_NOT_FOUND},
        {HTTP_CONFLICT, STORE_ANSWER_CONFLICT},
        {HTTP_GONE, STORE_ANSWER_COMPACTED},
        {HTTP_TOO_MANY_REQUESTS, STORE_ANSWER_OVER_RATE},
        {HTTP_SERVICE_UNAVAILABLE, STORE_ANSWER_UNAVAILABLE},
    };
    for (size_t i = 0; i < sizeof answers / sizeof *answers; i++)
        if (answers[i].status == status) return answers[i].answer;
    return STORE_ANSWER_UNEXPECTED;
}

enum store_answer store_request_send(struct http_client *client, const struct store_request *request, cJSON **body) {
    char url[URL_BYTES];
    long status = 0;
    *body = NULL;
    snprintf(url, sizeof url, "http://%s%s", cfg->store_address, request->path);
    switch (http_call(client, request->method, url, request->body, request->timeout_ms, &status, body)) {
        case HTTP_NOT_SENT:
            return STORE_ANSWER_NOT_SENT;
        case HTTP_UNKNOWN:
            return STORE_ANSWER_NO_ANSWER;
        default:
            break;
    }
    enum store_answer answer = answer_from_status(status);
    if (answer == STORE_ANSWER_OVER_RATE) store_budget_record_rejection(request->rate);
    return answer;
}
