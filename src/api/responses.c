#include "responses.h"

#include <glib.h>
#include <stdio.h>

#include "../jobs/job_spec.h"
#include "../jobs/jobs.h"
#include "refusals.h"

#define BODY_SIZE 256

struct refusal_response {
    const char *name; /* in the log */
    enum http_status status;
    int retry_after_s;  /* 0: no Retry-After header */
    const char *format; /* printf format of the text; arguments: subject (char *), maximum record size (size_t) */
};

#define TEAM_FIELD JOB_SPEC_FIELD_TEAM
#define PREREQUISITES_FIELD JOB_SPEC_FIELD_PREREQUISITES

static const struct refusal_response refusal_responses[] = {
    [REFUSAL_NONE] = {"none", 0, 0, ""},
    [REFUSAL_PATH_UNKNOWN] = {"path-unknown", HTTP_NOT_FOUND, 0, "no such path"},
    [REFUSAL_METHOD_NOT_ALLOWED] = {"method-not-allowed", HTTP_METHOD_NOT_ALLOWED, 0, "method not allowed"},
    [REFUSAL_BODY_TOO_LARGE] = {"body-too-large", HTTP_BAD_REQUEST, 0, "body: above 64 KiB"},
    [REFUSAL_FIELD_INVALID] = {"field-invalid", HTTP_BAD_REQUEST, 0, "%s: missing or invalid"},
    [REFUSAL_RECORD_TOO_LARGE] = {"record-too-large", HTTP_BAD_REQUEST, 0,
                                  "%.40s: too long, a job's record may take %zu bytes"},
    [REFUSAL_JOB_UNKNOWN] = {"job-unknown", HTTP_NOT_FOUND, 0, "no such job"},
    [REFUSAL_TEAM_UNKNOWN] = {"team-unknown", HTTP_UNPROCESSABLE, 0, TEAM_FIELD ": unknown team"},
    [REFUSAL_FITS_NO_MACHINE_TYPE] = {"fits-no-machine-type", HTTP_UNPROCESSABLE, 0,
                                      "a task fits no allowed machine type"},
    [REFUSAL_ABOVE_TEAM_LIMIT] = {"above-team-limit", HTTP_UNPROCESSABLE, 0, "needs more than the team's limit"},
    [REFUSAL_PREREQUISITE_ITSELF] = {"prerequisite-itself", HTTP_UNPROCESSABLE, 0,
                                     PREREQUISITES_FIELD ": %s names itself"},
    [REFUSAL_PREREQUISITE_SERVICE] = {"prerequisite-service", HTTP_UNPROCESSABLE, 0,
                                      PREREQUISITES_FIELD ": %s is a service"},
    [REFUSAL_PREREQUISITE_UNKNOWN] = {"prerequisite-unknown", HTTP_UNPROCESSABLE, 0,
                                      PREREQUISITES_FIELD ": %s was never accepted"},
    [REFUSAL_PREREQUISITE_UNREADABLE] = {"prerequisite-unreadable", HTTP_SERVICE_UNAVAILABLE, 2,
                                         PREREQUISITES_FIELD ": the record of %s can't be read"},
    [REFUSAL_QUEUE_FULL] = {"queue-full", HTTP_TOO_MANY_REQUESTS, 2, "too many requests wait here"},
    [REFUSAL_WRITE_BUDGET] = {"write-budget", HTTP_TOO_MANY_REQUESTS, 1, "over the write budget"},
    [REFUSAL_STORE_UNREACHABLE] = {"store-unreachable", HTTP_SERVICE_UNAVAILABLE, 2,
                                   "the state service is out of reach"},
    [REFUSAL_STORE_NO_RESPONSE] = {"store-no-response", HTTP_SERVICE_UNAVAILABLE, 2,
                                   "the state service did not answer"},
    [REFUSAL_MACHINE_TYPES_UNKNOWN] = {"machine-types-unknown", HTTP_SERVICE_UNAVAILABLE, 1,
                                       "machine types are not known yet"},
    [REFUSAL_RECORD_UNCONFIRMED] = {"record-unconfirmed", HTTP_SERVICE_UNAVAILABLE, 1,
                                    "the state service did not answer"},
    [REFUSAL_POLL_EXPIRED] = {"poll-expired", HTTP_SERVICE_UNAVAILABLE, 1, "the answer took too long"},
    [REFUSAL_CANCELLATION_UNDECIDED] = {"cancellation-undecided", HTTP_SERVICE_UNAVAILABLE, 1, "not decided yet"},
    [REFUSAL_PREREQUISITE_CANCELLED] = {"prerequisite-cancelled", HTTP_SERVICE_UNAVAILABLE, 1,
                                        "a job that it needs is cancelled"},
};

