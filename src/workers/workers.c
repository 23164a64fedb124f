#include "workers.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../chains/chains.h"
#include "../membership/membership.h"
#include "../peers/peers.h"
#include "../rounds/rounds.h"

#define SENDERS 44
#define PROBERS 32     /* of them: an address that hangs costs one its time limit, and many hang at once */
#define ADOPT_S 8.0    /* how long a machine that nobody has recorded is left to who rented it */
#define ORDER_S 3.0    /* how old a decision to start a task may be when it is sent */
#define ANSWER_MS 1500 /* how long a worker may take to answer */

static const struct settings *cfg;
static struct base_wakeup wakeup;

void workers_kick(void) { base_wakeup_signal(&wakeup); }

/* A letter that may carry starts is on its way. One that only asks does not count: a machine whose last start is in
 * doubt is asked all the same, else those that hang with a start in doubt were found 5 s later than the others. */
static bool start_on_its_way(const struct machine *m) { return m->sending && !m->asking; }

static enum task_state state_of(const char *s) {
    static const char *const names[] = {"", "fetching", "gathering", "running", "flushing", "ended"};
    for (int i = 1; i < 6; i++)
        if (s && strcmp(s, names[i]) == 0) return (enum task_state)i;
    return TASK_RUNNING; /* a state not known here is a task that may run */
}

static void ended(struct booking *b, const char *cause) {
    struct job *j = b->job;
    b->over = true;
    jobs_touch(j, b->task);
    if (cause && strcmp(cause, "done") == 0) {
        if (j->state == JOB_QUEUED) jobs_mark_done(j, b->task);
        return;
    }
    log_debug("task %s/%d on %s ended: %s", j->spec.uid, b->task, b->m->id, cause ? cause : "?");
    if (!cause || j->state != JOB_QUEUED) return;
    if (strcmp(cause, "error") == 0) {
        /* On one machine the machine is suspect, on several the job. */
        b->m->faults++;
        j->failures++;
        j->retry_at = base_wall_in(base_span(MIN(60, 1 << MIN(j->failures, 6))));
        log_info("task %s/%d failed on machine %s (%d times for the job)", j->spec.uid, b->task, b->m->id, j->failures);
    } else if (strcmp(cause, "unknown") == 0) {
        j->retry_at = base_wall_in(base_span(3));
    } else if (strcmp(cause, "no_room") == 0 || strcmp(cause, "busy") == 0) {
        j->retry_at = base_wall_in(base_span(1));
    }
}

static struct booking *listed_booking(struct machine *m, const char *task, int64_t attempt) {
    const char *slash = strrchr(task, '/');
    if (!slash) return NULL;
    size_t n = (size_t)(slash - task);
    int index = (int)g_ascii_strtoll(slash + 1, NULL, 10);
    for (guint i = 0; i < m->bookings->len; i++) {
        struct booking *b = m->bookings->pdata[i];
        if (b->attempt == attempt && b->task == index && strlen(b->job->spec.uid) == n &&
            strncmp(b->job->spec.uid, task, n) == 0)
            return b;
    }
    return NULL;
}

/* What a report under an older token lists of cancelled jobs. A stop harms nobody, whoever's token it was started
 * under, and it must not wait until the worker has shown ours: controllers that end every few seconds renewed its lease
 * again and again, each for the first time, and a cancelled task ran on beyond cancel_s. */
static void list_cancelled(struct machine *m, const cJSON *report) {
    const cJSON *x;
    g_array_set_size(m->unknown_tasks, 0);
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(report, "tasks")) {
        const char *task = base_str(x, "task"), *slash = task ? strrchr(task, '/') : NULL;
        struct unknown_task st = {"", 0, false};
        char uid[64];
        if (!slash || (size_t)(slash - task) >= sizeof uid || !base_int(x, "try", &st.attempt)) continue;
        g_strlcpy(uid, task, (gsize)(slash - task) + 1);
        const struct job *j = jobs_find(uid);
        if (!j || j->state != JOB_CANCELLED || state_of(base_str(x, "state")) == TASK_ENDED) continue;
        g_strlcpy(st.task, task, sizeof st.task);
        g_array_append_val(m->unknown_tasks, st);
    }
}

