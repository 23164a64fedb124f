/* A user's request that concerns one job, from its arrival to its response.
 *
 * A request belongs to one thread at a time: to the HTTP server's thread until it is queued, then to the thread of the
 * queue. */
#ifndef FF_API_REQUEST_H
#define FF_API_REQUEST_H
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../http/server.h"
#include "../model/job.h"
#include "responses.h"

enum request_kind { REQUEST_SUBMIT, REQUEST_POLL, REQUEST_CANCEL };

/* A request and the state of its processing. */
struct api_request {
    enum request_kind kind;
    struct http_request *http;
    char job_id[JOB_ID_SIZE];
    struct timespec arrived_at;

    /* Set for submissions only. */
    char *spec_text;        /* canonical JSON text to be recorded, allocated by cJSON; NULL: refused */
    int team;               /* index in the settings; -1: unknown */
    char **prerequisites;   /* NULL-terminated list of job ids; NULL: none */
    struct refusal refusal; /* the response, unless a job with this id was already accepted */

    /* State of the latest transaction with this request. */
    int64_t compared_revision; /* expected mod revision of the job's record; 0: no record */
    bool was_known;            /* the job was known before the transaction was sent */
    bool repeated;             /* an earlier request of the batch concerns the same job */
    bool written;              /* the transaction writes the job's record, for this request or the earlier one */
};

/* Creates a request that has just arrived. The caller frees it after the response. */
struct api_request *request_new(enum request_kind kind, struct http_request *http, const char *job_id);
/* Frees a request after its response and records its response time. */
void request_free(struct api_request *request);
/* Responds with a refusal and frees the request. */
void request_refuse(struct api_request *request, enum refusal_reason reason);

/* What a poll or a cancellation still needs after its arrival. */
enum request_need {
    NEED_NOTHING,      /* the request has its response and is freed */
    NEED_CONFIRMATION, /* the store has to confirm the job's record */
    NEED_CANCELLATION, /* a prerequisite is cancelled, so the job has to be cancelled before the response */
};
/* Responds to a poll or a cancellation immediately if the mirror shows a final state, which never changes, or if the
 * store is unreachable. Returns what the request still needs. Called on the HTTP server's thread, without
 * store_lock. */
enum request_need request_try_answer(struct api_request *request);
#endif
