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
    request->arrived = clock_now();
    g_strlcpy(request->job_id, job_id, sizeof request->job_id);
    return request;
}

void request_free(struct api_request *request) {
    latency_record(request->arrived);
    free(request->spec_text);
    g_strfreev(request->prerequisites);
    g_free(request);
}

void request_refuse(struct api_request *request, enum refusal_reason reason) {
    respond_refused(request->http, reason);
    request_free(request);
}

enum request_need request_examine(struct api_request *request) {
    store_lock();
    const struct job *job = jobs_find(request->job_id);
    bool final = job && job->known && job->state != JOB_QUEUED, unreachable = store_unreachable();
    bool must_cancel = job && dependencies_must_cancel(job);
    if (final) respond_job(request->http, job);
    store_unlock();
    if (final) {
        request_free(request);
        return NEED_NOTHING;
    }
    if (unreachable) {
        /* At once: asking a store that is out of reach would only use up the time that the user waits. */
        request_refuse(request, REFUSAL_STORE_UNREACHABLE);
        return NEED_NOTHING;
    }
    return must_cancel ? NEED_CANCELLATION : NEED_CONFIRMATION;
}
