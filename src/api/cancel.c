#include "cancel.h"

#include <stdbool.h>

#include "../dependencies/dependencies.h"
#include "../jobs/jobs.h"
#include "batch.h"

void cancel_receive(struct http_request *http, const char *job_id) {
    struct api_request *request = request_new(REQUEST_CANCEL, http, job_id);
    if (request_try_answer(request) != NEED_NOTHING) batch_enqueue(request);
}

void cancel_add_record(const struct api_request *request, struct store_txn *txn, const char *key,
                       const struct job *job) {
    bool must_cancel = request->kind == REQUEST_CANCEL || dependencies_must_cancel(job);
    if (must_cancel && job->state == JOB_QUEUED) store_txn_put(txn, key, jobs_final_value(job, JOB_CANCELLED), 0);
}

void cancel_respond(const struct api_request *request, struct job *job) {
    if (!job || !job->recorded) {
        respond_refusal_reason(request->http, REFUSAL_JOB_UNKNOWN);
    } else if (job->state == JOB_QUEUED) {
        respond_refusal_reason(request->http, REFUSAL_CANCELLATION_UNDECIDED);
    } else {
        job->cancel_acknowledged = job->state == JOB_CANCELLED;
        respond_job(request->http, job);
        dependencies_wake();
    }
}