struct refusal refusal_with_subject(enum refusal_reason reason, const char *subject) {
    struct refusal refusal = {.reason = reason};
    g_strlcpy(refusal.subject, subject, sizeof refusal.subject);
    return refusal;
}

struct refusal refusal_from_feasibility(enum job_feasibility feasibility) {
    static const enum refusal_reason reasons[] = {
        [JOB_FEASIBLE] = REFUSAL_NONE,
        [JOB_TEAM_UNKNOWN] = REFUSAL_TEAM_UNKNOWN,
        [JOB_FITS_NO_MACHINE_TYPE] = REFUSAL_FITS_NO_MACHINE_TYPE,
        [JOB_ABOVE_TEAM_LIMIT] = REFUSAL_ABOVE_TEAM_LIMIT,
    };
    return (struct refusal){.reason = reasons[feasibility]};
}

struct refusal refusal_from_prerequisites(struct prerequisites_check check) {
    static const enum refusal_reason reasons[] = {
        [PREREQUISITES_VALID] = REFUSAL_NONE,
        [PREREQUISITE_ITSELF] = REFUSAL_PREREQUISITE_ITSELF,
        [PREREQUISITE_SERVICE] = REFUSAL_PREREQUISITE_SERVICE,
        [PREREQUISITE_UNKNOWN] = REFUSAL_PREREQUISITE_UNKNOWN,
        [PREREQUISITE_UNREADABLE] = REFUSAL_PREREQUISITE_UNREADABLE,
        [PREREQUISITE_STORE_UNAVAILABLE] = REFUSAL_STORE_NO_RESPONSE,
    };
    return refusal_with_subject(reasons[check.result], check.job_id ? check.job_id : "");
}

const char *refusal_name(enum refusal_reason reason) { return refusal_responses[reason].name; }

enum http_status refusal_status(enum refusal_reason reason) { return refusal_responses[reason].status; }

void refusal_text(const struct refusal *refusal, char *text, size_t n) {
    snprintf(text, n, refusal_responses[refusal->reason].format, refusal->subject, jobs_record_bytes_max());
}

void respond_refusal(struct http_request *http, const struct refusal *refusal) {
    char text[REFUSAL_TEXT_SIZE], body[BODY_SIZE];
    size_t bytes_received;
    http_body(http, &bytes_received);
    refusals_record(refusal, bytes_received);
    refusal_text(refusal, text, sizeof text);
    snprintf(body, sizeof body, "{\"error\":\"%s\"}", text);
    http_reply(http, refusal_status(refusal->reason), body, refusal_responses[refusal->reason].retry_after_s);
}

void respond_refusal_reason(struct http_request *http, enum refusal_reason reason) {
    respond_refusal(http, &(struct refusal){.reason = reason});
}

static void respond_state(struct http_request *http, enum http_status status, const struct job *job, const char *state,
                          int done, int running) {
    char body[BODY_SIZE];
    snprintf(body, sizeof body, "{\"" JOB_SPEC_FIELD_ID "\":\"%s\",\"state\":\"%s\",\"done\":%d,\"running\":%d}",
             job->spec.job_id, state, done, running);
    http_reply(http, status, body, 0);
}

void respond_job(struct http_request *http, const struct job *job) {
    int running;
    if (dependencies_must_cancel(job)) {
        respond_refusal_reason(http, REFUSAL_PREREQUISITE_CANCELLED);
        return;
    }
    const char *state = jobs_state_name(job, &running);
    respond_state(http, HTTP_OK, job, state, job->n_done, running);
}

void respond_job_created(struct http_request *http, const struct job *job) {
    int running;
    respond_state(http, HTTP_CREATED, job, jobs_state_name(job, &running), 0, 0);
}
