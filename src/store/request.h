/* Sends one HTTP request to the store. Used by client.c and watch.c only.
 *
 * store_request_send blocks for up to the request's timeout, so it must not be called with store_lock held. */
#ifndef FF_STORE_REQUEST_H
#define FF_STORE_REQUEST_H
#include "../http/client.h"
#include "../json/json.h"
#include "../settings/settings.h"
#include "rate_budget.h"

#define STORE_PATH_BYTES 400 /* size of a request's path with its query, including the terminating null byte */

struct store_request {
    const char *method, *path;
    const char *body; /* NULL: no body */
    long timeout_ms;
    enum store_rate rate; /* reported to the rate budget if the store rejects the request as over the rate */
};

/* The store's answer to a request, by its HTTP status, or the reason why there is no answer.
 *
 * NOT_SENT, OVER_RATE, UNAVAILABLE: the request was definitely not carried out. MALFORMED: it was definitely not
 * carried out, and will not be if it is sent again. NO_ANSWER: it may have been carried out, or may still be.
 * COMPACTED: the store no longer holds the events that a watch requests. The meaning of OK, CONFLICT and NOT_FOUND
 * depends on the request. */
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

/* Called once, before any other function of this file. Keeps the pointer to the settings. */
void store_request_init(const struct settings *settings);
/* Sends the request. If the store rejects it as over the rate, the rate budget is informed. Sets *body to the answer's
 * body, which the caller frees, or to NULL if there is none. */
enum store_answer store_request_send(struct http_client *client, const struct store_request *request, cJSON **body);
#endif
