#include "allocations.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../clock/clock.h"
#include "../events/events.h"
#include "../json/json.h"
#include "../logging/logging.h"
#include "../quarantine/quarantine.h"
#include "../schema_version/schema_version.h"

static const struct settings *cfg;

double allocations_value_bytes_max(void) {
    return 1024 * (schema_version_active() ? cfg->next_value_kb : cfg->value_kb);
}

/* All records of a job change their chunk size in one transaction, which also replaces what is on record in the old
 * one. A job for which that is too many keeps its chunk size; its records are filled up to the next limit only. */
int allocations_next_chunk_size(const struct job *j) {
    int now = chunks_size(j), next = chunks_size_for(cfg->next_value_kb);
    if (!schema_version_active() || now <= next) return now;
    return j->n_recorded_chunks == 0 || chunks_count_of_size(j, next) <= cfg->txn_ops ? next : now;
}

uint8_t *allocations_task_bits(const struct job *j) {
    uint8_t *bits = g_malloc0((gsize)j->spec.tasks / 8 + 1);
    for (guint i = 0; i < j->allocations->len; i++) {
        const struct allocation *b = j->allocations->pdata[i];
        if (!b->released && b->task < j->spec.tasks) bits[b->task / 8] |= (uint8_t)(1 << (b->task % 8));
    }
    return bits;
}

int allocations_count(const struct job *j) {
    int n = 0;
    for (guint i = 0; i < j->allocations->len; i++) n += !((struct allocation *)j->allocations->pdata[i])->released;
    return n;
}

int allocations_on_machine(const struct machine *m) {
    int n = 0;
    for (guint i = 0; i < m->allocations->len; i++) n += !((struct allocation *)m->allocations->pdata[i])->released;
    return n;
}

int allocations_missing_tasks(const struct job *j) {
    int n = j->spec.tasks - j->n_reported_done;
    for (guint i = 0; i < j->allocations->len; i++) {
        const struct allocation *b = j->allocations->pdata[i];
        n -= !b->released && !jobs_bit(j->reported_done, b->task);
    }
    return n;
}

int64_t allocations_open_gang_attempt(const struct job *j) {
    int64_t attempt = 0;
    for (guint b = 0; b < j->allocations->len; b++) {
        const struct allocation *x = j->allocations->pdata[b];
        if (x->released) return 0; /* on record still, perhaps on the very machine that would be picked */
        if (attempt && x->attempt != attempt) return 0;
        attempt = x->attempt;
        if (x->stop_requested || !x->seen || (x->state != TASK_FETCHING && x->state != TASK_GATHERING)) return 0;
        if (clock_seconds_since(x->machine->liveness.last_heartbeat) >
            clock_to_seconds(cfg->heartbeat_interval) * 1.25 + 1)
            return 0;
    }
    return attempt;
}

/* Asks a task to end; the first to ask decides with how much grace. */
void allocations_request_stop(struct allocation *b, double grace_s) {
    if (b->stop_requested) return;
    b->stop_requested = true;
    b->grace_s = grace_s;
    b->machine->commands.wake = true;
}

static void job_applied(struct job *j) {
    if (j->state != JOB_QUEUED)
        for (guint i = 0; i < j->allocations->len; i++) {
            struct allocation *b = j->allocations->pdata[i];
            if (j->state == JOB_DONE && j->spec.kind == JOB_GANG) continue; /* they complete together */
            b->stop_requested = true;
            b->grace_s = 0;
            b->machine->commands.wake = true;
        }
    events_publish(EVENT_SCHEDULE);
    events_publish(EVENT_DISPATCH);
}

