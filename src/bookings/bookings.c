#include "bookings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../clock/clock.h"
#include "../failures/failures.h"
#include "../json/json.h"
#include "../logging/logging.h"
#include "../rounds/rounds.h"
#include "../schema_version/schema_version.h"
#include "../workers/workers.h"

static const struct settings *cfg;

/* An entry takes up to 24 bytes with names of usual length; what is longer is cut off by bookings_value's caller, who
 * plans no more for a chunk that is full. */
#define ENTRY_BYTES 24
#define RECORD_BYTES 256 /* all else in a record */
#define STRETCH_LEAST 8  /* bits of done tasks are kept in whole bytes */
#define STRETCH_MOST 4096

static int stretch_for(double value_kb) {
    int entries = (int)((value_kb * 1024 - RECORD_BYTES) / ENTRY_BYTES);
    return CLAMP(entries, STRETCH_LEAST, STRETCH_MOST) / STRETCH_LEAST * STRETCH_LEAST;
}

int bookings_first_stretch(void) { return stretch_for(cfg->value_kb); }
int bookings_stretch(const struct job *j) { return j->chunk_size ? j->chunk_size : bookings_first_stretch(); }
int bookings_chunks_of(const struct job *j, int stretch) { return (j->spec.tasks + stretch - 1) / stretch; }
int bookings_chunks(const struct job *j) { return bookings_chunks_of(j, bookings_stretch(j)); }
double bookings_value_most(void) { return 1024 * (schema_version_active() ? cfg->next_value_kb : cfg->value_kb); }

/* All records of a job change their stretch in one transaction, which also replaces what is on record in the old one.
 * A job for which that is too many keeps its stretch; its records are filled up to the next limit only. */
int bookings_write_stretch(const struct job *j) {
    int now = bookings_stretch(j), next = stretch_for(cfg->next_value_kb);
    if (!schema_version_active() || now <= next) return now;
    return j->n_recorded_chunks == 0 || bookings_chunks_of(j, next) <= cfg->txn_ops ? next : now;
}

void bookings_key(const struct job *j, int chunk, char *key, size_t n) {
    snprintf(key, n, "run/%s/%d", j->spec.job_id, chunk);
}

uint8_t *bookings_bits(const struct job *j) {
    uint8_t *bits = g_malloc0((gsize)j->spec.tasks / 8 + 1);
    for (guint i = 0; i < j->bookings->len; i++) {
        const struct booking *b = j->bookings->pdata[i];
        if (!b->over && b->task < j->spec.tasks) bits[b->task / 8] |= (uint8_t)(1 << (b->task % 8));
    }
    return bits;
}

int bookings_count(const struct job *j) {
    int n = 0;
    for (guint i = 0; i < j->bookings->len; i++) n += !((struct booking *)j->bookings->pdata[i])->over;
    return n;
}

int bookings_live(const struct machine *m) {
    int n = 0;
    for (guint i = 0; i < m->bookings->len; i++) n += !((struct booking *)m->bookings->pdata[i])->over;
    return n;
}

/* Asks a task to end; the first to ask decides with how much grace. */
void bookings_stop(struct booking *b, double grace_s) {
    if (b->stop) return;
    b->stop = true;
    b->grace_s = grace_s;
    b->m->kick = true;
}

void bookings_job_changed(struct job *j) {
    if (j->state != JOB_QUEUED)
        for (guint i = 0; i < j->bookings->len; i++) {
            struct booking *b = j->bookings->pdata[i];
            if (j->state == JOB_DONE && j->spec.kind == JOB_GANG) continue; /* they complete together */
            b->stop = true;
            b->grace_s = 0;
            b->m->kick = true;
        }
    rounds_kick();
    workers_kick();
}

bool bookings_read(const char **text, int64_t base, int *task, char *machine, size_t n, int64_t *attempt) {
    const char *p = *text + strspn(*text, " ");
    char *end;
    long t = strtol(p, &end, 10);
    if (end == p || *end != '@' || t < 0 || t >= JOB_TASKS_MAX) return false;
    const char *name = end + 1, *plus = strchr(name, '+');
    if (!plus || plus == name || (size_t)(plus - name) >= n) return false;
    gint64 delta = g_ascii_strtoll(plus + 1, &end, 10);
    if (end == plus + 1 || delta < 0 || (*end && *end != ' ')) return false;
    memcpy(machine, name, (size_t)(plus - name));
    machine[plus - name] = 0;
    *task = (int)t;
    *attempt = base + delta;
    *text = end;
    return true;
}

