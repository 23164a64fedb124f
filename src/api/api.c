#include "api.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <string.h>

#include "../jobs/job_spec.h"
#include "batch.h"
#include "cancel.h"
#include "latency.h"
#include "poll.h"
#include "responses.h"
#include "submit.h"

#define PATH_JOBS "/work"
#define PATH_CANCEL "/cancel"

enum resource { RESOURCE_OTHER, RESOURCE_JOBS, RESOURCE_JOB, RESOURCE_CANCELLATION, RESOURCE_UNKNOWN };

/* Returns the resource of a path: PATH_JOBS, PATH_JOBS/ID or PATH_JOBS/ID/cancel. Copies the ID to job_id without
 * checking that it is valid. */
static enum resource parse_path(const char *path, char job_id[JOB_ID_SIZE]) {
    size_t prefix_length = strlen(PATH_JOBS "/");
    if (strcmp(path, PATH_JOBS) == 0) return RESOURCE_JOBS;
    if (strncmp(path, PATH_JOBS "/", prefix_length) != 0) return RESOURCE_OTHER;
    const char *id_start = path + prefix_length, *slash = strchr(id_start, '/');
    if (slash && strcmp(slash, PATH_CANCEL) != 0) return RESOURCE_UNKNOWN;
    if (strlen(id_start) >= JOB_ID_SIZE + strlen(PATH_CANCEL)) return RESOURCE_UNKNOWN;
    size_t id_length = slash ? (size_t)(slash - id_start) : strlen(id_start);
    g_strlcpy(job_id, id_start, MIN(JOB_ID_SIZE, id_length + 1));
    return slash ? RESOURCE_CANCELLATION : RESOURCE_JOB;
}

bool api_route(struct http_request *http) {
    char job_id[JOB_ID_SIZE];
    enum resource resource = parse_path(http_path(http), job_id);
    const char *allowed_method = resource == RESOURCE_JOB ? "GET" : "POST";
    if (resource == RESOURCE_OTHER) return false;
    if (resource == RESOURCE_UNKNOWN) {
        respond_refusal_reason(http, REFUSAL_PATH_UNKNOWN);
    } else if (strcmp(http_method(http), allowed_method) != 0) {
        respond_refusal_reason(http, REFUSAL_METHOD_NOT_ALLOWED);
    } else if (resource == RESOURCE_JOBS) {
        submit_receive(http);
    } else if (!job_id_valid(job_id)) {
        respond_refusal_reason(http, REFUSAL_JOB_UNKNOWN);
    } else if (resource == RESOURCE_CANCELLATION) {
        cancel_receive(http, job_id);
    } else {
        poll_receive(http, job_id);
    }
    return true;
}

void api_init(const struct settings *settings) {
    latency_init();
    submit_init(settings);
    batch_init(settings);
    poll_init(settings);
}

void api_start(void) {
    batch_start();
    poll_start();
}
