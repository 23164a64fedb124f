#include "jobs.h"

#include <gsl/gsl_histogram.h>
#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../bookings/bookings.h"
#include "../cloud/cloud.h"
#include "../membership/membership.h"
#include "../peers/peers.h"
#include "../rounds/rounds.h"

static const struct settings *cfg;
static GHashTable *all;   /* uid -> job */
static GPtrArray *active; /* oldest first */
static GPtrArray *active_of[64], *ended_of[64];

/* ---- pure parts ---- */

bool jobs_uid_ok(const char *uid) {
    size_t n = uid ? strlen(uid) : 0;
    if (n < 5 || n > 40 || strncmp(uid, "req-", 4) != 0) return false;
    for (size_t i = 4; i < n; i++)
        if (uid[i] < '0' || uid[i] > '9') return false;
    return true;
}

bool jobs_bit(const uint8_t *bits, int i) { return bits && (bits[i / 8] >> (i % 8) & 1); }

char *jobs_bits_text(const uint8_t *bits, int from, int n) {
    static const char hex[] = "0123456789abcdef";
    int bytes = (n + 7) / 8;
    char *t = g_malloc((gsize)bytes * 2 + 1);
    for (int i = 0; i < bytes; i++) {
        t[2 * i] = hex[bits[from / 8 + i] >> 4];
        t[2 * i + 1] = hex[bits[from / 8 + i] & 15];
    }
    t[2 * bytes] = 0;
    return t;
}

void jobs_bits_read(const char *text, uint8_t *bits, int from, int n) {
    for (int i = 0; i < (n + 7) / 8 && text && text[2 * i] && text[2 * i + 1]; i++)
        bits[from / 8 + i] |= (uint8_t)(g_ascii_xdigit_value(text[2 * i]) << 4 | g_ascii_xdigit_value(text[2 * i + 1]));
}

void jobs_spec_clear(struct job_spec *j) {
    g_free(j->jobclass);
    g_free(j->image);
    g_free(j->site);
    g_strfreev(j->flavours);
    memset(j, 0, sizeof *j);
}

