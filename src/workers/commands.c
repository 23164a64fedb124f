/* Orders sent straight to workers, and questions to them. */
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../clock/clock.h"
#include "../events/events.h"
#include "../http/client.h"
#include "../json/json.h"
#include "../logging/logging.h"
#include "../membership/membership.h"
#include "../sync/sync.h"
#include "internal.h"

#define SENDERS 44
#define PROBERS 32     /* of them: an address that hangs costs one its time limit, and many hang at once */
#define ADOPT_S 8.0    /* how long a machine that nobody has recorded is left to who rented it */
#define ORDER_S 3.0    /* how old a decision to start a task may be when it is sent */
#define ANSWER_MS 1500 /* how long a worker may take to answer */

const struct settings *workers_settings;
static struct sync_wakeup wakeup;

static void wake(void) { sync_wakeup_signal(&wakeup); }

struct job_queue {
    pthread_mutex_t lock;
    pthread_cond_t cond;
    GQueue *q;
};
static struct job_queue outbox; /* orders */
static struct job_queue
    probes; /* tokens and questions: machines that don't answer must not hold up the others' orders */

struct direct_command {
    char id[64], address[64];
    char *body;
    cJSON *ends; /* stops of cancelled tasks on another's machine; then there is no body */
    bool has_run;
    int64_t fencing_token, incarnation, owned;
    struct timespec decided;
};

/* The body of /commands; free it. */
static char *command_body(int64_t fencing_token, int64_t incarnation, cJSON *directives) {
    cJSON *o = cJSON_CreateObject();
    cJSON_AddNumberToObject(o, "fence", (double)fencing_token);
    cJSON_AddNumberToObject(o, "tenure", (double)incarnation);
    cJSON_AddItemReferenceToObject(o, "orders", directives);
    char *body = cJSON_PrintUnformatted(o);
    cJSON_Delete(o);
    return body;
}

/* A controller that stood still between decision and sending, or whose queue is long, does not send what it decided
 * then: a start may have been given up meanwhile, or its job cancelled. */
bool workers_directives_still_valid(bool has_run, double age_s, bool ours, bool may_start) {
    return !has_run || (age_s < ORDER_S && ours && may_start);
}

static bool still_good(const struct direct_command *l) {
    if (!l->has_run) return true; /* most letters only ask: no lock for them */
    store_lock();
    struct machine *m = machines_find(l->id);
    bool good = workers_directives_still_valid(true, clock_seconds_since(l->decided),
                                               m && machines_owned(m) && m->owned_token == l->owned,
                                               membership_may_start_tasks());
    store_unlock();
    return good;
}

static void post(struct job_queue *q, struct direct_command *l) {
    pthread_mutex_lock(&q->lock);
    g_queue_push_tail(q->q, l);
    pthread_cond_signal(&q->cond);
    pthread_mutex_unlock(&q->lock);
}

/* An unknown machine's report may be a late copy from one that was returned long ago: only one that answers is adopted.
 * Nor at once: who rented it may be about to record it. */
void workers_ask_unregistered(const char *id, const char *address) {
    struct first_and_last {
        struct timespec first, last;
    };
    static GHashTable *asked; /* id -> when; under store_lock */
    if (!asked) asked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    struct first_and_last *when = g_hash_table_lookup(asked, id);
    if (!when) {
        when = g_new0(struct first_and_last, 1);
        when->first = clock_now();
        g_hash_table_insert(asked, g_strdup(id), when);
    }
    if (clock_seconds_since(when->first) < ADOPT_S || (when->last.tv_sec && clock_seconds_since(when->last) < 2))
        return;
    when->last = clock_now();
    struct direct_command *l = g_new0(struct direct_command, 1);
    g_strlcpy(l->id, id, sizeof l->id);
    g_strlcpy(l->address, address, sizeof l->address);
    post(&probes, l);
}

static void adopt_answer(const struct direct_command *l, const cJSON *a) {
    const char *id = json_get_string(a, "host"), *type_name = json_get_string(a, "flavour"),
               *site = json_get_string(a, "site");
    if (!id || strcmp(id, l->id) != 0 || !type_name || !site) return;
    store_lock();
    machines_adopt(l->id, l->address, type_name, site, json_get_bool(a, "reclaimable"));
    store_unlock();
}

#define END_AGAIN_S 2.0
#define END_TRIES 5

/* The owner of a cancelled job's machines may be the one that can't see the store, and then may not learn of the
 * cancellation for as long as the store is away: a task that still fetches would begin by itself. Whoever told the user
 * so orders the end, under the owner's token, as soon as the store is away. It is only quicker: the owner's own bound
 * holds without it. */
