#include "api.h"

#include <glib.h>
#include <gsl/gsl_histogram.h>
#include <math.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../clock/clock.h"
#include "../dependencies/dependencies.h"
#include "../http/client.h"
#include "../http/server.h"
#include "../json/json.h"
#include "../machine_types/machine_types.h"
#include "../membership/membership.h"
#include "../peers/peers.h"
#include "../quota/quota.h"
#include "../sync/sync.h"

static const struct settings *cfg;

enum request_kind { REQUEST_SUBMIT, REQUEST_POLL, REQUEST_CANCEL };
struct api_request {
    enum request_kind kind;
    struct http_request *req;
    char job_id[64];
    char *spec_text;
    int team;
    char **prerequisites;
    unsigned refusal; /* 400, 422 or 503, unless the job is known; 0: none */
    char why[128];
    bool was_known; /* before the transaction that decides */
    struct timespec came;
};

/* Two queues with a thread each, so that a burst of submissions does not hold up polls. */
struct request_queue {
    pthread_mutex_t lock;
    pthread_cond_t cond;
    GQueue *q;
};
static struct request_queue queues[2];
#define REQUESTS_MAX 400
#define POLL_S 2.0 /* users wait no longer for the answer to a poll */

static pthread_mutex_t latency_lock = PTHREAD_MUTEX_INITIALIZER;
static gsl_histogram *latency; /* of log10 of milliseconds, from 0.1 ms to 100 s */

static void note_latency(struct timespec came) {
    double ms = MAX(clock_seconds_since(came) * 1000, 0.11);
    pthread_mutex_lock(&latency_lock);
    gsl_histogram_increment(latency, MIN(log10(ms), 4.99));
    pthread_mutex_unlock(&latency_lock);
}

static double quantile(double q) {
    double want = q * gsl_histogram_sum(latency), seen = 0, lo, hi;
    for (size_t i = 0; i < gsl_histogram_bins(latency); i++) {
        seen += gsl_histogram_get(latency, i);
        gsl_histogram_get_range(latency, i, &lo, &hi);
        if (seen >= want) return pow(10, hi);
    }
    return 0;
}

void api_latency(int *answers, double *median_ms, double *p95_ms) {
    pthread_mutex_lock(&latency_lock);
    *answers = (int)gsl_histogram_sum(latency);
    *median_ms = *answers ? quantile(0.5) : 0;
    *p95_ms = *answers ? quantile(0.95) : 0;
    gsl_histogram_reset(latency);
    pthread_mutex_unlock(&latency_lock);
}

static void request_free(struct api_request *a) {
    note_latency(a->came);
    free(a->spec_text);
    g_strfreev(a->prerequisites);
    g_free(a);
}

static void reply_job(struct http_request *r, unsigned status, const char *job_id, const char *state, int done,
                      int running) {
    char body[200];
    snprintf(body, sizeof body, "{\"uid\":\"%s\",\"state\":\"%s\",\"done\":%d,\"running\":%d}", job_id, state, done,
             running);
    http_reply(r, status, body, 0);
}

static void refuse(struct http_request *r, unsigned status, const char *why, int after) {
    char body[256];
    snprintf(body, sizeof body, "{\"error\":\"%s\"}", why);
    http_reply(r, status, body, after);
}

/* Answers from the record, which the caller has just seen confirmed. Of a job that is to be cancelled with one that it
 * needs nothing is told until that is written. */
static void answer_known(struct api_request *a, const struct job *j) {
    int running;
    if (dependencies_must_cancel(j)) {
        refuse(a->req, 503, "a job that it needs is cancelled", 1);
        return;
    }
    const char *s = jobs_state_name(j, &running);
    reply_job(a->req, 200, a->job_id, s, j->n_done, running);
}

static void push(int lane, struct api_request *a) {
    struct request_queue *l = &queues[lane];
    pthread_mutex_lock(&l->lock);
    bool full = l->q->length >= REQUESTS_MAX;
    if (!full) {
        http_suspend(a->req);
        g_queue_push_tail(l->q, a);
        pthread_cond_signal(&l->cond);
    }
    pthread_mutex_unlock(&l->lock);
    if (full) {
        refuse(a->req, 429, "too many requests wait here", 2);
        request_free(a);
    }
}