/* One that names another machine, or whose tasks can't be read, proves nothing: taken for an empty list it would
 * release all that runs there. An address may have passed to another machine since it was recorded. */
static bool readable(const struct machine *m, const cJSON *report) {
    const char *id = base_str(report, "host");
    if (id && strcmp(id, m->id) != 0) return false;
    const cJSON *x, *tasks = cJSON_GetObjectItemCaseSensitive(report, "tasks");
    if (!cJSON_IsArray(tasks)) return false;
    int64_t attempt;
    cJSON_ArrayForEach(x, tasks) if (!base_str(x, "task") || !base_int(x, "try", &attempt)) return false;
    return true;
}

bool workers_report(struct machine *m, const cJSON *report, bool checkin) {
    int64_t tenure = 0, seq = 0, fence = 0;
    if (!base_int(report, "tenure", &tenure) || !base_int(report, "seq", &seq) || !readable(m, report)) {
        log_debug("machine %s: a report that can't be read", m->id);
        return false;
    }
    base_int(report, "fence", &fence);
    /* A copy of what is known already, or of something older. */
    if (tenure < m->tenure || (tenure == m->tenure && seq <= m->seq)) return false;
    bool new_session = m->tenure > 0 && tenure > m->tenure;
    m->tenure = tenure;
    m->seq = seq;
    if (fence < records_token(m)) {
        /* Our token has not reached it, or this is a copy of a report from before it did, which may be minutes old and
         * proves nothing: no sign of life, no occupancy row, nothing about its tasks. Asked directly, a live one takes
         * the token up at once. One whose reports arrive but which never does is out of reach of our answers. */
        if (checkin && m->answered) m->ignored++;
        if (checkin && base_since(m->probed) > 1.5) {
            m->probed = base_now();
            m->hello = m->kick = true;
            workers_kick();
        }
        list_cancelled(m, report);
        return true;
    }
    if (checkin) {
        int waiting = 0;
        for (guint i = 0; i < m->bookings->len; i++) {
            const struct booking *b = m->bookings->pdata[i];
            waiting += !b->seen && !b->stop && b->ordered >= 2;
        }
        const cJSON *listed_tasks = cJSON_GetObjectItemCaseSensitive(report, "tasks");
        /* Its lease ended although each of its reports was answered, or orders answered twice are not taken up. */
        if (new_session && m->answered && base_since(m->reported) < base_secs(cfg->lease) * 0.7)
            m->ignored += 2;
        else if (waiting && cJSON_GetArraySize(listed_tasks) < waiting)
            m->ignored++;
        else
            m->ignored = 0;
    }
    m->seen_fence = fence;
    m->heard = base_now();
    m->unanswered = 0;
    /* The first answer may be to a question of ours, long after it was rented: its reports are due from now on. One in
     * sixteen machines was once returned the moment it came up, for not having reported. */
    if (checkin || !m->up) m->reported = m->heard;
    if (!m->up) log_info("machine %s: up", m->id);
    m->up = true;
    const cJSON *w = cJSON_GetObjectItemCaseSensitive(report, "warning_s");
    if (cJSON_IsNumber(w)) {
        if (m->warning < 0) log_info("machine %s: notice, taken in %.0f s", m->id, w->valuedouble);
        m->warning = w->valuedouble;
        m->warned = m->heard;
    } else {
        m->warning = -1;
    }
    if (m->unknown && !start_on_its_way(m) && (fence > m->unknown_fence || tenure > m->unknown_tenure)) {
        m->unknown = false;
        m->need_raise = false;
    }
    bool change = false;
    g_array_set_size(m->unknown_tasks, 0);
    bool listed[256] = {false};
    const cJSON *x;
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(report, "tasks")) {
        const char *task = base_str(x, "task"), *state = base_str(x, "state");
        int64_t attempt = 0;
        if (!task || !base_int(x, "try", &attempt)) continue;
        struct booking *b = listed_booking(m, task, attempt);
        enum task_state s = state_of(state);
        if (!b) {
            struct unknown_task st = {"", attempt, s == TASK_ENDED};
            g_strlcpy(st.task, task, sizeof st.task);
            g_array_append_val(m->unknown_tasks, st);
            continue;
        }
        guint at = 0;
        g_ptr_array_find(m->bookings, b, &at);
        if (at < 256) listed[at] = true;
        b->seen = true;
        if (b->state != s) b->changed = m->heard;
        if (s == TASK_RUNNING && b->state != s)
            log_info("task %s runs on %s (%s): %.1f s after its job came, %.1f s after booking, image was %s", task,
                     m->id, b->job->spec.jobclass ? b->job->spec.jobclass : "?", base_time_of_day() - b->job->submitted,
                     base_since(b->booked),
                     b->job->spec.image && g_hash_table_contains(m->images, b->job->spec.image) ? "there" : "fetched");
        b->state = s;
        if ((s == TASK_RUNNING || s == TASK_GATHERING) && b->job->spec.image)
            g_hash_table_add(m->images, g_strdup(b->job->spec.image));
        if (s == TASK_ENDED && !b->over) {
            ended(b, base_str(x, "cause"));
            change = true;
        }
    }
    /* A report follows every answer of ours. A direct answer does not, unless none of this session carried a start:
     * others' and earlier ones' answers are ruled out by the token and the session that it shows. So a takeover knows
     * what runs as soon as it has asked; waiting for reports took 20 s after a cut. */
    bool proves = checkin || m->ordered_tenure < tenure;
    for (guint i = 0; proves && i < m->bookings->len && i < 256; i++) {
        struct booking *b = m->bookings->pdata[i];
        if (listed[i] || b->over) continue;
        /* Not on the machine; gone only if nothing is under way. */
        if (m->unknown || start_on_its_way(m)) continue;
        bool gang_lost = b->job->spec.shape == JOB_GROUP && base_since(b->booked) > 2 * base_secs(cfg->report);
        if (b->seen || b->stop || b->inherited || gang_lost) {
            log_info("task %s/%d try %lld is gone from machine %s", b->job->spec.uid, b->task, (long long)b->attempt,
                     m->id);
            b->over = true;
            jobs_touch(b->job, b->task);
            change = true;
        }
    }
    if (change) rounds_kick();
    return true;
}