static int spec_from(const cJSON *o, const struct settings *s, struct job_spec *j, const char **bad) {
    memset(j, 0, sizeof *j);
    const char *v;
#define NEED(cond, name) \
    if (!(cond)) {       \
        *bad = name;     \
        return 400;      \
    }
    NEED(cJSON_IsObject(o), "body");
    v = base_str(o, "uid");
    NEED(jobs_uid_ok(v), "uid");
    g_strlcpy(j->uid, v, sizeof j->uid);
    v = base_str(o, "jobclass");
    NEED(v && *v && strlen(v) < 200, "jobclass");
    j->jobclass = g_strdup(v);
    v = base_str(o, "owner");
    NEED(v && *v, "owner");
    j->team = settings_team(s, v);
    v = base_str(o, "shape");
    NEED(v && (!strcmp(v, "batch") || !strcmp(v, "group") || !strcmp(v, "standing")), "shape");
    j->shape = v[0] == 'b' ? JOB_BATCH : v[0] == 'g' ? JOB_GROUP : JOB_STANDING;
    v = base_str(o, "rank");
    NEED(v && (!strcmp(v, "production") || !strcmp(v, "high") || !strcmp(v, "normal") || !strcmp(v, "idle")), "rank");
    j->rank = v[0] == 'p' ? RANK_PRODUCTION : v[0] == 'h' ? RANK_HIGH : v[0] == 'n' ? RANK_NORMAL : RANK_IDLE;
    int64_t n;
    NEED(base_int(o, "tasks", &n) && n >= 1 && n <= JOB_TASKS_MOST, "tasks");
    j->tasks = (int)n;
    static const struct {
        const char *name;
        size_t at;
        bool positive, nullable;
    } amounts[] = {
        {"vcpus", offsetof(struct job_spec, vcpus), true, false},
        {"gpus", offsetof(struct job_spec, gpus), false, false},
        {"memory_gb", offsetof(struct job_spec, memory_gb), false, false},
        {"pull_gb", offsetof(struct job_spec, pull_gb), false, false},
        {"runtime_s", offsetof(struct job_spec, runtime_s), false, false},
        {"checkpoint_s", offsetof(struct job_spec, checkpoint_s), false, false},
        {"flush_s", offsetof(struct job_spec, flush_s), false, false},
        {"due_s", offsetof(struct job_spec, due_s), false, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(amounts); i++) {
        const cJSON *x = cJSON_GetObjectItemCaseSensitive(o, amounts[i].name);
        double d = cJSON_IsNumber(x) ? x->valuedouble : -1;
        if (amounts[i].nullable && (!x || cJSON_IsNull(x))) d = 0;
        NEED(isfinite(d) && d >= 0 && d < 1e9 && !(amounts[i].positive && d <= 0), amounts[i].name);
        *(double *)(void *)((char *)j + amounts[i].at) = d;
    }
    v = base_str(o, "image");
    NEED(v && *v && strlen(v) < 200, "image");
    j->image = g_strdup(v);
    const cJSON *x = cJSON_GetObjectItemCaseSensitive(o, "flavours"), *e;
    if (x && !cJSON_IsNull(x)) {
        NEED(cJSON_IsArray(x) && cJSON_GetArraySize(x) <= 100, "flavours");
        cJSON_ArrayForEach(e, x) NEED(cJSON_IsString(e), "flavours");
        j->flavours = g_new0(char *, (gsize)cJSON_GetArraySize(x) + 1);
        int i = 0;
        cJSON_ArrayForEach(e, x) j->flavours[i++] = g_strdup(e->valuestring);
    }
    x = cJSON_GetObjectItemCaseSensitive(o, "site");
    if (x && !cJSON_IsNull(x)) {
        NEED(cJSON_IsString(x) && *x->valuestring && strlen(x->valuestring) < 100, "site");
        j->site = g_strdup(x->valuestring);
    }
    static const char *const flags[] = {"together", "spread", "reclaimable"};
    bool *const into[] = {&j->together, &j->spread, &j->reclaimable};
    for (int i = 0; i < 3; i++) {
        x = cJSON_GetObjectItemCaseSensitive(o, flags[i]);
        NEED(cJSON_IsBool(x), flags[i]);
        *into[i] = cJSON_IsTrue(x);
    }
#undef NEED
    return 0;
}

int jobs_parse(const char *body, size_t len, const struct settings *s, struct job_spec *out, char *field, size_t n) {
    const char *bad = "body";
    cJSON *o = cJSON_ParseWithLength(body, len);
    int rc = spec_from(o, s, out, &bad);
    if (rc) {
        g_strlcpy(field, bad, n);
        jobs_spec_clear(out);
    }
    cJSON_Delete(o);
    return rc;
}

int jobs_feasible(const struct job_spec *j, const struct settings *s, const struct flavour_info *f, int nf, char *why,
                  size_t n) {
    if (j->team < 0) {
        g_strlcpy(why, "owner: unknown team", n);
        return 422;
    }
    bool fits = false;
    for (int i = 0; i < nf && !fits; i++) {
        if (j->flavours && !g_strv_contains((const char *const *)j->flavours, f[i].sku)) continue;
        bool here = !j->site;
        for (int z = 0; z < f[i].n_sites && !here; z++) here = strcmp(f[i].sites[z], j->site) == 0;
        fits = here && j->vcpus <= f[i].vcpus + 1e-9 && j->gpus <= f[i].gpus + 1e-9 &&
               j->memory_gb <= f[i].memory_gb + 1e-9;
    }
    if (!fits) {
        g_strlcpy(why, "a task fits no allowed machine type", n);
        return 422;
    }
    const struct settings_team *t = &s->teams[j->team];
    double m = j->shape == JOB_BATCH ? 1 : j->tasks;
    if ((t->cpus_max > 0 && m * j->vcpus > t->cpus_max + 1e-9) ||
        (t->gpus_max > 0 && m * j->gpus > t->gpus_max + 1e-9)) {
        g_strlcpy(why, "needs more than the team's limit", n);
        return 422;
    }
    return 0;
}

/* ---- records ---- */

struct job *jobs_find(const char *uid) {
    return g_hash_table_lookup(all, uid);
}
GPtrArray *jobs_active(void) { return active; }
int jobs_share(const struct job *j) { return j->spec.team < 0 ? 0 : j->spec.team % cfg->size; }

struct job *jobs_find_or_stub(const char *uid) {
    struct job *j = jobs_find(uid);
    if (j) return j;
    j = g_new0(struct job, 1);
    g_strlcpy(j->spec.uid, uid, sizeof j->spec.uid);
    j->spec.team = -1;
    j->bookings = g_ptr_array_new();
    j->seen = base_now();
    g_hash_table_insert(all, j->spec.uid, j);
    return j;
}

static int older(gconstpointer a, gconstpointer b) {
    const struct job *x = *(struct job *const *)a, *y = *(struct job *const *)b;
    if (x->submitted < y->submitted) return -1;
    return x->submitted > y->submitted ? 1 : strcmp(x->spec.uid, y->spec.uid);
}

GPtrArray *jobs_active_of(int k) { return active_of[k]; }
GPtrArray *jobs_ended_of(int k) { return ended_of[k]; }

static void insert_sorted(GPtrArray *list, struct job *j) {
    guint at = list->len;
    while (at > 0 && older(&list->pdata[at - 1], &j) > 0) at--;
    g_ptr_array_insert(list, (gint)at, j);
}

void jobs_list(struct job *j) {
    bool is_active = j->known && j->state == JOB_QUEUED, is_ended = j->known && !is_active && j->n_runs > 0;
    int k = jobs_share(j);
    if (is_active != j->listed_active) {
        if (is_active) {
            insert_sorted(active, j);
            insert_sorted(active_of[k], j);
        } else {
            g_ptr_array_remove(active, j);
            g_ptr_array_remove(active_of[k], j);
        }
        j->listed_active = is_active;
    }
    if (is_ended != j->listed_ended) {
        if (is_ended)
            g_ptr_array_add(ended_of[k], j);
        else
            g_ptr_array_remove_fast(ended_of[k], j);
        j->listed_ended = is_ended;
    }
}

static bool runs_ready(struct job *j) {
    if (!j->runs && j->spec.tasks > 0) j->runs = g_malloc0((gsize)bookings_chunks(j));
    return j->runs != NULL;
}

void jobs_run_record(struct job *j, int chunk, bool there) {
    if (!runs_ready(j) || chunk >= bookings_chunks(j)) return;
    j->n_runs += there - (j->runs[chunk] & 1);
    j->n_touched -= (j->runs[chunk] & 2) != 0;
    j->runs[chunk] = there;
}

void jobs_touch(struct job *j, int task) {
    if (!runs_ready(j) || task < 0 || task >= j->spec.tasks) return;
    uint8_t *r = &j->runs[task / bookings_chunk()];
    if (*r & 2) return;
    if (j->n_touched == 0) j->touched = base_now();
    *r |= 2;
    j->n_touched++;
}

static void count_bits(struct job *j) {
    j->n_done = j->n_pend = 0;
    for (int i = 0; i < j->spec.tasks; i++) {
        j->n_done += jobs_bit(j->done, i);
        j->n_pend += jobs_bit(j->pend, i);
    }
}

void jobs_done_bits(struct job *j, const char *bits, int from, int n) {
    if (!j->done || from >= j->spec.tasks) return;
    n = MIN(n, j->spec.tasks - from);
    jobs_bits_read(bits, j->done, from, n);
    jobs_bits_read(bits, j->pend, from, n);
    count_bits(j);
}

static void apply_job(const char *uid, const cJSON *data, int64_t stamp) {
    (void)stamp;
    if (!data || !jobs_uid_ok(uid)) return;
    struct job *j = jobs_find_or_stub(uid);
    if (!j->known) {
        const char *bad = "uid";
        const cJSON *spec = cJSON_GetObjectItemCaseSensitive(data, "spec");
        struct job_spec read;
        if (spec_from(spec, cfg, &read, &bad) != 0 || strcmp(read.uid, uid) != 0) {
            log_error("job/%s: its %s can't be read", uid, bad);
            jobs_spec_clear(&read);
            return;
        }
        j->spec = read;
        j->known = true;
        j->spec_text = cJSON_PrintUnformatted(spec);
        j->submitted = base_num(data, "at", 0);
        j->done = g_malloc0((gsize)j->spec.tasks / 8 + 1);
        j->pend = g_malloc0((gsize)j->spec.tasks / 8 + 1);
    }
    const char *state = base_str(data, "state");
    enum job_state now = state && !strcmp(state, "done")        ? JOB_DONE
                         : state && !strcmp(state, "cancelled") ? JOB_CANCELLED
                                                                : JOB_QUEUED;
    if (j->state == JOB_QUEUED && now != JOB_QUEUED) {
        j->state = now;
        j->ended = base_now();
        if (membership_mine(jobs_share(j)))
            log_info("job %s (%s, %d tasks, estimate %.0f s) is %s %.1f s after it came", j->spec.uid, j->spec.jobclass,
                     j->spec.tasks, j->spec.runtime_s, state, base_time_of_day() - j->submitted);
        if (now == JOB_DONE) j->n_done = j->spec.tasks;
        /* A final state is all that is asked for from now on. */
        g_free(j->done);
        g_free(j->pend);
        free(j->spec_text);
        j->done = j->pend = NULL;
        j->spec_text = NULL;
        /* What is left on record of its bookings goes once they are proven gone. */
        for (int c = 0; j->n_runs > 0 && c < bookings_chunks(j); c++)
            if (j->runs[c] & 1) jobs_touch(j, c * bookings_chunk());
    }
    jobs_list(j);
    bookings_job_changed(j);
}

void jobs_mark_done(struct job *j, int task) {
    if (!j->pend || task >= j->spec.tasks) return;
    /* A gang completes together: one task's word is enough for all. */
    for (int i = j->spec.shape == JOB_GROUP ? 0 : task; i < (j->spec.shape == JOB_GROUP ? j->spec.tasks : task + 1);
         i++)
        if (!jobs_bit(j->pend, i)) {
            j->pend[i / 8] |= (uint8_t)(1 << (i % 8));
            j->n_pend++;
            jobs_touch(j, i);
        }
}

bool jobs_complete(const struct job *j) {
    return j->state == JOB_QUEUED && j->known && j->spec.shape != JOB_STANDING && j->n_pend == j->spec.tasks;
}

cJSON *jobs_value(const char *spec_text, const char *state, double at) {
    cJSON *o = cJSON_CreateObject();
    /* Parsed, not raw: the same value is applied to our own records once it is written. */
    cJSON_AddItemToObject(o, "spec", cJSON_Parse(spec_text));
    cJSON_AddStringToObject(o, "state", state);
    cJSON_AddNumberToObject(o, "at", at);
    return o;
}

/* ---- the users' interface ---- */

enum ask_kind { ASK_SUBMIT, ASK_POLL, ASK_CANCEL };
struct ask {
    enum ask_kind kind;
    struct http_req *req;
    char uid[64];
    char *spec_text;
    unsigned refusal; /* 400 or 422, unless the job is known; 0: none */
    char why[128];
    struct timespec came;
};

/* Two queues with a thread each, so that a burst of submissions does not hold up polls. */
struct lane {
    pthread_mutex_t lock;
    pthread_cond_t cond;
    GQueue *q;
};
static struct lane lanes[2];
#define ASKS_MOST 400
#define POLL_S 2.0 /* users wait no longer for the answer to a poll */

static pthread_mutex_t latency_lock = PTHREAD_MUTEX_INITIALIZER;
static gsl_histogram *latency; /* of log10 of milliseconds, from 0.1 ms to 100 s */

static void note_latency(struct timespec came) {
    double ms = MAX(base_since(came) * 1000, 0.11);
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

void jobs_latency(int *answers, double *median_ms, double *p95_ms) {
    pthread_mutex_lock(&latency_lock);
    *answers = (int)gsl_histogram_sum(latency);
    *median_ms = *answers ? quantile(0.5) : 0;
    *p95_ms = *answers ? quantile(0.95) : 0;
    gsl_histogram_reset(latency);
    pthread_mutex_unlock(&latency_lock);
}

static void ask_free(struct ask *a) {
    note_latency(a->came);
    g_free(a->spec_text);
    g_free(a);
}

static const char *state_name(const struct job *j, int *running) {
    *running = 0;
    if (j->state == JOB_DONE) return "done";
    if (j->state == JOB_CANCELLED) return "cancelled";
    return jobs_running(j, running) ? "running" : "queued";
}

bool jobs_running(const struct job *j, int *running) {
    int n = 0;
    for (guint i = 0; i < j->bookings->len; i++) n += !((struct booking *)j->bookings->pdata[i])->over;
    *running = n;
    return n > 0;
}

static void reply_job(struct http_req *r, unsigned status, const char *uid, const char *state, int done, int running) {
    char body[200];
    snprintf(body, sizeof body, "{\"uid\":\"%s\",\"state\":\"%s\",\"done\":%d,\"running\":%d}", uid, state, done,
             running);
    http_reply(r, status, body, 0);
}

static void refuse(struct http_req *r, unsigned status, const char *why, int after) {
    char body[256];
    snprintf(body, sizeof body, "{\"error\":\"%s\"}", why);
    http_reply(r, status, body, after);
}

/* Answers from the record, which the caller has just seen confirmed. */
static void answer_known(struct ask *a, const struct job *j) {
    int running;
    const char *s = state_name(j, &running);
    reply_job(a->req, 200, a->uid, s, j->n_done, running);
}

static void push(int lane, struct ask *a) {
    struct lane *l = &lanes[lane];
    pthread_mutex_lock(&l->lock);
    bool full = l->q->length >= ASKS_MOST;
    if (!full) {
        http_hold(a->req);
        g_queue_push_tail(l->q, a);
        pthread_cond_signal(&l->cond);
    }
    pthread_mutex_unlock(&l->lock);
    if (full) {
        refuse(a->req, 429, "too many requests wait here", 2);
        ask_free(a);
    }
}

static void on_submit(struct http_req *r) {
    size_t len;
    const char *body = http_body(r, &len);
    struct job_spec spec;
    char field[64] = "body", why[128] = "";
    if (http_too_large(r)) {
        refuse(r, 400, "body: above 64 KiB", 0);
        return;
    }
    unsigned refusal = (unsigned)jobs_parse(body, len, cfg, &spec, field, sizeof field);
    cJSON *o = cJSON_ParseWithLength(body, len);
    const char *uid = base_str(o, "uid");
    if (refusal) snprintf(why, sizeof why, "%s: missing or invalid", field);
    if (refusal && !jobs_uid_ok(uid)) {
        refuse(r, refusal, why, 0);
        cJSON_Delete(o);
        return;
    }
    /* An accepted job is known whatever its repetition looks like: a refusal waits until the store has shown that the
     * id is nobody's. */
    struct ask *a = g_new0(struct ask, 1);
    a->kind = ASK_SUBMIT;
    a->req = r;
    a->came = base_now();
    a->refusal = refusal;
    g_strlcpy(a->uid, uid, sizeof a->uid);
    store_lock();
    struct job *j = jobs_find(a->uid);
    bool terminal = j && j->known && j->state != JOB_QUEUED, known = j && j->known;
    bool away = store_away(), ready = !away && (known || refusal || cloud_flavours_known());
    if (terminal) answer_known(a, j);
    if (!known && ready && !refusal)
        a->refusal = (unsigned)jobs_feasible(&spec, cfg, cloud_flavours(), cloud_flavours_count(), why, sizeof why);
    store_unlock();
    g_strlcpy(a->why, why, sizeof a->why);
    jobs_spec_clear(&spec);
    if (terminal) {
        ask_free(a);
    } else if (!ready) {
        refuse(r, 503, away ? "the state service is out of reach" : "machine types are not known yet", away ? 2 : 1);
        ask_free(a);
    } else {
        a->spec_text = cJSON_PrintUnformatted(o);
        push(0, a);
    }
    cJSON_Delete(o);
}

bool jobs_route(struct http_req *r) {
    const char *p = http_path(r), *m = http_method(r);
    if (strcmp(p, "/work") == 0) {
        if (strcmp(m, "POST") == 0)
            on_submit(r);
        else
            refuse(r, 405, "method not allowed", 0);
        return true;
    }
    if (strncmp(p, "/work/", 6) != 0) return false;
    char uid[64];
    const char *slash = strchr(p + 6, '/');
    bool cancel = slash && strcmp(slash, "/cancel") == 0;
    if ((slash && !cancel) || strlen(p + 6) >= sizeof uid + 7) {
        refuse(r, 404, "no such path", 0);
        return true;
    }
    g_strlcpy(uid, p + 6, slash ? MIN(sizeof uid, (size_t)(slash - p - 6) + 1) : sizeof uid);
    if (strcmp(m, cancel ? "POST" : "GET") != 0) {
        refuse(r, 405, "method not allowed", 0);
        return true;
    }
    if (!jobs_uid_ok(uid)) {
        refuse(r, 404, "no such job", 0);
        return true;
    }
    struct ask *a = g_new0(struct ask, 1);
    a->kind = cancel ? ASK_CANCEL : ASK_POLL;
    a->req = r;
    a->came = base_now();
    g_strlcpy(a->uid, uid, sizeof a->uid);
    store_lock();
    struct job *j = jobs_find(uid);
    bool terminal = j && j->known && j->state != JOB_QUEUED, ready = !store_away();
    if (terminal) answer_known(a, j);
    store_unlock();
    if (terminal) {
        ask_free(a);
    } else if (!ready) {
        /* At once: asking a store that is out of reach would only use up the time that the user waits. */
        refuse(r, 503, "the state service is out of reach", 2);
        ask_free(a);
    } else {
        push(cancel ? 0 : 1, a);
    }
    return true;
}

static void gather(struct lane *l, GPtrArray *batch, guint most) {
    pthread_mutex_lock(&l->lock);
    while (l->q->length == 0) base_cond_wait(&l->cond, &l->lock, base_span(10));
    while (batch->len < most && l->q->length) g_ptr_array_add(batch, g_queue_pop_head(l->q));
    pthread_mutex_unlock(&l->lock);
}

/* Polls: one compare-only transaction answers for a whole batch. */
static void *poll_main(void *arg) {
    (void)arg;
    struct http_client *c = http_client_new();
    GPtrArray *batch = g_ptr_array_new();
    for (;;) {
        g_ptr_array_set_size(batch, 0);
        gather(&lanes[1], batch, (guint)cfg->txn_ops * 4);
        struct store_txn t;
        struct store_answer ans;
        char key[96];
        store_txn_init(&t);
        store_lock();
        for (guint i = 0; i < batch->len; i++) {
            struct ask *a = batch->pdata[i];
            snprintf(key, sizeof key, "job/%s", a->uid);
            store_txn_if(&t, key, store_stamp(key));
        }
        store_unlock();
        enum store_result rc = store_multi(c, STORE_ACCEPT, &t, &ans);
        if (rc == STORE_CONFLICT)
            for (guint i = 0; i < ans.failed->len; i++) store_refresh(c, ans.failed->pdata[i]);
        for (guint i = 0; i < batch->len; i++) {
            struct ask *a = batch->pdata[i];
            if (rc != STORE_OK && rc != STORE_CONFLICT) {
                refuse(a->req, 503, "the state service is out of reach", 2);
            } else if (base_since(a->came) > POLL_S) {
                /* We stood still or are far behind: what was confirmed may be old by now. */
                refuse(a->req, 503, "the answer took too long", 1);
            } else {
                /* After a conflict the failed keys were read again, at a revision after the question came. A read
                 * that failed leaves the older record: then it is not known, so not told. */
                snprintf(key, sizeof key, "job/%s", a->uid);
                store_lock();
                struct job *j = jobs_find(a->uid);
                bool moved = false;
                for (guint f = 0; rc == STORE_CONFLICT && f < ans.failed->len; f++)
                    if (strcmp(ans.failed->pdata[f], key) == 0) {
                        const cJSON *x;
                        int64_t was = -1;
                        cJSON_ArrayForEach(x, t.conds) if (!strcmp(base_str(x, "path"), key))
                            base_int(x, "stamp", &was);
                        moved = store_stamp(key) == was;
                    }
                if (moved)
                    refuse(a->req, 503, "the state service did not answer", 1);
                else if (j && j->known)
                    answer_known(a, j);
                else
                    refuse(a->req, 404, "no such job", 0);
                store_unlock();
            }
            ask_free(a);
        }
        store_answer_clear(&ans);
        store_txn_free(&t);
    }
    return NULL;
}

/* Fills the transaction for one round of submissions and cancels; a job known by now needs a compare only. */
static void accept_fill(GPtrArray *batch, struct store_txn *t) {
    char key[96];
    for (guint i = 0; i < batch->len; i++) {
        struct ask *a = batch->pdata[i];
        snprintf(key, sizeof key, "job/%s", a->uid);
        struct job *j = jobs_find(a->uid);
        bool twice = false;
        for (guint k = 0; k < i; k++) twice |= strcmp(((struct ask *)batch->pdata[k])->uid, a->uid) == 0;
        store_txn_if(t, key, store_stamp(key));
        if (twice) continue;
        if (a->kind == ASK_SUBMIT && !(j && j->known) && !a->refusal) {
            store_txn_set(t, key, jobs_value(a->spec_text, "queued", base_time_of_day()), 0);
        } else if (a->kind == ASK_CANCEL && j && j->known && j->state == JOB_QUEUED) {
            store_txn_set(t, key, jobs_value(j->spec_text, "cancelled", j->submitted), 0);
        }
    }
}

static void accept_answer(GPtrArray *batch, enum store_result rc, struct store_txn *t) {
    for (guint i = 0; i < batch->len; i++) {
        struct ask *a = batch->pdata[i];
        char key[96];
        snprintf(key, sizeof key, "job/%s", a->uid);
        if (rc != STORE_OK) {
            store_lock();
            bool away = store_away();
            store_unlock();
            if (rc == STORE_REFUSED && !away)
                refuse(a->req, 429, "over the write budget", 1);
            else
                refuse(a->req, 503, "the state service did not answer", 2);
            ask_free(a);
            continue;
        }
        bool wrote = false;
        const cJSON *x;
        cJSON_ArrayForEach(x, t->ops) wrote |= strcmp(base_str(x, "set"), key) == 0;
        store_lock();
        struct job *j = jobs_find(a->uid);
        if (a->kind == ASK_SUBMIT) {
            if (j && j->known && !wrote)
                answer_known(a, j);
            else if (j && j->known)
                reply_job(a->req, 201, a->uid, "queued", 0, 0);
            else
                refuse(a->req, a->refusal, a->why, 0);
        } else if (j && j->known) {
            if (j->state == JOB_QUEUED) {
                refuse(a->req, 503, "not decided yet", 1);
            } else {
                j->told_cancelled = j->state == JOB_CANCELLED;
                answer_known(a, j);
            }
        } else {
            refuse(a->req, 404, "no such job", 0);
        }
        store_unlock();
        ask_free(a);
    }
}

static void *accept_main(void *arg) {
    (void)arg;
    struct http_client *c = http_client_new();
    GPtrArray *batch = g_ptr_array_new();
    for (;;) {
        g_ptr_array_set_size(batch, 0);
        gather(&lanes[0], batch, (guint)cfg->txn_ops);
        enum store_result rc = STORE_REFUSED;
        struct store_txn t;
        store_txn_init(&t);
        bool cancels = false;
        for (guint i = 0; i < batch->len; i++) cancels |= ((struct ask *)batch->pdata[i])->kind == ASK_CANCEL;
        struct timespec began = base_now();
        for (int attempt = 0; attempt < 4; attempt++) {
            struct store_answer ans;
            store_txn_free(&t);
            store_txn_init(&t);
            store_lock();
            accept_fill(batch, &t);
            store_unlock();
            rc = store_multi(c, cancels ? STORE_CANCEL : STORE_ACCEPT, &t, &ans);
            if (rc == STORE_OK) {
                const cJSON *x;
                store_lock();
                cJSON_ArrayForEach(x, t.ops)
                    store_apply(base_str(x, "set"), cJSON_GetObjectItemCaseSensitive(x, "data"), ans.epoch);
                store_unlock();
                if (t.writes) peers_hint();
            } else if (rc == STORE_CONFLICT) {
                for (guint i = 0; i < ans.failed->len; i++) store_refresh(c, ans.failed->pdata[i]);
            } else if (rc == STORE_UNKNOWN) {
                /* The answer is lost: the keys tell whether it was applied. What may yet be applied late is a
                 * submission that its user repeats, or a cancel that its user repeats. */
                const cJSON *x;
                cJSON_ArrayForEach(x, t.ops) store_refresh(c, base_str(x, "set"));
            }
            store_answer_clear(&ans);
            if (rc == STORE_REFUSED && base_since(began) < 0.5) {
                /* Over the rate, not out of reach: the next round's writes go in a moment. Sent away, the user would be
                 * back a second later at the earliest. */
                store_lock();
                bool away = store_away();
                store_unlock();
                if (away) break;
                base_sleep(base_span(0.08));
                attempt--;
                continue;
            }
            if (rc == STORE_OK || rc == STORE_REFUSED || rc == STORE_BAD || base_since(began) > 1.5) break;
        }
        accept_answer(batch, rc, &t);
        store_txn_free(&t);
    }
    return NULL;
}

void jobs_init(const struct settings *s) {
    cfg = s;
    all = g_hash_table_new(g_str_hash, g_str_equal);
    active = g_ptr_array_new();
    for (int k = 0; k < 64; k++) {
        active_of[k] = g_ptr_array_new();
        ended_of[k] = g_ptr_array_new();
    }
    store_observe("job/", apply_job);
}

void jobs_start(void) {
    latency = gsl_histogram_alloc(60);
    gsl_histogram_set_ranges_uniform(latency, -1, 5);
    for (int i = 0; i < 2; i++) {
        pthread_mutex_init(&lanes[i].lock, NULL);
        base_cond_init(&lanes[i].cond);
        lanes[i].q = g_queue_new();
    }
    base_thread(accept_main, NULL);
    base_thread(poll_main, NULL);
}