cJSON *bookings_value(const struct job *j, int chunk, int stretch, const GArray *plans, bool final) {
    int from = chunk * stretch, n = MIN(stretch, j->spec.tasks - from);
    int64_t base = INT64_MAX;
    for (guint i = 0; i < j->bookings->len; i++) {
        const struct booking *b = j->bookings->pdata[i];
        if (!b->over && b->task >= from && b->task < from + n) base = MIN(base, b->attempt);
    }
    for (guint i = 0; plans && i < plans->len; i++) {
        const struct placement_plan *p = &g_array_index(plans, struct placement_plan, i);
        if (p->j == j && p->task >= from && p->task < from + n) base = MIN(base, p->attempt);
    }
    char *done = j->reported_done && !final ? jobs_bits_text(j->reported_done, from, n) : NULL;
    bool any = done && strspn(done, "0") < strlen(done);
    int failed_tries = chunk == 0 && !final ? failures_to_record(j) : 0;
    if (base == INT64_MAX && !any && !failed_tries) {
        g_free(done);
        return NULL;
    }
    GString *b = g_string_new("");
    for (guint i = 0; i < j->bookings->len; i++) {
        const struct booking *x = j->bookings->pdata[i];
        if (x->over || x->task < from || x->task >= from + n) continue;
        g_string_append_printf(b, " %d@%s+%lld", x->task, x->m->id, (long long)(x->attempt - base));
    }
    for (guint i = 0; plans && i < plans->len; i++) {
        const struct placement_plan *p = &g_array_index(plans, struct placement_plan, i);
        if (p->j != j || p->task < from || p->task >= from + n) continue;
        g_string_append_printf(b, " %d@%s+%lld", p->task, p->m->id, (long long)(p->attempt - base));
    }
    cJSON *o = cJSON_CreateObject();
    /* From the second layout on every record names it, so that none depends on what the settings say some day. */
    if (stretch != bookings_first_stretch() || schema_version_active()) cJSON_AddNumberToObject(o, "n", stretch);
    if (any) cJSON_AddStringToObject(o, "d", done);
    if (failed_tries) cJSON_AddNumberToObject(o, "e", failed_tries);
    if (b->len) {
        cJSON_AddNumberToObject(o, "f", (double)base);
        cJSON_AddStringToObject(o, "b", b->str + 1);
    }
    g_string_free(b, TRUE);
    g_free(done);
    return o;
}

/* Removes one entry in constant time, whatever the number of a job's tasks; returns the last one, which takes its
 * place, if there is one. */
static struct booking *remove_at(GPtrArray *list, guint at) {
    g_ptr_array_remove_index_fast(list, at);
    return at < list->len ? list->pdata[at] : NULL;
}

static void booking_free(struct booking *b) {
    struct machine *m = b->m;
    /* Who may take the machine over some day knows its images from this. */
    if (b->job->spec.image && clock_seconds_since(b->booked) > 20 &&
        !g_hash_table_contains(m->images, b->job->spec.image))
        g_hash_table_add(m->images, g_strdup(b->job->spec.image));
    struct booking *moved = remove_at(b->job->bookings, b->at_job);
    if (moved) moved->at_job = b->at_job;
    moved = remove_at(m->bookings, b->at_machine);
    if (moved) moved->at_machine = b->at_machine;
    records_drop_stub(m);
    g_free(b);
}

bool bookings_differ(const struct job *j, int chunk) {
    int stretch = bookings_stretch(j), from = chunk * stretch, n = MIN(stretch, j->spec.tasks - from);
    bool live = false;
    for (guint i = 0; i < j->bookings->len; i++) {
        const struct booking *b = j->bookings->pdata[i];
        if (b->task < from || b->task >= from + n) continue;
        if (b->over) return true;
        live = true;
    }
    if (chunk == 0 && j->failed_tries_recorded != failures_to_record(j)) return true;
    if (j->reported_done && n > 0 && memcmp(j->done + from / 8, j->reported_done + from / 8, (size_t)(n + 7) / 8) != 0)
        return true;
    return j->state != JOB_QUEUED && !live && j->chunk_flags && (j->chunk_flags[chunk] & 1);
}