static void add_order(cJSON *list, const char *verb, const char *task, int64_t attempt, double grace) {
    cJSON *o = cJSON_CreateObject();
    cJSON_AddStringToObject(o, "verb", verb);
    cJSON_AddStringToObject(o, "task", task);
    cJSON_AddNumberToObject(o, "try", (double)attempt);
    if (grace >= 0) cJSON_AddNumberToObject(o, "grace_s", grace);
    cJSON_AddItemToArray(list, o);
}

/* Booked by us and not yet shown by the worker. */
static bool waits_for_start(const struct booking *b) {
    return !b->over && !b->stop && !b->seen && !b->inherited && b->job->state == JOB_QUEUED && !chains_waits(b->job) &&
           !b->m->returning && !b->m->want_return;
}

cJSON *workers_orders(struct machine *m, bool direct) {
    cJSON *list = cJSON_CreateArray();
    bool ours = m->seen_fence >= records_token(m); /* first the token, then orders, but for stops that can't wait */
    bool may_start = membership_may_start();
    for (guint i = 0; i < m->unknown_tasks->len && i < 200; i++) {
        struct unknown_task *s = &g_array_index(m->unknown_tasks, struct unknown_task, i);
        /* As long as the worker lists an attempt, a start of it that still comes does nothing. */
        if (s->ended && (!ours || m->unknown || start_on_its_way(m))) continue;
        if (s->ended)
            add_order(list, "forget", s->task, s->attempt, -1);
        else
            add_order(list, "stop", s->task, s->attempt, 0);
    }
    for (guint i = 0; ours && i < m->bookings->len && i < 200; i++) {
        struct booking *b = m->bookings->pdata[i];
        char task[96];
        if (b->over) continue;
        snprintf(task, sizeof task, "%s/%d", b->job->spec.uid, b->task);
        if (b->stop) {
            if (b->seen && (!direct || !b->stop_sent || b->grace_s <= 0))
                add_order(list, "stop", task, b->attempt, b->grace_s);
            b->stop_sent = true;
        } else if (may_start && waits_for_start(b)) {
            add_order(list, "run", task, b->attempt, -1);
            if (!direct) {
                b->ordered++;
                m->ordered_tenure = m->tenure;
            }
        }
    }
    return list;
}

