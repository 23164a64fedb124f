#include "batch.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <time.h>

#include "../clock/clock.h"
#include "../http/client.h"
#include "../jobs/jobs.h"
#include "../peers/peers.h"
#include "../store/keys.h"
#include "../store/store.h"
#include "../sync/sync.h"
#include "cancel.h"
#include "request_queue.h"
#include "submit.h"

#define ATTEMPTS_MAX 4 /* not counting retries by should_retry_for_rate */
#define RETRY_PERIOD_S 1.5
#define RATE_RETRY_PERIOD_S 0.5
#define RATE_RETRY_DELAY_S 0.08
#define CONFIRMATION_MAX_AGE_S 1.5 /* since the transaction was sent */

static const struct settings *settings;
static struct request_queue write_queue;

/* The latest transaction of a batch and its result. */
struct attempt {
    struct store_txn txn;
    struct timespec sent_at;
    enum store_result result;
};

static bool store_is_unreachable(void) {
    store_lock();
    bool unreachable = store_unreachable();
    store_unlock();
    return unreachable;
}

/* ---- Writing ---- */

/* Returns the first request of the batch before index that concerns the same job, or NULL. */
static const struct api_request *find_earlier(const GPtrArray *batch, guint index) {
    const struct api_request *request = batch->pdata[index];
    for (guint i = 0; i < index; i++) {
        const struct api_request *earlier = batch->pdata[i];
        if (strcmp(earlier->job_id, request->job_id) == 0) return earlier;
    }
    return NULL;
}

/* Adds a request's comparison and write to the transaction. A known job is only compared, unless the request cancels
 * it. Called with store_lock held. */
static void add_request(const GPtrArray *batch, guint index, struct store_txn *txn) {
    struct api_request *request = batch->pdata[index];
    const struct api_request *earlier = find_earlier(batch, index);
    struct store_key key = store_key_job(request->job_id);
    const struct job *job = jobs_find(request->job_id);
    request->was_known = job && job->recorded;
    request->repeated = earlier != NULL;
    request->compared_revision = store_key_revision(key.text);
    store_txn_compare(txn, key.text, request->compared_revision);
    if (earlier) {
        request->written = earlier->written;
        return;
    }
    int writes_before = txn->n_operations;
    if (request->was_known) {
        cancel_add_record(request, txn, key.text, job);
    } else if (request->kind == REQUEST_SUBMIT) {
        submit_add_record(request, txn, key.text);
    }
    request->written = txn->n_operations > writes_before;
}

static void fill_transaction(const GPtrArray *batch, struct store_txn *txn) {
    store_lock();
    for (guint i = 0; i < batch->len; i++) add_request(batch, i, txn);
    store_unlock();
}

/* Updates the keys of the transaction in the mirror according to its result. */
static void update_mirror(struct http_client *client, const GPtrArray *batch, const struct attempt *attempt,
                          const struct store_response *response) {
    if (attempt->result == STORE_OK) {
        store_lock();
        store_apply_committed(&attempt->txn, response->revision);
        store_unlock();
        if (attempt->txn.n_operations) peers_notify_store_change();
    } else if (attempt->result == STORE_CONFLICT) {
        for (guint i = 0; i < response->conflicts->len; i++) store_refresh(client, response->conflicts->pdata[i]);
    } else if (attempt->result == STORE_UNKNOWN) {
        /* The records show whether the transaction was carried out. If it is carried out only later, this does no harm:
         * it writes only submissions and cancellations that the users retry. */
        for (guint i = 0; i < batch->len; i++) {
            const struct api_request *request = batch->pdata[i];
            if (request->written && !request->repeated) store_refresh(client, store_key_job(request->job_id).text);
        }
    }
}

/* Returns whether to retry a transaction that was rejected although the store is reachable, presumably because of
 * the write rate. The write budget recovers soon after a scheduling round, and a refused user waits at least 1 s. */
static bool should_retry_for_rate(enum store_result result, struct timespec started_at) {
    if (result != STORE_REJECTED || clock_seconds_since(started_at) >= RATE_RETRY_PERIOD_S) return false;
    return !store_is_unreachable();
}