/* 400 if the job's record would be larger than the service takes some day; names the field that takes most of it. */
static unsigned check_size(const cJSON *spec, const char *spec_text, char *why, size_t n) {
    if (jobs_record_bytes(spec_text) <= jobs_record_bytes_max()) return 0;
    const cJSON *x;
    const char *largest = "body";
    size_t most = 0;
    cJSON_ArrayForEach(x, spec) {
        char *text = cJSON_PrintUnformatted(x);
        size_t length = text ? strlen(text) : 0;
        free(text);
        if (length <= most) continue;
        most = length;
        largest = x->string;
    }
    snprintf(why, n, "%.40s: too long, a job's record may take %zu bytes", largest, jobs_record_bytes_max());
    return 400;
}

static void on_submit(struct http_request *r) {
    size_t len;
    const char *body = http_body(r, &len);
    struct job_spec spec;
    char field[64] = "body", why[128] = "";
    if (http_body_too_large(r)) {
        refuse(r, 400, "body: above 64 KiB", 0);
        return;
    }
    unsigned refusal = (unsigned)job_spec_parse(body, len, cfg, &spec, field, sizeof field);
    cJSON *o = cJSON_ParseWithLength(body, len);
    const char *job_id = json_get_string(o, "uid");
    if (refusal) snprintf(why, sizeof why, "%s: missing or invalid", field);
    if (refusal && !job_id_valid(job_id)) {
        refuse(r, refusal, why, 0);
        cJSON_Delete(o);
        return;
    }
    /* An accepted job is known whatever its repetition looks like: a refusal waits until the store has shown that the
     * id is nobody's. */
    struct api_request *a = g_new0(struct api_request, 1);
    a->kind = REQUEST_SUBMIT;
    a->req = r;
    a->came = clock_now();
    a->refusal = refusal;
    g_strlcpy(a->job_id, job_id, sizeof a->job_id);
    store_lock();
    struct job *j = jobs_find(a->job_id);
    bool terminal = j && j->known && j->state != JOB_QUEUED, known = j && j->known;
    bool away = store_unreachable(), ready = !away && (known || refusal || machine_types_known());
    if (terminal) answer_known(a, j);
    if (!known && ready && !refusal)
        a->refusal =
            (unsigned)job_spec_check_feasible(&spec, cfg, machine_types_all(), machine_types_count(), why, sizeof why);
    store_unlock();
    a->team = refusal ? -1 : spec.team;
    a->prerequisites = spec.prerequisites;
    spec.prerequisites = NULL;
    job_spec_clear(&spec);
    if (terminal) {
        request_free(a);
    } else if (!ready) {
        refuse(r, 503, away ? "the state service is out of reach" : "machine types are not known yet", away ? 2 : 1);
        request_free(a);
    } else {
        a->spec_text = cJSON_PrintUnformatted(o);
        if (!a->refusal) a->refusal = check_size(o, a->spec_text, why, sizeof why);
        g_strlcpy(a->why, why, sizeof a->why);
        push(0, a);
    }
    cJSON_Delete(o);
}

bool api_route(struct http_request *r) {
    const char *p = http_path(r), *m = http_method(r);
    if (strcmp(p, "/work") == 0) {
        if (strcmp(m, "POST") == 0)
            on_submit(r);
        else
            refuse(r, 405, "method not allowed", 0);
        return true;
    }
    if (strncmp(p, "/work/", 6) != 0) return false;
    char job_id[64];
    const char *slash = strchr(p + 6, '/');
    bool cancel = slash && strcmp(slash, "/cancel") == 0;
    if ((slash && !cancel) || strlen(p + 6) >= sizeof job_id + 7) {
        refuse(r, 404, "no such path", 0);
        return true;
    }
    g_strlcpy(job_id, p + 6, slash ? MIN(sizeof job_id, (size_t)(slash - p - 6) + 1) : sizeof job_id);
    if (strcmp(m, cancel ? "POST" : "GET") != 0) {
        refuse(r, 405, "method not allowed", 0);
        return true;
    }
    if (!job_id_valid(job_id)) {
        refuse(r, 404, "no such job", 0);
        return true;
    }
    struct api_request *a = g_new0(struct api_request, 1);
    a->kind = cancel ? REQUEST_CANCEL : REQUEST_POLL;
    a->req = r;
    a->came = clock_now();
    g_strlcpy(a->job_id, job_id, sizeof a->job_id);
    store_lock();
    struct job *j = jobs_find(job_id);
    bool terminal = j && j->known && j->state != JOB_QUEUED, ready = !store_unreachable();
    bool to_write = cancel || (j && dependencies_must_cancel(j));
    if (terminal) answer_known(a, j);
    store_unlock();
    if (terminal) {
        request_free(a);
    } else if (!ready) {
        /* At once: asking a store that is out of reach would only use up the time that the user waits. */
        refuse(r, 503, "the state service is out of reach", 2);
        request_free(a);
    } else {
        push(to_write ? 0 : 1, a);
    }
    return true;
}

