/* Checks the prerequisites of a submission in the mirror. A prerequisite that is not in the mirror is read from the
 * store. */
#include <stdbool.h>
#include <string.h>

#include "../jobs/jobs.h"
#include "../store/keys.h"
#include "../store/store.h"
#include "dependencies.h"

/* Checks a prerequisite in the mirror only. */
static enum prerequisites_result check_in_mirror(const char *job_id, const struct store_key *key) {
    enum prerequisites_result result = PREREQUISITES_VALID;
    store_lock();
    const struct job *job = jobs_find(job_id);
    if (!job || !job->recorded) {
        result = store_key_revision(key->text) ? PREREQUISITE_UNREADABLE : PREREQUISITE_UNKNOWN;
    } else if (job->spec.kind == JOB_SERVICE) {
        result = PREREQUISITE_SERVICE;
    }
    store_unlock();
    return result;
}

/* Checks a prerequisite in the mirror, and again after a read of the store if the mirror does not have it. */
static enum prerequisites_result check_prerequisite(struct http_client *client, const char *job_id) {
    struct store_key key = store_key_job(job_id);
    enum prerequisites_result result = check_in_mirror(job_id, &key);
    if (result != PREREQUISITE_UNKNOWN) return result;
    if (!store_refresh(client, key.text)) return PREREQUISITE_STORE_UNAVAILABLE;
    return check_in_mirror(job_id, &key);
}

struct prerequisites_check dependencies_check_prerequisites(struct http_client *client, const char *job_id,
                                                            char *const *prerequisites) {
    for (; prerequisites && *prerequisites; prerequisites++) {
        enum prerequisites_result result = PREREQUISITE_ITSELF;
        if (strcmp(*prerequisites, job_id) != 0) result = check_prerequisite(client, *prerequisites);
        if (result != PREREQUISITES_VALID) return (struct prerequisites_check){result, *prerequisites};
    }
    return (struct prerequisites_check){PREREQUISITES_VALID, NULL};
}
