/* A user's request about one job, from its arrival to its answer.
 *
 * A request belongs to one thread at a time: the HTTP server's until it is queued, then the queue's. */
#ifndef FF_API_REQUEST_H
#define FF_API_REQUEST_H
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../http/server.h"
#include "../model/job.h"
#include "responses.h"

/* What the user wants. */
enum request_kind { REQUEST_SUBMIT, REQUEST_POLL, REQUEST_CANCEL };

/* One request, and what is known of it so far. */
struct api_request {
    enum request_kind kind;
    struct http_request *http;
    char job_id[JOB_ID_SIZE];
    struct timespec arrived;

    /* Of a submission. */
    char *spec_text; /* as it is to be recorded; allocated by cJSON */
    int team;        /* index in the settings; -1: not known */
    char **prerequisites;
    struct refusal refusal; /* the answer, unless the job turns out to be known */

    /* Of the latest transaction with this request. */
    int64_t compared_revision; /* of the job's record; 0: none */
    bool was_known;            /* the job, before the transaction was sent */
    bool repeated;             /* an earlier request of the batch is about the same job */
    bool written;              /* the transaction writes the job's record, for this request or the earlier one */
};

/* A request that has arrived now; the caller frees it once it is answered. */
struct api_request *request_new(enum request_kind kind, struct http_request *http, const char *job_id);
/* Frees an answered request, and counts how long the answer took. */
void request_free(struct api_request *request);
/* Answer a request and free it. */
void request_refuse(struct api_request *request, enum refusal_reason reason);

/* What a poll or a cancellation needs, by what the mirror says at its arrival. */
enum request_need {
    NEED_NOTHING,      /* it is answered and freed */
    NEED_CONFIRMATION, /* of the job's record, by the store */
    NEED_CANCELLATION, /* a prerequisite is cancelled, so the job's record is to be written first */
};
/* Answers at once what can be: a final state, which is true for good, and all else where the store is out of reach. On
 * the HTTP server's thread, without the lock. */
enum request_need request_examine(struct api_request *request);
#endif