#define POLL_GATHER_S 0.08

/* Adds what has come meanwhile. */
static void gather_more(struct request_queue *l, GPtrArray *batch, guint most) {
    pthread_mutex_lock(&l->lock);
    while (batch->len < most && l->q->length) g_ptr_array_add(batch, g_queue_pop_head(l->q));
    pthread_mutex_unlock(&l->lock);
}

static void gather(struct request_queue *l, GPtrArray *batch, guint most) {
    pthread_mutex_lock(&l->lock);
    while (l->q->length == 0) sync_cond_wait(&l->cond, &l->lock, clock_from_seconds(10));
    pthread_mutex_unlock(&l->lock);
    gather_more(l, batch, most);
}

/* After a conflict the failed keys were read again, at a revision after the question came. A read that failed leaves
 * the older record: then it is not known, so not told. */
static bool not_read_again(const struct store_txn *t, const struct store_response *answer, const char *key) {
    for (guint f = 0; answer->conflicts && f < answer->conflicts->len; f++) {
        if (strcmp(answer->conflicts->pdata[f], key) != 0) continue;
        const cJSON *x;
        int64_t was = -1;
        cJSON_ArrayForEach(x, t->comparisons) if (!strcmp(json_get_string(x, "path"), key))
            json_get_int64(x, "stamp", &was);
        return store_key_revision(key) == was;
    }
    return false;
}

static void poll_answer(struct api_request *a, enum store_result rc, const struct store_txn *t,
                        const struct store_response *answer) {
    if (rc != STORE_OK && rc != STORE_CONFLICT) {
        refuse(a->req, 503, "the state service is out of reach", 2);
        return;
    }
    if (clock_seconds_since(a->came) > POLL_S) {
        /* We stood still or are far behind: what was confirmed may be old by now. */
        refuse(a->req, 503, "the answer took too long", 1);
        return;
    }
    struct store_key key = store_key_job(a->job_id);
    store_lock();
    const struct job *j = jobs_find(a->job_id);
    if (not_read_again(t, answer, key.text))
        refuse(a->req, 503, "the state service did not answer", 1);
    else if (j && j->known)
        answer_known(a, j);
    else
        refuse(a->req, 404, "no such job", 0);
    store_unlock();
}

static void poll_fill(const GPtrArray *batch, struct store_txn *t) {
    store_lock();
    for (guint i = 0; i < batch->len; i++) {
        const struct api_request *a = batch->pdata[i];
        struct store_key key = store_key_job(a->job_id);
        store_txn_compare(t, key.text, store_key_revision(key.text));
    }
    store_unlock();
}

/* Polls: one compare-only transaction answers for a whole batch. */
static void *poll_main(void *arg) {
    (void)arg;
    struct http_client *c = http_client_new();
    GPtrArray *batch = g_ptr_array_new();
    guint most = (guint)cfg->txn_ops * 4;
    for (;;) {
        g_ptr_array_set_size(batch, 0);
        gather(&queues[1], batch, most);
        /* The batch widens where requests are scarce: polls by the hundred, a request each, left none for allocations.
         */
        if (batch->len < (guint)cfg->txn_ops && store_budget_requests_scarce()) {
            clock_sleep(clock_from_seconds(POLL_GATHER_S));
            gather_more(&queues[1], batch, most);
        }
        struct store_txn t;
        struct store_response answer;
        store_txn_init(&t);
        poll_fill(batch, &t);
        enum store_result rc = store_commit(c, STORE_PRIORITY_ACCEPT, &t, &answer);
        if (rc == STORE_CONFLICT)
            for (guint i = 0; i < answer.conflicts->len; i++) store_refresh(c, answer.conflicts->pdata[i]);
        for (guint i = 0; i < batch->len; i++) {
            poll_answer(batch->pdata[i], rc, &t, &answer);
            request_free(batch->pdata[i]);
        }
        store_response_clear(&answer);
        store_txn_free(&t);
    }
    return NULL;
}