/* ---- reports ---- */

static void ask_unregistered(const char *id, const char *address);

static void go_elsewhere(struct http_req *r, const char *master) {
    char body[128];
    if (master && *master && strcmp(master, cfg->node) != 0)
        snprintf(body, sizeof body, "{\"master\":\"%s\"}", master);
    else
        snprintf(body, sizeof body, "{}");
    http_reply(r, 421, body, 0);
}

/* In a zone that is cut off, the owner of a machine may be outside. Then a controller inside answers for it with the
 * token that the machine has, so that its lease goes on, and orders nothing but the end of cancelled tasks. Nobody else
 * relies on the lease's end: a start elsewhere needs a report's or the cloud's proof. Bound like an owner's answers to
 * the last look at the store, and over as soon as store or owner is in reach. */
bool workers_may_proxy(const struct machine *m) {
    const char *owner = m->share < 0 ? "" : membership_share(m->share)->owner;
    return store_away() && membership_verified() && strcmp(m->site, cfg->area) == 0 && strcmp(owner, cfg->node) != 0 &&
           !peers_reach(owner);
}

/* A start that the owner sent before it learned of the cancellation may be held up on its way into the zone. Our own
 * look may be later than the cancellation: kept alive, the session would take that start after cancel_s. */
bool workers_start_in_doubt(const struct machine *m, const cJSON *report) {
    for (guint i = 0; i < m->bookings->len; i++) {
        const struct booking *b = m->bookings->pdata[i];
        if (b->job->state != JOB_CANCELLED) continue;
        char task[96];
        const cJSON *x;
        bool listed = false;
        snprintf(task, sizeof task, "%s/%d", b->job->spec.uid, b->task);
        cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(report, "tasks")) {
            int64_t attempt = 0;
            const char *name = base_str(x, "task");
            listed |= name && strcmp(name, task) == 0 && base_int(x, "try", &attempt) && attempt == b->attempt;
        }
        if (!listed) return true;
    }
    return false;
}

cJSON *workers_proxy_answer(struct machine *m, const cJSON *report) {
    cJSON *a = cJSON_CreateObject(), *orders = cJSON_CreateArray();
    list_cancelled(m, report);
    for (guint i = 0; i < m->unknown_tasks->len; i++) {
        const struct unknown_task *s = &g_array_index(m->unknown_tasks, struct unknown_task, i);
        add_order(orders, "stop", s->task, s->attempt, 0);
    }
    cJSON_AddNumberToObject(a, "fence", (double)records_token(m));
    cJSON_AddItemToObject(a, "orders", orders);
    return a;
}

