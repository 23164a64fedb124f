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

#define ATTEMPTS_MAX 4
#define ATTEMPTS_S 1.5  /* no new attempt after that */
#define OVER_RATE_S 0.5 /* for so long a write above the rate is tried again */
#define OVER_RATE_PAUSE_S 0.08
#define CONFIRMED_S 1.5 /* so long after the request for it a confirmation of the store may be passed on */

static const struct settings *settings;
static struct request_queue write_queue;

/* The latest transaction of a batch, and what came of it. */
struct attempt {
    struct store_txn txn;
    struct timespec sent;
    enum store_result result;
};

static bool store_is_unreachable(void) {
    store_lock();
    bool unreachable = store_unreachable();
    store_unlock();
    return unreachable;
}

/* ---- Writing ---- */

/* An earlier request of the batch about the same job; NULL: none. */
static const struct api_request *find_earlier(const GPtrArray *batch, guint index) {
    const struct api_request *request = batch->pdata[index];
    for (guint i = 0; i < index; i++) {
        const struct api_request *earlier = batch->pdata[i];
        if (strcmp(earlier->job_id, request->job_id) == 0) return earlier;
    }
    return NULL;
}

/* With store_lock held. A job that is known by now needs a comparison only, unless it is to be cancelled. */
static void add_request(const GPtrArray *batch, guint index, struct store_txn *txn) {
    struct api_request *request = batch->pdata[index];
    const struct api_request *earlier = find_earlier(batch, index);
    struct store_key key = store_key_job(request->job_id);
    const struct job *job = jobs_find(request->job_id);
    request->was_known = job && job->known;
    request->repeated = earlier != NULL;
    request->compared_revision = store_key_revision(key.text);
    store_txn_compare(txn, key.text, request->compared_revision);
    if (earlier) {
        request->written = earlier->written;
        return;
    }
    int writes_before = txn->writes;
    if (request->was_known) {
        cancel_add_record(request, txn, key.text, job);
    } else if (request->kind == REQUEST_SUBMIT) {
        submit_add_record(request, txn, key.text);
    }
    request->written = txn->writes > writes_before;
}

static void fill_transaction(const GPtrArray *batch, struct store_txn *txn) {
    store_lock();
    for (guint i = 0; i < batch->len; i++) add_request(batch, i, txn);
    store_unlock();
}

/* Brings the mirror up to what the store's response shows of the keys that the transaction names. */
static void apply_outcome(struct http_client *client, const GPtrArray *batch, const struct attempt *attempt,
                          const struct store_response *response) {
    if (attempt->result == STORE_OK) {
        store_lock();
        store_apply_committed(&attempt->txn, response->revision);
        store_unlock();
        if (attempt->txn.writes) peers_notify_store_change();
    } else if (attempt->result == STORE_CONFLICT) {
        for (guint i = 0; i < response->conflicts->len; i++) store_refresh(client, response->conflicts->pdata[i]);
    } else if (attempt->result == STORE_UNKNOWN) {
        /* The response is lost: the keys tell whether the transaction was applied. What may yet be applied late is a
         * submission or a cancellation that its user repeats. */
        for (guint i = 0; i < batch->len; i++) {
            const struct api_request *request = batch->pdata[i];
            if (request->written && !request->repeated) store_refresh(client, store_key_job(request->job_id).text);
        }
    }
}

/* Above the rate, while the store is in reach: the next scheduling round's writes go in a moment. If it were refused,
 * the user would be back a second later at the earliest. */
static bool is_only_over_rate(enum store_result result, struct timespec began) {
    if (result != STORE_REJECTED || clock_seconds_since(began) >= OVER_RATE_S) return false;
    return !store_is_unreachable();
}

/* Whether another attempt can't change the outcome, or comes too late. */
static bool is_settled(enum store_result result, struct timespec began) {
    return result == STORE_OK || result == STORE_REJECTED || result == STORE_INVALID ||
           clock_seconds_since(began) > ATTEMPTS_S;
}

static enum store_priority priority_of(const GPtrArray *batch) {
    for (guint i = 0; i < batch->len; i++)
        if (((const struct api_request *)batch->pdata[i])->kind == REQUEST_CANCEL) return STORE_PRIORITY_CANCEL;
    return STORE_PRIORITY_ACCEPT;
}

static void try_to_write(struct http_client *client, const GPtrArray *batch, enum store_priority priority,
                         struct attempt *attempt) {
    struct store_response response;
    store_txn_free(&attempt->txn);
    store_txn_init(&attempt->txn);
    fill_transaction(batch, &attempt->txn);
    attempt->sent = clock_now();
    attempt->result = store_commit(client, priority, &attempt->txn, &response);
    apply_outcome(client, batch, attempt, &response);
    store_response_clear(&response);
}

/* Writes the batch, in as many attempts as it takes, and leaves the last one in *attempt. */
static void write_batch(struct http_client *client, const GPtrArray *batch, struct attempt *attempt) {
    enum store_priority priority = priority_of(batch);
    struct timespec began = clock_now();
    for (int attempts = 0; attempts < ATTEMPTS_MAX;) {
        try_to_write(client, batch, priority, attempt);
        if (is_only_over_rate(attempt->result, began)) {
            clock_sleep(clock_from_seconds(OVER_RATE_PAUSE_S));
            continue;
        }
        if (is_settled(attempt->result, began)) return;
        attempts++;
    }
}

/* ---- Answering ---- */

static void respond_unwritten(const struct api_request *request, enum store_result result) {
    bool over_rate = result == STORE_REJECTED && !store_is_unreachable();
    if (over_rate && refusal_status(request->refusal.reason) != HTTP_SERVICE_UNAVAILABLE) {
        respond_refused(request->http, REFUSAL_WRITE_BUDGET);
    } else {
        respond_refused(request->http, REFUSAL_STORE_SILENT);
    }
}

static void respond_written(const struct api_request *request) {
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
    /* The process was paused since: another controller may have answered with a newer state. Final states stay true,
     * but are confirmed again as well. */
    if (result == STORE_OK && clock_seconds_since(attempt->sent) > CONFIRMED_S) result = STORE_UNKNOWN;
    for (guint i = 0; i < batch->len; i++) {
        struct api_request *request = batch->pdata[i];
        if (result == STORE_OK) {
            respond_written(request);
        } else {
            respond_unwritten(request, result);
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
        request_queue_take(&write_queue, batch, (guint)settings->txn_ops);
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
