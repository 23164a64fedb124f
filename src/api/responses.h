/* Responses to users: all HTTP statuses, Retry-After headers and texts are defined here. Called from the HTTP server's
 * thread and the threads of the two queues. The HTTP request must not be used after a response. */
#ifndef FF_API_RESPONSES_H
#define FF_API_RESPONSES_H
#include <stddef.h>

#include "../dependencies/dependencies.h"
#include "../http/server.h"
#include "../http/status.h"
#include "../jobs/feasibility.h"
#include "../model/job.h"

/* The reason why a request is refused. */
enum refusal_reason {
    REFUSAL_NONE,
    /* The request is invalid. */
    REFUSAL_PATH_UNKNOWN,
    REFUSAL_METHOD_NOT_ALLOWED,
    REFUSAL_BODY_TOO_LARGE,
    REFUSAL_FIELD_INVALID,    /* subject: the field */
    REFUSAL_RECORD_TOO_LARGE, /* subject: the largest field */
    REFUSAL_JOB_UNKNOWN,
    /* The job could never run. */
    REFUSAL_TEAM_UNKNOWN,
    REFUSAL_FITS_NO_MACHINE_TYPE,
    REFUSAL_ABOVE_TEAM_LIMIT,
    /* A prerequisite is invalid or cannot be checked; subject: its job id. */
    REFUSAL_PREREQUISITE_ITSELF,
    REFUSAL_PREREQUISITE_SERVICE,
    REFUSAL_PREREQUISITE_UNKNOWN,
    REFUSAL_PREREQUISITE_UNREADABLE,
    /* Temporary reasons: the user should retry. */
    REFUSAL_QUEUE_FULL,
    REFUSAL_WRITE_BUDGET,
    REFUSAL_STORE_UNREACHABLE,
    REFUSAL_STORE_NO_RESPONSE,
    REFUSAL_MACHINE_TYPES_UNKNOWN,
    REFUSAL_RECORD_UNCONFIRMED,
    REFUSAL_POLL_EXPIRED,
    REFUSAL_CANCELLATION_UNDECIDED,
    REFUSAL_PREREQUISITE_CANCELLED,
    REFUSAL_REASONS /* number of reasons */
};

#define REFUSAL_SUBJECT_SIZE 64
#define REFUSAL_TEXT_SIZE 128

/* A refusal with the data for its text. */
struct refusal {
    enum refusal_reason reason;
    char subject[REFUSAL_SUBJECT_SIZE]; /* used only by the reasons with a subject above */
    size_t record_bytes;                /* size of the job's record in bytes; 0: it was not computed */
};

/* Returns a refusal whose text names the subject. */
struct refusal refusal_with_subject(enum refusal_reason reason, const char *subject);
/* Convert the result of a check to a refusal; the reason is REFUSAL_NONE if the check has passed. */
struct refusal refusal_from_feasibility(enum job_feasibility feasibility);
struct refusal refusal_from_prerequisites(struct prerequisites_check check);
/* Returns the HTTP status of a refusal. */
enum http_status refusal_status(enum refusal_reason reason);
/* Returns the name of a reason, for the log. */
const char *refusal_name(enum refusal_reason reason);
/* Writes the text for the user to a buffer of n bytes; REFUSAL_TEXT_SIZE is enough. */
void refusal_text(const struct refusal *refusal, char *text, size_t n);

/* Respond with a refusal. */
void respond_refusal(struct http_request *http, const struct refusal *refusal);
void respond_refusal_reason(struct http_request *http, enum refusal_reason reason);

/* The functions below are called with store_lock held. */

/* Responds with the state of a known job. Called only if the store has just confirmed its record or the state is final.
 * Refuses the request if the job has to be cancelled because of a prerequisite and its record does not say so yet. */
void respond_job(struct http_request *http, const struct job *job);
/* Responds to a submission that has just been accepted. */
void respond_job_created(struct http_request *http, const struct job *job);
#endif