static void on_checkin(struct http_req *r) {
    size_t len;
    const char *body = http_body(r, &len);
    cJSON *o = cJSON_ParseWithLength(body, len);
    const char *id = base_str(o, "host"), *address = base_str(o, "address"), *sku = base_str(o, "flavour"),
               *site = base_str(o, "site");
    if (!id || !sku || !site || strlen(id) > 60) {
        http_reply(r, 400, "{\"error\":\"host, flavour or site is missing\"}", 0);
        cJSON_Delete(o);
        return;
    }
    store_lock();
    struct machine *m = records_find(id);
    if (!store_ready()) {
        http_reply(r, 503, NULL, 1);
    } else if (!m) {
        int k = records_share_of(id);
        const struct share *s = membership_share(k);
        if (membership_mine(k)) {
            if (!records_known(id) && address && *address) ask_unregistered(id, address);
            http_reply(r, 503, NULL, 1);
        } else {
            go_elsewhere(r, s->owner);
        }
    } else if (!records_mine(m)) {
        const struct share *s = membership_share(m->share);
        int64_t fence = 0;
        base_int(o, "fence", &fence);
        if (fence <= records_token(m) && workers_may_proxy(m) && !workers_start_in_doubt(m, o))
            http_reply_json(r, 200, workers_proxy_answer(m, o), 0);
        else if (strcmp(s->owner, cfg->node) == 0)
            http_reply(r, 503, NULL, 1);
        else
            go_elsewhere(r, s->owner);
    } else {
        int64_t fence = 0;
        base_int(o, "fence", &fence);
        if (address && *address && strcmp(address, m->address) != 0) {
            g_strlcpy(m->address, address, sizeof m->address);
            m->unwritten = true;
        }
        if (fence > records_token(m)) {
            /* Someone newer commands it. */
            go_elsewhere(r, NULL);
        } else if (!membership_verified()) {
            http_reply(r, 503, NULL, 1);
        } else {
            bool newest = workers_report(m, o, true);
            if (newest && fence >= records_token(m)) records_row(m);
            if (m->unknown && !start_on_its_way(m) && records_token(m) <= m->unknown_fence) {
                /* A command may still be on its way: this machine's lease is renewed under a higher token only. */
                m->need_raise = true;
                rounds_kick();
                http_reply(r, 503, NULL, 1);
            } else {
                cJSON *a = cJSON_CreateObject();
                cJSON_AddNumberToObject(a, "fence", (double)records_token(m));
                cJSON_AddItemToObject(a, "orders", newest ? workers_orders(m, false) : cJSON_CreateArray());
                http_reply_json(r, 200, a, 0);
                m->answered = true;
            }
        }
    }
    store_unlock();
    cJSON_Delete(o);
}

bool workers_route(struct http_req *r) {
    if (strcmp(http_path(r), "/checkin") != 0) return false;
    http_short_lived(r);
    if (strcmp(http_method(r), "POST") != 0)
        http_reply(r, 405, NULL, 0);
    else
        on_checkin(r);
    return true;
}

/* ---- direct commands ---- */

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
    int64_t fence, tenure, owned;
    struct timespec decided;
};

/* A controller that stood still between decision and sending, or whose queue is long, does not send what it decided
 * then: a start may have been given up meanwhile, or its job cancelled. */
bool workers_still_good(bool has_run, double age_s, bool ours, bool may_start) {
    return !has_run || (age_s < ORDER_S && ours && may_start);
}