static int shard_of_new(const struct api_request *a) {
    return a->team < 0 ? -1 : quota_shard_of_new(a->team, a->job_id);
}

/* Fills the transaction for one round of submissions and cancels; a job known by now needs a compare only. */
static void accept_fill(GPtrArray *batch, struct store_txn *t) {
    for (guint i = 0; i < batch->len; i++) {
        struct api_request *a = batch->pdata[i];
        struct store_key key = store_key_job(a->job_id);
        struct job *j = jobs_find(a->job_id);
        bool twice = false;
        for (guint k = 0; k < i; k++) twice |= strcmp(((struct api_request *)batch->pdata[k])->job_id, a->job_id) == 0;
        store_txn_compare(t, key.text, store_key_revision(key.text));
        a->was_known = j && j->known;
        if (twice) continue;
        if (a->kind == REQUEST_SUBMIT && !(j && j->known) && !a->refusal) {
            enum job_state state = dependencies_any_cancelled(a->prerequisites) ? JOB_CANCELLED : JOB_QUEUED;
            store_txn_put(t, key.text, jobs_value(a->spec_text, state, clock_time_of_day(), shard_of_new(a)), 0);
        } else if (j && j->known && j->state == JOB_QUEUED &&
                   (a->kind == REQUEST_CANCEL || dependencies_must_cancel(j))) {
            store_txn_put(t, key.text, jobs_final_value(j, JOB_CANCELLED), 0);
        }
    }
}

#define CONFIRMED_S 1.5 /* for so long after the request for it was sent an answer of the store may be told */

static void accept_answer(GPtrArray *batch, enum store_result rc, struct store_txn *t, struct timespec asked) {
    /* We stood still since: another node may have told of a newer state. Final ones stay true, but are as well asked
     * for again. */
    if (rc == STORE_OK && clock_seconds_since(asked) > CONFIRMED_S) rc = STORE_UNKNOWN;
    for (guint i = 0; i < batch->len; i++) {
        struct api_request *a = batch->pdata[i];
        struct store_key key = store_key_job(a->job_id);
        if (rc != STORE_OK) {
            store_lock();
            bool away = store_unreachable();
            store_unlock();
            if (rc == STORE_REJECTED && !away && a->refusal != 503)
                refuse(a->req, 429, "over the write budget", 1);
            else
                refuse(a->req, 503, "the state service did not answer", 2);
            request_free(a);
            continue;
        }
        bool wrote = false;
        int running;
        const cJSON *x;
        cJSON_ArrayForEach(x, t->operations) wrote |= strcmp(json_get_string(x, "set"), key.text) == 0;
        store_lock();
        struct job *j = jobs_find(a->job_id);
        if (a->kind == REQUEST_SUBMIT) {
            if (j && j->known && (!wrote || a->was_known))
                answer_known(a, j);
            else if (j && j->known)
                reply_job(a->req, 201, a->job_id, jobs_state_name(j, &running), 0, 0);
            else
                refuse(a->req, a->refusal, a->why, a->refusal == 503 ? 2 : 0);
        } else if (a->kind == REQUEST_POLL) {
            answer_known(a, j);
        } else if (j && j->known) {
            if (j->state == JOB_QUEUED) {
                refuse(a->req, 503, "not decided yet", 1);
            } else {
                j->cancel_acknowledged = j->state == JOB_CANCELLED;
                answer_known(a, j);
                dependencies_wake();
            }
        } else {
            refuse(a->req, 404, "no such job", 0);
        }
        store_unlock();
        request_free(a);
    }
}

/* Asks the store about names that are not known here, before anything is decided. */
static void check_prerequisites(struct http_client *c, GPtrArray *batch) {
    for (guint i = 0; i < batch->len; i++) {
        struct api_request *a = batch->pdata[i];
        if (a->refusal || !a->prerequisites) continue;
        store_lock();
        const struct job *j = jobs_find(a->job_id);
        bool known = j && j->known;
        store_unlock();
        if (!known) a->refusal = dependencies_check(c, a->job_id, a->prerequisites, a->why, sizeof a->why);
    }
}

