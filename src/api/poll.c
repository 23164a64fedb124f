#include "poll.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "../clock/clock.h"
#include "../http/client.h"
#include "../jobs/jobs.h"
#include "../store/keys.h"
#include "../store/store.h"
#include "../sync/sync.h"
#include "batch.h"
#include "request.h"
#include "request_queue.h"

#define RESPONSE_TIMEOUT_S 2.0
#define BATCH_DELAY_S 0.08 /* wait for more polls if requests to the store are scarce */
/* The transaction of a batch has comparisons only, so it may have a multiple of the operations allowed for writes. */
#define COMPARISONS_PER_OPERATION 4

static const struct settings *settings;
static struct request_queue poll_queue;

/* Returns whether the mirror still has the record that the store reported as changed. Changed keys are read again after
 * the conflict; if that read fails, their records remain unconfirmed. */
static bool is_outdated(const struct api_request *request, const struct store_response *response, const char *key) {
    for (guint i = 0; response->conflicts && i < response->conflicts->len; i++) {
        if (strcmp(response->conflicts->pdata[i], key) == 0)
            return store_key_revision(key) == request->compared_revision;
    }
    return false;
}

static void respond(const struct api_request *request, enum store_result result,
                    const struct store_response *response) {
    if (result != STORE_OK && result != STORE_CONFLICT) {
        respond_refusal_reason(request->http, REFUSAL_STORE_UNREACHABLE);
        return;
    }
    if (clock_seconds_since(request->arrived_at) > RESPONSE_TIMEOUT_S) {
        /* This process was paused or is overloaded, so the confirmed state may be outdated. */
        respond_refusal_reason(request->http, REFUSAL_POLL_EXPIRED);
        return;
    }
    struct store_key key = store_key_job(request->job_id);
    store_lock();
    const struct job *job = jobs_find(request->job_id);
    if (is_outdated(request, response, key.text)) {
        respond_refusal_reason(request->http, REFUSAL_RECORD_UNCONFIRMED);
    } else if (job && job->recorded) {
        respond_job(request->http, job);
    } else {
        respond_refusal_reason(request->http, REFUSAL_JOB_UNKNOWN);
    }
    store_unlock();
}

static void add_comparisons(const GPtrArray *batch, struct store_txn *txn) {
    store_lock();
    for (guint i = 0; i < batch->len; i++) {
        struct api_request *request = batch->pdata[i];
        struct store_key key = store_key_job(request->job_id);
        request->compared_revision = store_key_revision(key.text);
        store_txn_compare(txn, key.text, request->compared_revision);
    }
    store_unlock();
}

/* Confirms the records of a whole batch by one transaction without writes, and responds to all requests. */
static void confirm_and_respond(struct http_client *client, const GPtrArray *batch) {
    struct store_txn txn;
    struct store_response response;
    store_txn_init(&txn);
    add_comparisons(batch, &txn);
    enum store_result result = store_commit(client, STORE_PRIORITY_ACCEPT, &txn, &response);
    if (result == STORE_CONFLICT)
        for (guint i = 0; i < response.conflicts->len; i++) store_refresh(client, response.conflicts->pdata[i]);
    for (guint i = 0; i < batch->len; i++) {
        respond(batch->pdata[i], result, &response);
        request_free(batch->pdata[i]);
    }
    store_response_clear(&response);
    store_txn_free(&txn);
}

static void take_batch(GPtrArray *batch) {
    guint max_requests = (guint)settings->txn_operations_max * COMPARISONS_PER_OPERATION;
    g_ptr_array_set_size(batch, 0);
    request_queue_take(&poll_queue, batch, max_requests);
    /* Hundreds of polls with one transaction each would use up the request budget that allocations need, too. */
    if (batch->len < (guint)settings->txn_operations_max && store_budget_requests_scarce()) {
        clock_sleep(clock_from_seconds(BATCH_DELAY_S));
        request_queue_take_available(&poll_queue, batch, max_requests);
    }
}

static void *poll_main(void *arg) {
    (void)arg;
    struct http_client *client = http_client_new();
    GPtrArray *batch = g_ptr_array_new();
    for (;;) {
        take_batch(batch);
        confirm_and_respond(client, batch);
    }
    return NULL;
}

void poll_receive(struct http_request *http, const char *job_id) {
    struct api_request *request = request_new(REQUEST_POLL, http, job_id);
    switch (request_try_answer(request)) {
        case NEED_NOTHING:
            break;
        case NEED_CONFIRMATION:
            request_queue_push(&poll_queue, request);
            break;
        case NEED_CANCELLATION:
            batch_enqueue(request);
            break;
    }
}

void poll_init(const struct settings *all_settings) {
    settings = all_settings;
    request_queue_init(&poll_queue);
}

void poll_start(void) { sync_start_thread(poll_main, NULL); }