static void end_cancelled_elsewhere(struct machine *m) {
    cJSON *directives = NULL;
    if (!m->address[0] || m->allocations->len == 0 || clock_seconds_since(m->commands.stops_requested_at) < END_AGAIN_S)
        return;
    for (guint i = 0; i < m->allocations->len && i < MACHINE_TASKS_MAX; i++) {
        struct allocation *b = m->allocations->pdata[i];
        char task[96];
        if (b->released || !b->job->cancel_acknowledged || b->stop_requests >= END_TRIES) continue;
        snprintf(task, sizeof task, "%s/%d", b->job->spec.job_id, b->task);
        if (!directives) directives = cJSON_CreateArray();
        workers_add_directive(directives, "stop", task, b->attempt, 0);
        b->stop_requests++;
    }
    if (!directives) return;
    m->commands.stops_requested_at = clock_now();
    struct direct_command *l = g_new0(struct direct_command, 1);
    g_strlcpy(l->id, m->id, sizeof l->id);
    g_strlcpy(l->address, m->address, sizeof l->address);
    l->fencing_token = machines_fencing_token(m);
    l->incarnation = m->agent.incarnation > 0 ? m->agent.incarnation : 1;
    l->ends = directives;
    post(&outbox, l);
}

/* Sends stops to another's machine, a second time if it is in another incarnation than we know. */
static void send_ends(struct http_client *c, const struct direct_command *l) {
    char url[160];
    int64_t incarnation = l->incarnation;
    snprintf(url, sizeof url, "http://%s/commands", l->address);
    for (int i = 0; i < 2; i++) {
        long status = 0;
        cJSON *a = NULL;
        char *body = command_body(l->fencing_token, incarnation, l->ends);
        bool answered = http_call(c, "POST", url, body, ANSWER_MS, &status, &a) == HTTP_ANSWERED;
        free(body);
        log_debug("machine %s: asked to stop cancelled tasks, status %ld", l->id, status);
        int64_t shown = 0;
        const char *host = json_get_string(a, "host");
        bool again = answered && status == 409 && host && strcmp(host, l->id) == 0 &&
                     json_get_int64(a, "tenure", &shown) && shown != incarnation;
        incarnation = shown;
        cJSON_Delete(a);
        if (!again) break;
    }
}

/* What the answer to a command, or none, says of the machine. */
static void take_outcome(const struct direct_command *l, enum http_outcome out, long status, const cJSON *answer,
                         bool good, bool in_time) {
    store_lock();
    struct machine *m = machines_find(l->id);
    if (m && m->commands.in_flight) {
        m->commands.in_flight = false;
        bool same = machines_owned(m) && m->owned_token == l->owned;
        if (same && good && out != HTTP_ANSWERED && in_time && m->liveness.unanswered_probes++ == 0)
            shard_states[m->shard].suspicion_at = clock_now();
        bool answered = out == HTTP_ANSWERED && (status == 200 || status == 409);
        /* Only a start's outcome matters: a late stop or forget harms nobody, attempts are unique. */
        if (same && l->has_run) {
            if (!answered && out != HTTP_NOT_SENT)
                log_info("machine %s: outcome of a command unknown, raising its fencing token", m->id);
            else if (m->commands.unknown_token == l->fencing_token && m->commands.unknown_incarnation == l->incarnation)
                m->commands.outcome_unknown = false;
        }
        if (same && answered && answer) workers_reconcile(m, answer, false);
        /* It has the token now: what waited for that need not wait for its next report. */
        if (same && (!good || (answered && !l->has_run))) m->commands.wake = true;
    }
    store_unlock();
}

static void send_directives(struct http_client *c, const struct direct_command *l) {
    char url[160];
    long status = 0;
    cJSON *answer = NULL;
    snprintf(url, sizeof url, "http://%s/commands", l->address);
    struct timespec sent = clock_now();
    bool good = still_good(l);
    /* A start whose first copy is still on its way must not be taken for known because its second was answered. */
    enum http_outcome out = !good        ? HTTP_NOT_SENT
                            : l->has_run ? http_call_once(c, "POST", url, l->body, ANSWER_MS, &status, &answer)
                                         : http_call(c, "POST", url, l->body, ANSWER_MS, &status, &answer);
    /* A controller that stood still or is short of its processor time learns nothing from a late look. */
    bool in_time = clock_seconds_since(sent) < ANSWER_MS / 1000.0 + 0.3;
    take_outcome(l, out, status, answer, good, in_time);
    cJSON_Delete(answer);
}

