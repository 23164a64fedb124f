#include "submit.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "../clock/clock.h"
#include "../dependencies/dependencies.h"
#include "../jobs/feasibility.h"
#include "../jobs/job_spec.h"
#include "../jobs/jobs.h"
#include "../json/json.h"
#include "../json/reader.h"
#include "../machine_types/machine_types.h"
#include "../quota/quota.h"
#include "batch.h"

static const struct settings *settings;

void submit_init(const struct settings *all_settings) { settings = all_settings; }

static bool is_refused(const struct api_request *request) { return request->refusal.reason != REFUSAL_NONE; }

/* How a submission is handled on arrival. SUBMIT_ANSWERED: the response was sent. */
enum submit_decision { SUBMIT_ANSWERED, SUBMIT_STORE_UNREACHABLE, SUBMIT_MACHINE_TYPES_UNKNOWN, SUBMIT_QUEUED };

/* Decides how to handle a submission according to the mirror. Responds immediately if the job is in a final state,
 * which never changes. Marks the submission of a new job that could never run as refused. */
static enum submit_decision decide_on_arrival(struct api_request *request, const struct job_spec *spec) {
    enum submit_decision decision = SUBMIT_QUEUED;
    store_lock();
    const struct job *job = jobs_find(request->job_id);
    bool known = job && job->recorded, needs_check = !known && !is_refused(request);
    if (known && job->state != JOB_QUEUED) {
        respond_job(request->http, job);
        decision = SUBMIT_ANSWERED;
    } else if (store_unreachable()) {
        decision = SUBMIT_STORE_UNREACHABLE;
    } else if (needs_check && !machine_types_known()) {
        decision = SUBMIT_MACHINE_TYPES_UNKNOWN;
    } else if (needs_check) {
        request->refusal =
            refusal_from_feasibility(job_check_feasible(spec, settings, machine_types_all(), machine_types_count()));
    }
    store_unlock();
    return decision;
}

/* Returns the name of the known field with the longest value, or "body" if there are no fields. */
static const char *largest_field(const cJSON *submission) {
    const char *largest = "body";
    size_t max_length = 0;
    const cJSON *field;
    cJSON_ArrayForEach(field, submission) {
        char *text = cJSON_PrintUnformatted(field);
        size_t length = text ? strlen(text) : 0;
        free(text);
        if (length <= max_length) continue;
        max_length = length;
        largest = field->string;
    }
    return largest;
}

/* Sets the text to be recorded, and refuses the submission if its record would be too large. */
static void check_record_size(struct api_request *request, const cJSON *submission) {
    request->spec_text = job_spec_canonical_text(submission);
    size_t record_bytes = jobs_record_bytes(request->spec_text);
    if (record_bytes <= jobs_record_bytes_max()) return;
    request->refusal = refusal_with_subject(REFUSAL_RECORD_TOO_LARGE, largest_field(submission));
    request->refusal.record_bytes = record_bytes;
}

static void queue_submission(struct api_request *request, const cJSON *submission) {
    if (!is_refused(request)) check_record_size(request, submission);
    batch_enqueue(request);
}

static void receive_parsed(struct http_request *http, const cJSON *submission) {
    struct job_spec spec;
    const char *invalid_field = job_spec_read(submission, settings, &spec);
    const char *job_id = job_spec_read_id(submission);
    if (!job_id) {
        struct refusal refusal = refusal_with_subject(REFUSAL_FIELD_INVALID, invalid_field);
        respond_refusal(http, &refusal);
        return;
    }
    struct api_request *request = request_new(REQUEST_SUBMIT, http, job_id);
    if (invalid_field) request->refusal = refusal_with_subject(REFUSAL_FIELD_INVALID, invalid_field);
    request->team = invalid_field ? -1 : spec.team;
    request->prerequisites = g_steal_pointer(&spec.prerequisites);
    enum submit_decision decision = decide_on_arrival(request, &spec);
    job_spec_clear(&spec);
    switch (decision) {
        case SUBMIT_ANSWERED:
            request_free(request);
            break;
        case SUBMIT_STORE_UNREACHABLE:
            request_refuse(request, REFUSAL_STORE_UNREACHABLE);
            break;
        case SUBMIT_MACHINE_TYPES_UNKNOWN:
            request_refuse(request, REFUSAL_MACHINE_TYPES_UNKNOWN);
            break;
        case SUBMIT_QUEUED:
            queue_submission(request, submission);
            break;
    }
}

/* Returns the known fields of a submission, or NULL if the body is not JSON. What the service does not use must not
 * have any effect, so unknown fields are not even kept here. */
static cJSON *read_known_fields(const char *body, size_t length) {
    if (!g_utf8_validate_len(body, length, NULL)) return NULL;
    return json_read_members(body, length, job_spec_field_names());
}

void submit_receive(struct http_request *http) {
    if (http_body_too_large(http)) {
        respond_refusal_reason(http, REFUSAL_BODY_TOO_LARGE);
        return;
    }
    size_t length;
    const char *body = http_body(http, &length);
    cJSON *submission = read_known_fields(body, length);
    receive_parsed(http, submission);
    cJSON_Delete(submission);
}

void submit_check_prerequisites(struct http_client *client, const GPtrArray *batch) {
    for (guint i = 0; i < batch->len; i++) {
        struct api_request *request = batch->pdata[i];
        if (is_refused(request) || !request->prerequisites) continue;
        store_lock();
        const struct job *job = jobs_find(request->job_id);
        bool known = job && job->recorded;
        store_unlock();
        if (!known) {
            request->refusal = refusal_from_prerequisites(
                dependencies_check_prerequisites(client, request->job_id, request->prerequisites));
        }
    }
}

void submit_add_record(const struct api_request *request, struct store_txn *txn, const char *key) {
    if (is_refused(request)) return;
    enum job_state state = dependencies_any_cancelled(request->prerequisites) ? JOB_CANCELLED : JOB_QUEUED;
    int shard = request->team < 0 ? -1 : quota_shard_for_new_job(request->team, request->job_id);
    store_txn_put(txn, key, jobs_accepted_value(request->spec_text, state, clock_time_of_day(), shard), 0);
}

void submit_respond(const struct api_request *request, const struct job *job) {
    if (!job || !job->recorded) {
        respond_refusal(request->http, &request->refusal);
    } else if (request->written && !request->was_known) {
        respond_job_created(request->http, job);
    } else {
        respond_job(request->http, job);
    }
}
