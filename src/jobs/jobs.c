#include "jobs.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../clock/clock.h"
#include "../json/json.h"
#include "../logging/logging.h"
#include "../membership/membership.h"
#include "../model/allocation.h"
#include "chunks.h"

static const struct settings *cfg;
static GHashTable *all;   /* uid -> job */
static GPtrArray *active; /* oldest first */
static GPtrArray *active_of[64], *ended_of[64];

#define OBSERVERS_MAX 4

static struct jobs_observer observers[OBSERVERS_MAX];
static int n_observers;

void jobs_subscribe(struct jobs_observer observer) {
    g_assert(n_observers < OBSERVERS_MAX);
    observers[n_observers++] = observer;
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

struct job *jobs_find(const char *job_id) {
    return g_hash_table_lookup(all, job_id);
}
GPtrArray *jobs_active(void) { return active; }
static int home_of(const struct job *j) { return j->spec.team < 0 ? 0 : j->spec.team % cfg->size; }
int jobs_shard(const struct job *j) { return j->shard >= 0 ? j->shard : home_of(j); }

static int foreign; /* unfinished jobs in other shards than their teams' homes */
bool jobs_any_foreign(void) { return foreign > 0; }

struct job *jobs_find_or_stub(const char *job_id) {
    struct job *j = jobs_find(job_id);
    if (j) return j;
    j = g_new0(struct job, 1);
    g_strlcpy(j->spec.job_id, job_id, sizeof j->spec.job_id);
    j->spec.team = j->shard = -1;
    j->priority = PRIORITY_IDLE;
    j->deadline = INFINITY;
    j->allocations = g_ptr_array_new();
    j->eligible_since = clock_now();
    g_hash_table_insert(all, j->spec.job_id, j);
    return j;
}

static int older(gconstpointer a, gconstpointer b) {
    const struct job *x = *(struct job *const *)a, *y = *(struct job *const *)b;
    if (x->submitted < y->submitted) return -1;
    return x->submitted > y->submitted ? 1 : strcmp(x->spec.job_id, y->spec.job_id);
}

GPtrArray *jobs_active_of(int k) { return active_of[k]; }
GPtrArray *jobs_ended_of(int k) { return ended_of[k]; }

static void insert_sorted(GPtrArray *list, struct job *j) {
    guint at = list->len;
    while (at > 0 && older(&list->pdata[at - 1], &j) > 0) at--;
    g_ptr_array_insert(list, (gint)at, j);
}

void jobs_list(struct job *j) {
    bool is_active = j->known && j->state == JOB_QUEUED, is_ended = j->known && !is_active && j->n_recorded_chunks > 0;
    int k = jobs_shard(j);
    if (is_active != j->listed_active) {
        if (is_active) {
            insert_sorted(active, j);
            insert_sorted(active_of[k], j);
        } else {
            g_ptr_array_remove(active, j);
            g_ptr_array_remove(active_of[k], j);
        }
        foreign += j->shard < 0 ? 0 : is_active ? 1 : -1;
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
    if (!j->chunk_flags && j->spec.tasks > 0) j->chunk_flags = g_malloc0((gsize)chunks_count(j));
    return j->chunk_flags != NULL;
}

void jobs_set_chunk_size(struct job *j, int chunk_size) {
    if (chunks_size(j) == chunk_size) return;
    bool touched = j->n_dirty_chunks > 0;
    g_free(j->chunk_flags);
    j->chunk_flags = NULL;
    j->n_recorded_chunks = j->n_dirty_chunks = 0;
    j->chunk_size = chunk_size;
    for (int task = 0; touched && task < j->spec.tasks; task += chunk_size) jobs_mark_dirty(j, task);
}

void jobs_set_chunk_recorded(struct job *j, int chunk, bool there) {
    if (!runs_ready(j) || chunk >= chunks_count(j)) return;
    j->n_recorded_chunks += there - (j->chunk_flags[chunk] & 1);
    j->n_dirty_chunks -= (j->chunk_flags[chunk] & 2) != 0;
    j->chunk_flags[chunk] = there;
}

void jobs_mark_dirty(struct job *j, int task) {
    if (!runs_ready(j) || task < 0 || task >= j->spec.tasks) return;
    uint8_t *r = &j->chunk_flags[task / chunks_size(j)];
    if (*r & 2) return;
    if (j->n_dirty_chunks == 0) j->dirty_since = clock_now();
    *r |= 2;
    j->n_dirty_chunks++;
}

/* Counts the bits of so many tasks from one at the start of a byte. */
static int count_bits(const uint8_t *bits, int from, int n) {
    int count = 0;
    for (int i = from; i < from + n; i++) count += jobs_bit(bits, i);
    return count;
}

void jobs_done_bits(struct job *j, const char *bits, int from, int n) {
    if (!j->done || from >= j->spec.tasks) return;
    n = MIN(n, j->spec.tasks - from);
    int done_before = count_bits(j->done, from, n), pend_before = count_bits(j->reported_done, from, n);
    jobs_bits_read(bits, j->done, from, n);
    jobs_bits_read(bits, j->reported_done, from, n);
    j->n_done += count_bits(j->done, from, n) - done_before;
    j->n_reported_done += count_bits(j->reported_done, from, n) - pend_before;
}

/* Jobs with prerequisites stand under a name of their own: the first version, which knows none, must not start them
 * early. It finds no spec in such a record and leaves the job alone. */
#define SPEC "spec"
#define CHAINED_SPEC "chained_spec"
#define SHARE "share"

static const char *const state_names[] = {"queued", "done", "cancelled"};

static enum job_state state_of(const cJSON *data) {
    const char *state = json_get_string(data, "state");
    for (int i = JOB_DONE; i <= JOB_CANCELLED; i++)
        if (state && strcmp(state, state_names[i]) == 0) return (enum job_state)i;
    return JOB_QUEUED;
}

/* Reads what never changes in a job's record. */
static bool read_spec(struct job *j, const cJSON *data) {
    const cJSON *spec = cJSON_GetObjectItemCaseSensitive(data, SPEC);
    struct job_spec read;
    if (!spec) spec = cJSON_GetObjectItemCaseSensitive(data, CHAINED_SPEC);
    const char *invalid_field = job_spec_read(spec, cfg, &read);
    if (!invalid_field && strcmp(read.job_id, j->spec.job_id) != 0) invalid_field = JOB_SPEC_FIELD_ID;
    if (invalid_field) {
        log_error("job/%s: its %s can't be read", j->spec.job_id, invalid_field);
        job_spec_clear(&read);
        return false;
    }
    j->spec = read;
    j->known = true;
    j->spec_text = cJSON_PrintUnformatted(spec);
    j->submitted = json_get_double(data, "at", 0);
    j->done = g_malloc0((gsize)j->spec.tasks / 8 + 1);
    j->reported_done = g_malloc0((gsize)j->spec.tasks / 8 + 1);
    return true;
}

/* The shard that a record names: only one of a divided team's job does. */
static int shard_of(const cJSON *data) {
    int64_t shard = -1;
    return json_get_int64(data, SHARE, &shard) && shard >= 0 && shard < cfg->size ? (int)shard : -1;
}

/* Takes the job out of the lists of one shard and into those of another. */
static void enter_shard(struct job *j, int shard) {
    if (shard == j->shard) return;
    if (j->listed_active) {
        g_ptr_array_remove(active_of[jobs_shard(j)], j);
        foreign += (shard >= 0) - (j->shard >= 0);
    }
    if (j->listed_ended) g_ptr_array_remove_fast(ended_of[jobs_shard(j)], j);
    j->shard = shard;
    if (j->listed_active) insert_sorted(active_of[jobs_shard(j)], j);
    if (j->listed_ended) g_ptr_array_add(ended_of[jobs_shard(j)], j);
}

/* A final state is all that is asked for from now on. */
static void enter_final_state(struct job *j, enum job_state state) {
    j->state = state;
    j->ended = clock_now();
    if (membership_owns(jobs_shard(j)))
        log_info("job %s (%s, %d tasks, estimate %.0f s) is %s %.1f s after submission, %.1f s after it was ready",
                 j->spec.job_id, j->spec.job_class, j->spec.tasks, j->spec.runtime_s, state_names[state],
                 clock_time_of_day() - j->submitted, j->ready > 0 ? clock_time_of_day() - j->ready : 0);
    if (state == JOB_DONE) j->n_done = j->spec.tasks;
    g_free(j->done);
    g_free(j->reported_done);
    free(j->spec_text);
    j->done = j->reported_done = NULL;
    j->spec_text = NULL;
    /* What is left on record of its allocations goes once they are proven gone. */
    for (int c = 0; j->n_recorded_chunks > 0 && c < chunks_count(j); c++)
        if (j->chunk_flags[c] & 1) jobs_mark_dirty(j, c * chunks_size(j));
}

static void apply_job(const char *job_id, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    if (!data || !job_id_valid(job_id)) return;
    struct job *j = jobs_find_or_stub(job_id);
    bool first = !j->known;
    if (first && !read_spec(j, data)) return;
    enter_shard(j, shard_of(data));
    enum job_state state = state_of(data);
    bool ends = j->state == JOB_QUEUED && state != JOB_QUEUED;
    if (ends) {
        j->finished = state == JOB_DONE ? json_get_double(data, "end", 0) : 0;
        enter_final_state(j, state);
    }
    for (int i = 0; first && i < n_observers; i++)
        if (observers[i].added) observers[i].added(j);
    for (int i = 0; ends && i < n_observers; i++)
        if (observers[i].ended) observers[i].ended(j);
    jobs_list(j);
    for (int i = 0; i < n_observers; i++)
        if (observers[i].applied) observers[i].applied(j);
}

void jobs_mark_done(struct job *j, int task) {
    if (!j->reported_done || task >= j->spec.tasks) return;
    /* A gang completes together: one task's word is enough for all. */
    for (int i = j->spec.kind == JOB_GANG ? 0 : task; i < (j->spec.kind == JOB_GANG ? j->spec.tasks : task + 1); i++)
        if (!jobs_bit(j->reported_done, i)) {
            j->reported_done[i / 8] |= (uint8_t)(1 << (i % 8));
            j->n_reported_done++;
            jobs_mark_dirty(j, i);
        }
}

bool jobs_complete(const struct job *j) {
    return j->state == JOB_QUEUED && j->known && j->spec.kind != JOB_SERVICE && j->n_reported_done == j->spec.tasks;
}

static cJSON *value_of(cJSON *spec, enum job_state state, double at, int shard) {
    cJSON *o = cJSON_CreateObject();
    bool chained = job_spec_names_prerequisites(spec);
    cJSON_AddItemToObject(o, chained ? CHAINED_SPEC : SPEC, spec);
    cJSON_AddStringToObject(o, "state", state_names[state]);
    cJSON_AddNumberToObject(o, "at", at);
    int team = job_spec_read_team(spec, cfg);
    /* Of an undivided team's job it is left out, so that its record is the one that all versions know. */
    if (team >= 0 && shard >= 0 && shard != team % cfg->size) cJSON_AddNumberToObject(o, SHARE, shard);
    return o;
}

cJSON *jobs_value(const char *spec_text, enum job_state state, double at, int shard) {
    /* Parsed, not raw: the same value is applied to our own records once it is written. */
    return value_of(cJSON_Parse(spec_text), state, at, shard);
}

cJSON *jobs_moved_value(const struct job *j, int shard) {
    return jobs_value(j->spec_text, j->state, j->submitted, shard);
}

/* All else in a record: names, state, two times and a shard. */
#define RECORD_BYTES 100

size_t jobs_record_bytes_max(void) { return (size_t)(cfg->next_value_kb * 1024); }
size_t jobs_record_bytes(const char *spec_text) { return strlen(spec_text) + RECORD_BYTES; }

cJSON *jobs_final_value(const struct job *j, enum job_state state) {
    cJSON *spec = cJSON_Parse(j->spec_text);
    /* Accepted by the first version under the present limit, it may be too large to be rewritten under the next. */
    if (jobs_record_bytes(j->spec_text) > jobs_record_bytes_max()) job_spec_keep_required(spec);
    cJSON *o = value_of(spec, state, j->submitted, j->shard);
    /* From when on the times of jobs that need it count, for whoever owns them by then. */
    if (state == JOB_DONE) cJSON_AddNumberToObject(o, "end", clock_time_of_day());
    return o;
}

bool jobs_running(const struct job *j, int *running) {
    int n = 0;
    for (guint i = 0; i < j->allocations->len; i++) n += !((struct allocation *)j->allocations->pdata[i])->released;
    *running = n;
    return n > 0;
}

const char *jobs_state_name(const struct job *j, int *running) {
    *running = 0;
    if (j->state != JOB_QUEUED) return state_names[j->state];
    return jobs_running(j, running) ? "running" : state_names[JOB_QUEUED];
}

void jobs_init(const struct settings *s) {
    cfg = s;
    chunks_init(s);
    all = g_hash_table_new(g_str_hash, g_str_equal);
    active = g_ptr_array_new();
    for (int k = 0; k < 64; k++) {
        active_of[k] = g_ptr_array_new();
        ended_of[k] = g_ptr_array_new();
    }
    store_observe_prefix(STORE_PREFIX_JOB, apply_job);
}