/* Returns whether to stop: another attempt would have the same result, or would be too late. */
static bool is_final(enum store_result result, struct timespec started_at) {
    return result == STORE_OK || result == STORE_REJECTED || result == STORE_INVALID ||
           clock_seconds_since(started_at) > RETRY_PERIOD_S;
}

static enum store_priority batch_priority(const GPtrArray *batch) {
    for (guint i = 0; i < batch->len; i++)
        if (((const struct api_request *)batch->pdata[i])->kind == REQUEST_CANCEL) return STORE_PRIORITY_CANCEL;
    return STORE_PRIORITY_ACCEPT;
}

static void send_transaction(struct http_client *client, const GPtrArray *batch, enum store_priority priority,
                             struct attempt *attempt) {
    struct store_response response;
    store_txn_free(&attempt->txn);
    store_txn_init(&attempt->txn);
    fill_transaction(batch, &attempt->txn);
    attempt->sent_at = clock_now();
    attempt->result = store_commit(client, priority, &attempt->txn, &response);
    update_mirror(client, batch, attempt, &response);
    store_response_clear(&response);
}

/* Sends the transaction of the batch, with retries, and stores the last attempt in *attempt. */
static void write_batch(struct http_client *client, const GPtrArray *batch, struct attempt *attempt) {
    enum store_priority priority = batch_priority(batch);
    struct timespec started_at = clock_now();
    for (int attempts = 0; attempts < ATTEMPTS_MAX;) {
        send_transaction(client, batch, priority, attempt);
        if (should_retry_for_rate(attempt->result, started_at)) {
            clock_sleep(clock_from_seconds(RATE_RETRY_DELAY_S));
            continue;
        }
        if (is_final(attempt->result, started_at)) return;
        attempts++;
    }
}

/* ---- Responding ---- */

static void respond_unconfirmed(const struct api_request *request, enum store_result result) {
    bool over_rate = result == STORE_REJECTED && !store_is_unreachable();
    if (over_rate && refusal_status(request->refusal.reason) != HTTP_SERVICE_UNAVAILABLE) {
        respond_refusal_reason(request->http, REFUSAL_WRITE_BUDGET);
    } else {
        respond_refusal_reason(request->http, REFUSAL_STORE_NO_RESPONSE);
    }
}

static void respond_confirmed(const struct api_request *request) {
    store_lock();
    struct job *job = jobs_find(request->job_id);
    switch (request->kind) {
        case REQUEST_SUBMIT:
            submit_respond(request, job);
            break;
        case REQUEST_CANCEL:
            cancel_respond(request, job);
            break;
        case REQUEST_POLL:
            respond_job(request->http, job);
            break;
    }
    store_unlock();
}

static void respond_to_batch(const GPtrArray *batch, const struct attempt *attempt) {
    enum store_result result = attempt->result;
    /* A confirmation is this old if the process was paused after it sent the transaction. Another controller may have
     * reported a newer state to the user since. The user has to retry even if the state is final and still true. */
    if (result == STORE_OK && clock_seconds_since(attempt->sent_at) > CONFIRMATION_MAX_AGE_S) result = STORE_UNKNOWN;
    for (guint i = 0; i < batch->len; i++) {
        struct api_request *request = batch->pdata[i];
        if (result == STORE_OK) {
            respond_confirmed(request);
        } else {
            respond_unconfirmed(request, result);
        }
        request_free(request);
    }
}

/* ---- The thread ---- */

static void *batch_main(void *arg) {
    (void)arg;
    struct http_client *client = http_client_new();
    GPtrArray *batch = g_ptr_array_new();
    for (;;) {
        struct attempt attempt = {.result = STORE_REJECTED};
        g_ptr_array_set_size(batch, 0);
        request_queue_take(&write_queue, batch, (guint)settings->txn_operations_max);
        store_txn_init(&attempt.txn);
        submit_check_prerequisites(client, batch);
        write_batch(client, batch, &attempt);
        respond_to_batch(batch, &attempt);
        store_txn_free(&attempt.txn);
    }
    return NULL;
}

void batch_enqueue(struct api_request *request) { request_queue_push(&write_queue, request); }

void batch_init(const struct settings *all_settings) {
    settings = all_settings;
    request_queue_init(&write_queue);
}

void batch_start(void) { sync_start_thread(batch_main, NULL); }