/* The stretch that a record names; the first layout's names none. One that is gone had that of the job's others. */
static int record_stretch(const struct job *j, const cJSON *data) {
    int64_t stretch = 0;
    if (!data) return bookings_stretch(j);
    if (!json_get_int64(data, "n", &stretch)) return bookings_first_stretch();
    return stretch >= STRETCH_LEAST && stretch <= STRETCH_MOST && stretch % STRETCH_LEAST == 0 ? (int)stretch : 0;
}

static void apply_run(const char *rest, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    char job_id[64], machine[64];
    const char *slash = strchr(rest, '/');
    if (!slash) return;
    g_strlcpy(job_id, rest, MIN(sizeof job_id, (size_t)(slash - rest) + 1));
    if (!job_id_valid(job_id)) return;
    struct job *j = jobs_find_or_stub(job_id);
    int size = record_stretch(j, data);
    if (size == 0) {
        log_error("run/%s: its stretch can't be read, the bookings known of it stay", rest);
        return;
    }
    int chunk = (int)g_ascii_strtoll(slash + 1, NULL, 10), from = chunk * size;
    if (chunk < 0 || chunk >= JOB_TASKS_MAX || from >= JOB_TASKS_MAX) return;
    jobs_set_chunk_size(j, size);
    jobs_set_chunk_recorded(j, chunk, data != NULL);
    const char *done = json_get_string(data, "d"), *text = json_get_string(data, "b");
    if (done) jobs_done_bits(j, done, from, size);
    int64_t failed_tries = 0;
    json_get_int64(data, "e", &failed_tries);
    if (chunk == 0) failures_read(j, (int)CLAMP(failed_tries, 0, INT32_MAX));
    int64_t base = 0, attempt;
    json_get_int64(data, "f", &base);
    struct booking **at = g_new0(struct booking *, (gsize)size);
    for (guint i = 0; i < j->bookings->len; i++) {
        struct booking *b = j->bookings->pdata[i];
        if (b->task >= from && b->task < from + size && (!at[b->task - from] || at[b->task - from]->over))
            at[b->task - from] = b;
    }
    bool *keep = g_new0(bool, (gsize)size);
    int task;
    while (text && bookings_read(&text, base, &task, machine, sizeof machine, &attempt)) {
        if (task < from || task >= from + size || keep[task - from]) continue;
        struct booking *b = at[task - from];
        keep[task - from] = true;
        if (b && b->attempt == attempt && strcmp(b->m->id, machine) == 0) continue;
        b = g_new0(struct booking, 1);
        b->job = j;
        b->m = records_find_or_stub(machine);
        b->task = task;
        b->attempt = attempt;
        b->booked = b->changed = clock_now();
        b->inherited = true; /* until a round says that it is its own */
        b->stop = j->state != JOB_QUEUED;
        b->m->had_task = true;
        b->at_job = j->bookings->len;
        b->at_machine = b->m->bookings->len;
        g_ptr_array_add(j->bookings, b);
        g_ptr_array_add(b->m->bookings, b);
        at[task - from] = b;
    }
    /* What follows a piece that can't be read is not known to be gone. */
    bool whole = !data || (cJSON_IsObject(data) && (!text || !text[strspn(text, " ")]));
    if (!whole) log_error("run/%s: can't be read in full, its other bookings stay", rest);
    for (guint i = j->bookings->len; whole && i-- > 0;) {
        struct booking *b = j->bookings->pdata[i];
        if (b->task < from || b->task >= from + size) continue;
        if (!keep[b->task - from] || at[b->task - from] != b) booking_free(b);
    }
    g_free(at);
    g_free(keep);
    /* What was reported while the record was under way is not in it. */
    if (bookings_differ(j, chunk)) jobs_mark_dirty(j, from);
    jobs_list(j);
}

void bookings_init(const struct settings *s) {
    cfg = s;
    store_observe_prefix("run/", apply_run);
}