static bool still_good(const struct direct_command *l) {
    if (!l->has_run) return true; /* most letters only ask: no lock for them */
    store_lock();
    struct machine *m = records_find(l->id);
    bool good = workers_still_good(true, base_since(l->decided), m && records_mine(m) && m->owned_fence == l->owned,
                                   membership_may_start());
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
static void ask_unregistered(const char *id, const char *address) {
    struct first_and_last {
        struct timespec first, last;
    };
    static GHashTable *asked; /* id -> when; under store_lock */
    if (!asked) asked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    struct first_and_last *when = g_hash_table_lookup(asked, id);
    if (!when) {
        when = g_new0(struct first_and_last, 1);
        when->first = base_now();
        g_hash_table_insert(asked, g_strdup(id), when);
    }
    if (base_since(when->first) < ADOPT_S || (when->last.tv_sec && base_since(when->last) < 2)) return;
    when->last = base_now();
    struct direct_command *l = g_new0(struct direct_command, 1);
    g_strlcpy(l->id, id, sizeof l->id);
    g_strlcpy(l->address, address, sizeof l->address);
    post(&probes, l);
}

static void adopt_answer(const struct direct_command *l, const cJSON *a) {
    const char *id = base_str(a, "host"), *sku = base_str(a, "flavour"), *site = base_str(a, "site");
    if (!id || strcmp(id, l->id) != 0 || !sku || !site) return;
    store_lock();
    records_adopt(l->id, l->address, sku, site, base_flag(a, "reclaimable"));
    store_unlock();
}

#define END_AGAIN_S 2.0
#define END_TRIES 5

/* The owner of a cancelled job's machines may be the one that can't see the store, and then may not learn of the
 * cancellation for as long as the store is away: a task that still fetches would begin by itself. Whoever told the user
 * so orders the end, under the owner's token, as soon as the store is away. It is only quicker: the owner's own bound
 * holds without it. */
static void end_cancelled_elsewhere(struct machine *m) {
    cJSON *orders = NULL;
    if (!m->address[0] || m->bookings->len == 0 || base_since(m->asked_to_end) < END_AGAIN_S) return;
    for (guint i = 0; i < m->bookings->len && i < 200; i++) {
        struct booking *b = m->bookings->pdata[i];
        char task[96];
        if (b->over || !b->job->told_cancelled || b->asked_to_end >= END_TRIES) continue;
        snprintf(task, sizeof task, "%s/%d", b->job->spec.uid, b->task);
        if (!orders) orders = cJSON_CreateArray();
        add_order(orders, "stop", task, b->attempt, 0);
        b->asked_to_end++;
    }
    if (!orders) return;
    m->asked_to_end = base_now();
    struct direct_command *l = g_new0(struct direct_command, 1);
    g_strlcpy(l->id, m->id, sizeof l->id);
    g_strlcpy(l->address, m->address, sizeof l->address);
    l->fence = records_token(m);
    l->tenure = m->tenure > 0 ? m->tenure : 1;
    l->ends = orders;
    post(&outbox, l);
}

/* Sends stops to another's machine, a second time if it is in another session than we know. */
static void send_ends(struct http_client *c, const struct direct_command *l) {
    char url[160];
    int64_t tenure = l->tenure;
    snprintf(url, sizeof url, "http://%s/commands", l->address);
    for (int i = 0; i < 2; i++) {
        long status = 0;
        cJSON *a = NULL, *o = cJSON_CreateObject();
        cJSON_AddNumberToObject(o, "fence", (double)l->fence);
        cJSON_AddNumberToObject(o, "tenure", (double)tenure);
        cJSON_AddItemReferenceToObject(o, "orders", l->ends);
        char *body = cJSON_PrintUnformatted(o);
        cJSON_Delete(o);
        bool answered = http_call(c, "POST", url, body, ANSWER_MS, &status, &a) == HTTP_ANSWERED;
        free(body);
        log_debug("machine %s: asked to end cancelled tasks, %ld", l->id, status);
        int64_t shown = 0;
        const char *host = base_str(a, "host");
        bool again = answered && status == 409 && host && strcmp(host, l->id) == 0 && base_int(a, "tenure", &shown) &&
                     shown != tenure;
        tenure = shown;
        cJSON_Delete(a);
        if (!again) break;
    }
}

static void *sender_main(void *arg) {
    struct job_queue *q = arg;
    struct http_client *c = http_client_new();
    for (;;) {
        pthread_mutex_lock(&q->lock);
        while (q->q->length == 0) base_cond_wait(&q->cond, &q->lock, base_span(30));
        struct direct_command *l = g_queue_pop_head(q->q);
        pthread_mutex_unlock(&q->lock);
        char url[160];
        long status;
        cJSON *a = NULL;
        if (l->ends) {
            send_ends(c, l);
            cJSON_Delete(l->ends);
            g_free(l);
            continue;
        }
        if (!l->body) {
            snprintf(url, sizeof url, "http://%s/inspect", l->address);
            if (http_call(c, "GET", url, NULL, ANSWER_MS, &status, &a) == HTTP_ANSWERED && status == 200)
                adopt_answer(l, a);
            cJSON_Delete(a);
            g_free(l);
            continue;
        }
        snprintf(url, sizeof url, "http://%s/commands", l->address);
        struct timespec sent = base_now();
        bool good = still_good(l);
        /* A start whose first copy is still on its way must not be taken for known because its second was answered. */
        enum http_outcome out = !good        ? HTTP_NOT_SENT
                                : l->has_run ? http_call_once(c, "POST", url, l->body, ANSWER_MS, &status, &a)
                                             : http_call(c, "POST", url, l->body, ANSWER_MS, &status, &a);
        /* A controller that stood still or is short of its processor time learns nothing from a late look. */
        bool in_time = base_since(sent) < ANSWER_MS / 1000.0 + 0.3;
        store_lock();
        struct machine *m = records_find(l->id);
        if (m && m->sending) {
            m->sending = false;
            bool same = records_mine(m) && m->owned_fence == l->owned;
            if (same && good && out != HTTP_ANSWERED && in_time && m->unanswered++ == 0)
                records_shares[m->share].alarm = base_now();
            bool answered = out == HTTP_ANSWERED && (status == 200 || status == 409);
            /* Only a start's outcome matters: a late stop or forget harms nobody, attempts are unique. */
            if (same && l->has_run) {
                if (!answered && out != HTTP_NOT_SENT)
                    log_info("machine %s: a command's outcome is not known, raising its token", m->id);
                else if (m->unknown_fence == l->fence && m->unknown_tenure == l->tenure)
                    m->unknown = false;
            }
            if (same && answered && a) workers_report(m, a, false);
            /* It has the token now: what waited for that need not wait for its next report. */
            if (same && (!good || (answered && !l->has_run))) m->kick = true;
        }
        store_unlock();
        if (q == &probes) workers_kick();
        cJSON_Delete(a);
        free(l->body);
        g_free(l);
    }
    return NULL;
}

static void send_due_commands(void) {
    store_lock();
    GPtrArray *ms = records_machines();
    bool may_start = membership_may_start();
    for (guint i = 0; i < ms->len; i++) {
        struct machine *m = ms->pdata[i];
        if (store_away() && m->known && !records_mine(m)) end_cancelled_elsewhere(m);
        if ((!m->kick && !m->hello) || !records_mine(m)) continue;
        if (!m->address[0] || m->sending || (m->unknown && !m->hello) || m->dead || (!m->up && !m->hello)) continue;
        if (!membership_verified()) continue;
        /* One that has just failed to answer is asked before it is ordered anything: orders to a hundred that hang at
         * once would hold up everybody's. */
        bool hello = m->hello || m->unanswered > 0;
        m->hello = m->kick = false;
        if (!hello && m->seen_fence < records_token(m)) hello = true;
        cJSON *orders = hello ? cJSON_CreateArray() : workers_orders(m, true);
        /* What must wait for a look at the store goes as soon as there is one. */
        for (guint b = 0; !may_start && b < m->bookings->len; b++) m->kick |= waits_for_start(m->bookings->pdata[b]);
        if (!hello && cJSON_GetArraySize(orders) == 0) {
            cJSON_Delete(orders);
            continue;
        }
        struct direct_command *l = g_new0(struct direct_command, 1);
        const cJSON *x;
        cJSON_ArrayForEach(x, orders) l->has_run |= strcmp(base_str(x, "verb"), "run") == 0;
        g_strlcpy(l->id, m->id, sizeof l->id);
        g_strlcpy(l->address, m->address, sizeof l->address);
        l->fence = records_token(m);
        l->tenure = m->tenure > 0 ? m->tenure : 1;
        l->owned = m->owned_fence;
        l->decided = base_now();
        cJSON *o = cJSON_CreateObject();
        cJSON_AddNumberToObject(o, "fence", (double)l->fence);
        cJSON_AddNumberToObject(o, "tenure", (double)l->tenure);
        cJSON_AddItemToObject(o, "orders", orders);
        l->body = cJSON_PrintUnformatted(o);
        cJSON_Delete(o);
        m->sending = true;
        m->asking = hello;
        if (l->has_run) {
            m->unknown = true;
            m->unknown_fence = l->fence;
            m->unknown_tenure = l->tenure;
        }
        post(hello ? &probes : &outbox, l);
    }
    store_unlock();
}

static void *post_main(void *arg) {
    (void)arg;
    for (;;) {
        base_wakeup_wait(&wakeup, base_span(1));
        send_due_commands();
        base_sleep(base_span(0.02));
    }
    return NULL;
}

void workers_init(const struct settings *s) {
    cfg = s;
    base_wakeup_init(&wakeup);
    struct job_queue *const queues[] = {&outbox, &probes};
    for (int i = 0; i < 2; i++) {
        pthread_mutex_init(&queues[i]->lock, NULL);
        base_cond_init(&queues[i]->cond);
        queues[i]->q = g_queue_new();
    }
}

void workers_start(void) {
    base_thread(post_main, NULL);
    for (int i = 0; i < SENDERS; i++) base_thread(sender_main, i < PROBERS ? &probes : &outbox);
}