static void inspect(struct http_client *c, const struct direct_command *l) {
    char url[160];
    long status = 0;
    cJSON *answer = NULL;
    snprintf(url, sizeof url, "http://%s/inspect", l->address);
    if (http_call(c, "GET", url, NULL, ANSWER_MS, &status, &answer) == HTTP_ANSWERED && status == 200)
        adopt_answer(l, answer);
    cJSON_Delete(answer);
}

static void command_free(struct direct_command *l) {
    cJSON_Delete(l->ends);
    free(l->body);
    g_free(l);
}

static void *sender_main(void *arg) {
    struct job_queue *q = arg;
    struct http_client *c = http_client_new();
    for (;;) {
        pthread_mutex_lock(&q->lock);
        while (q->q->length == 0) sync_cond_wait(&q->cond, &q->lock, clock_from_seconds(30));
        struct direct_command *l = g_queue_pop_head(q->q);
        pthread_mutex_unlock(&q->lock);
        if (l->ends)
            send_ends(c, l);
        else if (!l->body)
            inspect(c, l);
        else
            send_directives(c, l);
        if (l->body && q == &probes) wake();
        command_free(l);
    }
    return NULL;
}

static void send_due_commands(void) {
    store_lock();
    GPtrArray *ms = machines_all();
    bool may_start = membership_may_start_tasks();
    for (guint i = 0; i < ms->len; i++) {
        struct machine *m = ms->pdata[i];
        if (store_unreachable() && m->known && !machines_owned(m)) end_cancelled_elsewhere(m);
        if ((!m->commands.wake && !m->commands.needs_token_probe) || !machines_owned(m)) continue;
        if (!m->address[0] || m->commands.in_flight ||
            (m->commands.outcome_unknown && !m->commands.needs_token_probe) || m->retirement.released ||
            (!m->liveness.up && !m->commands.needs_token_probe))
            continue;
        if (!membership_may_answer()) continue;
        /* One that has just failed to answer is asked before it is ordered anything: orders to a hundred that hang at
         * once would hold up everybody's. */
        bool hello = m->commands.needs_token_probe || m->liveness.unanswered_probes > 0;
        m->commands.needs_token_probe = m->commands.wake = false;
        if (!hello && m->agent.seen_token < machines_fencing_token(m)) hello = true;
        cJSON *directives = hello ? cJSON_CreateArray() : workers_directives(m, true);
        /* What must wait for a look at the store goes as soon as there is one. */
        for (guint b = 0; !may_start && b < m->allocations->len; b++)
            m->commands.wake |= workers_awaits_start(m->allocations->pdata[b]);
        if (!hello && cJSON_GetArraySize(directives) == 0) {
            cJSON_Delete(directives);
            continue;
        }
        struct direct_command *l = g_new0(struct direct_command, 1);
        const cJSON *x;
        cJSON_ArrayForEach(x, directives) l->has_run |= strcmp(json_get_string(x, "verb"), "run") == 0;
        g_strlcpy(l->id, m->id, sizeof l->id);
        g_strlcpy(l->address, m->address, sizeof l->address);
        l->fencing_token = machines_fencing_token(m);
        l->incarnation = m->agent.incarnation > 0 ? m->agent.incarnation : 1;
        l->owned = m->owned_token;
        l->decided = clock_now();
        l->body = command_body(l->fencing_token, l->incarnation, directives);
        cJSON_Delete(directives);
        m->commands.in_flight = true;
        m->commands.probe_in_flight = hello;
        if (l->has_run) {
            m->commands.outcome_unknown = true;
            m->commands.unknown_token = l->fencing_token;
            m->commands.unknown_incarnation = l->incarnation;
        }
        post(hello ? &probes : &outbox, l);
    }
    store_unlock();
}

static void *dispatcher_main(void *arg) {
    (void)arg;
    for (;;) {
        sync_wakeup_wait(&wakeup, clock_from_seconds(1));
        send_due_commands();
        clock_sleep(clock_from_seconds(0.02));
    }
    return NULL;
}

void workers_init(const struct settings *s) {
    workers_settings = s;
    sync_wakeup_init(&wakeup);
    events_subscribe(EVENT_DISPATCH, wake);
    struct job_queue *const queues[] = {&outbox, &probes};
    for (int i = 0; i < 2; i++) {
        pthread_mutex_init(&queues[i]->lock, NULL);
        sync_cond_init(&queues[i]->cond);
        queues[i]->q = g_queue_new();
    }
}

void workers_start(void) {
    sync_start_thread(dispatcher_main, NULL);
    for (int i = 0; i < SENDERS; i++) sync_start_thread(sender_main, i < PROBERS ? &probes : &outbox);
}
