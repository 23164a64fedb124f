#include "request.h"

#include <stddef.h>
#include <stdio.h>

#include "../http/client.h"
#include "../json/json.h"

enum { URL_BYTES = 512 };

static const struct settings *cfg;

void store_request_init(const struct settings *settings) { cfg = settings; }

static enum store_answer answer_of_status(long status) {
    static const struct {
        long status;
        enum store_answer answer;
    } answers[] = {
        {200, STORE_ANSWER_OK},          {400, STORE_ANSWER_MALFORMED}, {404, STORE_ANSWER_NOT_FOUND},
        {409, STORE_ANSWER_CONFLICT},    {410, STORE_ANSWER_COMPACTED}, {429, STORE_ANSWER_OVER_RATE},
        {503, STORE_ANSWER_UNAVAILABLE},
    };
    for (size_t i = 0; i < sizeof answers / sizeof *answers; i++)
        if (answers[i].status == status) return answers[i].answer;
    return STORE_ANSWER_UNEXPECTED;
}

enum store_answer store_request_send(struct http_client *client, const struct store_request *request, cJSON **body) {
    char url[URL_BYTES];
    long status = 0;
    *body = NULL;
    snprintf(url, sizeof url, "http://%s%s", cfg->state, request->path);
    switch (http_call(client, request->method, url, request->body, request->timeout_ms, &status, body)) {
        case HTTP_NOT_SENT:
            return STORE_ANSWER_NOT_SENT;
        case HTTP_UNKNOWN:
            return STORE_ANSWER_NO_ANSWER;
        default:
            break;
    }
    enum store_answer answer = answer_of_status(status);
    if (answer == STORE_ANSWER_OVER_RATE) store_budget_refused(request->rate);
    return answer;
}