#define ATTEMPTS_MAX 4
#define ATTEMPTS_S 1.5  /* no new attempt after that */
#define OVER_RATE_S 0.5 /* for so long a write over the rate is tried again */
#define OVER_RATE_PAUSE_S 0.08

static bool any_cancels(const GPtrArray *batch) {
    for (guint i = 0; i < batch->len; i++)
        if (((const struct api_request *)batch->pdata[i])->kind == REQUEST_CANCEL) return true;
    return false;
}

/* Brings the mirror up to what an attempt's answer shows of the keys that it names. */
static void learn_outcome(struct http_client *c, enum store_result rc, const struct store_txn *t,
                          const struct store_response *answer) {
    if (rc == STORE_OK) {
        store_lock();
        store_apply_committed(t, answer->revision);
        store_unlock();
        if (t->writes) peers_hint();
    } else if (rc == STORE_CONFLICT) {
        for (guint i = 0; i < answer->conflicts->len; i++) store_refresh(c, answer->conflicts->pdata[i]);
    } else if (rc == STORE_UNKNOWN) {
        /* The answer is lost: the keys tell whether it was applied. What may yet be applied late is a submission that
         * its user repeats, or a cancel that its user repeats. */
        const cJSON *x;
        cJSON_ArrayForEach(x, t->operations) store_refresh(c, json_get_string(x, "set"));
    }
}

/* Over the rate, not out of reach: the next round's writes go in a moment. Sent away, the user would be back a second
 * later at the earliest. */
static bool only_over_rate(enum store_result rc, struct timespec began) {
    if (rc != STORE_REJECTED || clock_seconds_since(began) >= OVER_RATE_S) return false;
    store_lock();
    bool away = store_unreachable();
    store_unlock();
    return !away;
}

/* Writes the batch's submissions and cancels, and leaves in t what was asked last, and in asked when. */
static enum store_result accept_write(struct http_client *c, GPtrArray *batch, struct store_txn *t,
                                      struct timespec *asked) {
    enum store_priority cls = any_cancels(batch) ? STORE_PRIORITY_CANCEL : STORE_PRIORITY_ACCEPT;
    enum store_result rc = STORE_REJECTED;
    struct timespec began = *asked = clock_now();
    for (int attempt = 0; attempt < ATTEMPTS_MAX;) {
        struct store_response answer;
        store_txn_free(t);
        store_txn_init(t);
        store_lock();
        accept_fill(batch, t);
        store_unlock();
        *asked = clock_now();
        rc = store_commit(c, cls, t, &answer);
        learn_outcome(c, rc, t, &answer);
        store_response_clear(&answer);
        if (only_over_rate(rc, began)) {
            clock_sleep(clock_from_seconds(OVER_RATE_PAUSE_S));
            continue;
        }
        if (rc == STORE_OK || rc == STORE_REJECTED || rc == STORE_INVALID || clock_seconds_since(began) > ATTEMPTS_S)
            break;
        attempt++;
    }
    return rc;
}

static void *accept_main(void *arg) {
    (void)arg;
    struct http_client *c = http_client_new();
    GPtrArray *batch = g_ptr_array_new();
    for (;;) {
        struct store_txn t;
        struct timespec asked;
        g_ptr_array_set_size(batch, 0);
        gather(&queues[0], batch, (guint)cfg->txn_ops);
        store_txn_init(&t);
        check_prerequisites(c, batch);
        enum store_result rc = accept_write(c, batch, &t, &asked);
        accept_answer(batch, rc, &t, asked);
        store_txn_free(&t);
    }
    return NULL;
}

void api_init(const struct settings *s) { cfg = s; }

void api_start(void) {
    latency = gsl_histogram_alloc(60);
    gsl_histogram_set_ranges_uniform(latency, -1, 5);
    for (int i = 0; i < 2; i++) {
        pthread_mutex_init(&queues[i].lock, NULL);
        sync_cond_init(&queues[i].cond);
        queues[i].q = g_queue_new();
    }
    sync_start_thread(accept_main, NULL);
    sync_start_thread(poll_main, NULL);
}
