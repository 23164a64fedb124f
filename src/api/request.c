#include "request.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>

#include "../clock/clock.h"
#include "../dependencies/dependencies.h"
#include "../jobs/jobs.h"
#include "../store/store.h"
#include "latency.h"

struct api_request *request_new(enum request_kind kind, struct http_request *http, const char *job_id) {
    struct api_request *request = g_new0(struct api_request, 1);
    request->kind = kind;
    request->http = http;
    request->arrived_at = clock_now();
    g_strlcpy(request->job_id, job_id, sizeof request->job_id);
    return request;
}

void request_free(struct api_request *request) {
    latency_record(request->arrived_at);
    free(request->spec_text);
    g_strfreev(request->prerequisites);
    g_free(request);
}

void request_refuse(struct api_request *request, enum refusal_reason reason) {
    respond_refusal_reason(request->http, reason);
    request_free(request);
}

enum request_need request_try_answer(struct api_request *request) {
    store_lock();
    const struct job *job = jobs_find(request->job_id);
    bool is_final = job && job->recorded && job->state != JOB_QUEUED, is_unreachable = store_unreachable();
    bool must_cancel = job && dependencies_must_cancel(job);
    if (is_final) respond_job(request->http, job);
    store_unlock();
    if (is_final) {
        request_free(request);
        return NEED_NOTHING;
    }
    if (is_unreachable) {
        /* A request to the unreachable store would only delay the response. */
        request_refuse(request, REFUSAL_STORE_UNREACHABLE);
        return NEED_NOTHING;
    }
    return must_cancel ? NEED_CANCELLATION : NEED_CONFIRMATION;
}
