/* Answers to users: their HTTP status, Retry-After and text are chosen here and nowhere else. From the HTTP server's
 * thread and those of the two queues. A request that was answered must not be used afterwards. */
#ifndef FF_API_RESPONSES_H
#define FF_API_RESPONSES_H
#include <stddef.h>

#include "../dependencies/dependencies.h"
#include "../http/server.h"
#include "../http/status.h"
#include "../jobs/feasibility.h"
#include "../model/job.h"

/* Why a request is not carried out. */
enum refusal_reason {
    REFUSAL_NONE,
    /* The request is no valid one. */
    REFUSAL_PATH_UNKNOWN,
    REFUSAL_METHOD_NOT_ALLOWED,
    REFUSAL_BODY_TOO_LARGE,
    REFUSAL_FIELD_INVALID,    /* subject: the field */
    REFUSAL_RECORD_TOO_LARGE, /* subject: the field that takes most of it */
    REFUSAL_JOB_UNKNOWN,
    /* The job could never run. */
    REFUSAL_TEAM_UNKNOWN,
    REFUSAL_FITS_NO_MACHINE_TYPE,
    REFUSAL_ABOVE_TEAM_LIMIT,
    /* A prerequisite; subject: its job id, or the submitted job's own. */
    REFUSAL_PREREQUISITE_ITSELF,
    REFUSAL_PREREQUISITE_SERVICE,
    REFUSAL_PREREQUISITE_UNKNOWN,
    REFUSAL_PREREQUISITE_UNREADABLE,
    /* For the moment: the user is to ask again. */
    REFUSAL_QUEUE_FULL,
    REFUSAL_WRITE_BUDGET,
    REFUSAL_STORE_UNREACHABLE,
    REFUSAL_STORE_SILENT,
    REFUSAL_MACHINE_TYPES_UNKNOWN,
    REFUSAL_RECORD_UNCONFIRMED,
    REFUSAL_POLL_EXPIRED,
    REFUSAL_CANCELLATION_UNDECIDED,
    REFUSAL_PREREQUISITE_CANCELLED,
};

#define REFUSAL_SUBJECT_SIZE 64
#define REFUSAL_TEXT_SIZE 128

/* A refusal as a value. */
struct refusal {
    enum refusal_reason reason;
    char subject[REFUSAL_SUBJECT_SIZE]; /* shown only with the reasons that have one */
};

/* Refusals from what the packages below find. */
struct refusal refusal_about(enum refusal_reason reason, const char *subject);
struct refusal refusal_of_feasibility(enum job_feasibility feasibility);
struct refusal refusal_of_prerequisites(struct prerequisites_check check);
/* The HTTP status of a refusal. */
enum http_status refusal_status(enum refusal_reason reason);
/* The text that the user is given, in a buffer of REFUSAL_TEXT_SIZE. */
void refusal_text(const struct refusal *refusal, char *text, size_t n);

/* Answer with an error. */
void respond_refusal(struct http_request *http, const struct refusal *refusal);
void respond_refused(struct http_request *http, enum refusal_reason reason);

/* With store_lock held. */

/* Answers with the state of a job that is known. The caller has just seen its record confirmed, or the state is final.
 * A job that is to be cancelled with a prerequisite is refused until that is written. */
void respond_job(struct http_request *http, const struct job *job);
/* The same for a submission that has just been accepted. */
void respond_job_created(struct http_request *http, const struct job *job);
#endif
