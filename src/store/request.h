/* One HTTP request to the store. Used by client.c and watch.c only.
 *
 * Blocks for up to the time-out, so it is never called with store_lock held. */
#ifndef FF_STORE_REQUEST_H
#define FF_STORE_REQUEST_H
#include "../http/client.h"
#include "../json/json.h"
#include "../settings/settings.h"
#include "rate_budget.h"

#define STORE_PATH_BYTES 400 /* of a request's path with its query */

struct store_request {
    const char *method, *path;
    const char *body; /* NULL: none */
    long timeout_ms;
    enum store_rate rate; /* which of the store's rates it counts against first */
};

/* What the store answered, by the HTTP status, or that it did not.
 *
 * NOT_SENT, OVER_RATE, UNAVAILABLE: surely not carried out. MALFORMED: surely not carried out, nor would it be if sent
 * again. NO_ANSWER: it may have been carried out, or may be yet. What OK, CONFLICT, NOT_FOUND and COMPACTED mean
 * depends on the request; COMPACTED: the store no longer holds the events that a watch asks for. */
enum store_answer {
    STORE_ANSWER_OK,
    STORE_ANSWER_CONFLICT,
    STORE_ANSWER_NOT_FOUND,
    STORE_ANSWER_COMPACTED,
    STORE_ANSWER_MALFORMED,
    STORE_ANSWER_OVER_RATE,
    STORE_ANSWER_UNAVAILABLE,
    STORE_ANSWER_NOT_SENT,
    STORE_ANSWER_NO_ANSWER,
    STORE_ANSWER_UNEXPECTED
};

/* Before any other function, once. The settings are kept. */
void store_request_init(const struct settings *settings);
/* Sends the request and tells the rate budget of a refusal. *body is the answer's body, for the caller to free; NULL
 * where there is none. */
enum store_answer store_request_send(struct http_client *client, const struct store_request *request, cJSON **body);
#endif