bool allocations_parse_entry(const char **text, int64_t base, int *task, char *machine, size_t n, int64_t *attempt) {
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

cJSON *allocations_value(const struct job *j, int chunk, int chunk_size, const GArray *plans, bool final) {
    int from = chunk * chunk_size, n = MIN(chunk_size, j->spec.tasks - from);
    int64_t base = INT64_MAX;
    for (guint i = 0; i < j->allocations->len; i++) {
        const struct allocation *b = j->allocations->pdata[i];
        if (!b->released && b->task >= from && b->task < from + n) base = MIN(base, b->attempt);
    }
    for (guint i = 0; plans && i < plans->len; i++) {
        const struct planned_task *p = &g_array_index(plans, struct planned_task, i);
        if (p->job == j && p->task >= from && p->task < from + n) base = MIN(base, p->attempt);
    }
    char *done = j->reported_done && !final ? jobs_bits_text(j->reported_done, from, n) : NULL;
    bool any = done && strspn(done, "0") < strlen(done);
    int failed_tries = chunk == 0 && !final ? quarantine_recorded_tries(j) : 0;
    if (base == INT64_MAX && !any && !failed_tries) {
        g_free(done);
        return NULL;
    }
    GString *b = g_string_new("");
    for (guint i = 0; i < j->allocations->len; i++) {
        const struct allocation *x = j->allocations->pdata[i];
        if (x->released || x->task < from || x->task >= from + n) continue;
        g_string_append_printf(b, " %d@%s+%lld", x->task, x->machine->id, (long long)(x->attempt - base));
    }
    for (guint i = 0; plans && i < plans->len; i++) {
        const struct planned_task *p = &g_array_index(plans, struct planned_task, i);
        if (p->job != j || p->task < from || p->task >= from + n) continue;
        g_string_append_printf(b, " %d@%s+%lld", p->task, p->machine->id, (long long)(p->attempt - base));
    }
    cJSON *o = cJSON_CreateObject();
    /* From the second layout on every record names it, so that none depends on what the settings say some day. */
    if (chunk_size != chunks_legacy_size() || schema_version_active()) cJSON_AddNumberToObject(o, "n", chunk_size);
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
static struct allocation *remove_at(GPtrArray *list, guint at) {
    g_ptr_array_remove_index_fast(list, at);
    return at < list->len ? list->pdata[at] : NULL;
}

static void allocation_free(struct allocation *b) {
    struct machine *m = b->machine;
    /* Who may take the machine over some day knows its images from this. */
    if (b->job->spec.image && clock_seconds_since(b->allocated_at) > 20 &&
        !g_hash_table_contains(m->images, b->job->spec.image))
        g_hash_table_add(m->images, g_strdup(b->job->spec.image));
    struct allocation *moved = remove_at(b->job->allocations, b->index_in_job);
    if (moved) moved->index_in_job = b->index_in_job;
    moved = remove_at(m->allocations, b->index_in_machine);
    if (moved) moved->index_in_machine = b->index_in_machine;
    machines_drop_stub(m);
    g_free(b);
}

bool allocations_chunk_dirty(const struct job *j, int chunk) {
    int chunk_size = chunks_size(j), from = chunk * chunk_size, n = MIN(chunk_size, j->spec.tasks - from);
    bool live = false;
    for (guint i = 0; i < j->allocations->len; i++) {
        const struct allocation *b = j->allocations->pdata[i];
        if (b->task < from || b->task >= from + n) continue;
        if (b->released) return true;
        live = true;
    }
    if (chunk == 0 && j->failed_tries_recorded != quarantine_recorded_tries(j)) return true;
    if (j->reported_done && n > 0 && memcmp(j->done + from / 8, j->reported_done + from / 8, (size_t)(n + 7) / 8) != 0)
        return true;
    return j->state != JOB_QUEUED && !live && j->chunk_flags && (j->chunk_flags[chunk] & 1);
}

/* The chunk size that a record names; the first layout's names none. One that is gone had that of the job's others. */
static int record_stretch(const struct job *j, const cJSON *data) {
    int64_t chunk_size = 0;
    if (!data) return chunks_size(j);
    if (!json_get_int64(data, "n", &chunk_size)) return chunks_legacy_size();
    return chunk_size >= CHUNK_SIZE_MIN && chunk_size <= CHUNK_SIZE_MAX && chunk_size % CHUNK_SIZE_MIN == 0
               ? (int)chunk_size
               : 0;
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
        log_error("run/%s: unreadable chunk size, its known allocations stay", rest);
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
    if (chunk == 0) quarantine_restore(j, (int)CLAMP(failed_tries, 0, INT32_MAX));
    int64_t base = 0, attempt;
    json_get_int64(data, "f", &base);
    struct allocation **at = g_new0(struct allocation *, (gsize)size);
    for (guint i = 0; i < j->allocations->len; i++) {
        struct allocation *b = j->allocations->pdata[i];
        if (b->task >= from && b->task < from + size && (!at[b->task - from] || at[b->task - from]->released))
            at[b->task - from] = b;
    }
    bool *keep = g_new0(bool, (gsize)size);
    int task;
    while (text && allocations_parse_entry(&text, base, &task, machine, sizeof machine, &attempt)) {
        if (task < from || task >= from + size || keep[task - from]) continue;
        struct allocation *b = at[task - from];
        keep[task - from] = true;
        if (b && b->attempt == attempt && strcmp(b->machine->id, machine) == 0) continue;
        b = g_new0(struct allocation, 1);
        b->job = j;
        b->machine = machines_find_or_stub(machine);
        b->task = task;
        b->attempt = attempt;
        b->allocated_at = b->state_since = clock_now();
        b->inherited = true; /* until a round says that it is its own */
        b->stop_requested = j->state != JOB_QUEUED;
        b->machine->had_task = true;
        b->index_in_job = j->allocations->len;
        b->index_in_machine = b->machine->allocations->len;
        g_ptr_array_add(j->allocations, b);
        g_ptr_array_add(b->machine->allocations, b);
        at[task - from] = b;
    }
    /* What follows a piece that can't be read is not known to be gone. */
    bool whole = !data || (cJSON_IsObject(data) && (!text || !text[strspn(text, " ")]));
    if (!whole) log_error("run/%s: can't be read in full, its other allocations stay", rest);
    for (guint i = j->allocations->len; whole && i-- > 0;) {
        struct allocation *b = j->allocations->pdata[i];
        if (b->task < from || b->task >= from + size) continue;
        if (!keep[b->task - from] || at[b->task - from] != b) allocation_free(b);
    }
    g_free(at);
    g_free(keep);
    /* What was reported while the record was under way is not in it. */
    if (allocations_chunk_dirty(j, chunk)) jobs_mark_dirty(j, from);
    jobs_list(j);
}

void allocations_init(const struct settings *s) {
    cfg = s;
    jobs_subscribe((struct jobs_observer){.applied = job_applied});
    store_observe_prefix(STORE_PREFIX_ALLOCATIONS, apply_run);
}
