#include "records.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../quarantine/quarantine.h"
#include "../schema_version/schema_version.h"
#include "codec.h"

#define BITS_PER_BYTE 8
#define IMAGE_CACHED_S 20 /* a machine on which a task was allocated for so long has fetched its image */

static const struct settings *record_settings;

/* ---- chunks ---- */

double allocations_value_bytes_max(void) {
    return 1024 * (schema_version_active() ? record_settings->next_value_kb : record_settings->value_kb);
}

/* All records of a job change their chunk size in one transaction, which also replaces what is on record in the old
 * one. A job for which that is too many keeps its chunk size; its records are filled up to the next limit only. */
int allocations_next_chunk_size(const struct job *job) {
    int now = chunks_size(job), next = chunks_size_for(record_settings->next_value_kb);
    if (!schema_version_active() || now <= next) return now;
    bool one_transaction = chunks_count_of_size(job, next) <= record_settings->txn_ops;
    return job->n_recorded_chunks == 0 || one_transaction ? next : now;
}

/* Tasks from the first up to, and without, the end. */
struct task_range {
    int first, end;
};

static bool in_range(struct task_range range, int task) { return task >= range.first && task < range.end; }

static struct task_range chunk_tasks(const struct job *job, int chunk, int chunk_size) {
    int first = chunk * chunk_size;
    return (struct task_range){first, MIN(first + chunk_size, job->spec.tasks)};
}

static bool done_bits_differ(const struct job *job, struct task_range range) {
    if (!job->reported_done || range.end <= range.first) return false;
    size_t first_byte = (size_t)range.first / BITS_PER_BYTE;
    size_t bytes = ((size_t)(range.end - range.first) + BITS_PER_BYTE - 1) / BITS_PER_BYTE;
    return memcmp(job->done + first_byte, job->reported_done + first_byte, bytes) != 0;
}

bool allocations_chunk_dirty(const struct job *job, int chunk) {
    const struct task_range range = chunk_tasks(job, chunk, chunks_size(job));
    bool allocated = false;
    for (guint i = 0; i < job->allocations->len; i++) {
        const struct allocation *allocation = job->allocations->pdata[i];
        if (!in_range(range, allocation->task)) continue;
        if (allocation->released) return true;
        allocated = true;
    }
    if (chunk == 0 && job->failed_tries_recorded != quarantine_recorded_tries(job)) return true;
    if (done_bits_differ(job, range)) return true;
    return job->state != JOB_QUEUED && !allocated && job->chunk_flags && (job->chunk_flags[chunk] & CHUNK_RECORDED);
}

/* ---- values ---- */

/* The lowest attempt of what the record is to hold; INT64_MAX: it holds no allocation. */
static int64_t lowest_attempt(const struct job *job, struct task_range range, const GArray *plans) {
    int64_t lowest = INT64_MAX;
    for (guint i = 0; i < job->allocations->len; i++) {
        const struct allocation *allocation = job->allocations->pdata[i];
        if (!allocation->released && in_range(range, allocation->task)) lowest = MIN(lowest, allocation->attempt);
    }
    for (guint i = 0; plans && i < plans->len; i++) {
        const struct planned_task *plan = &g_array_index(plans, struct planned_task, i);
        if (plan->job == job && in_range(range, plan->task)) lowest = MIN(lowest, plan->attempt);
    }
    return lowest;
}

static GString *write_entries(const struct job *job, struct task_range range, const GArray *plans, int64_t base) {
    GString *entries = g_string_new("");
    for (guint i = 0; i < job->allocations->len; i++) {
        const struct allocation *allocation = job->allocations->pdata[i];
        if (allocation->released || !in_range(range, allocation->task)) continue;
        allocation_entry_write(entries, allocation->task, allocation->machine->id, allocation->attempt, base);
    }
    for (guint i = 0; plans && i < plans->len; i++) {
        const struct planned_task *plan = &g_array_index(plans, struct planned_task, i);
        if (plan->job != job || !in_range(range, plan->task)) continue;
        allocation_entry_write(entries, plan->task, plan->machine->id, plan->attempt, base);
    }
    return entries;
}

/* The bits of the tasks that are done, to be freed; NULL: none is. */
static char *write_done(const struct job *job, struct task_range range) {
    if (!job->reported_done) return NULL;
    char *done = task_bits_text(job->reported_done, range.first, range.end - range.first);
    if (strspn(done, "0") < strlen(done)) return done;
    g_free(done);
    return NULL;
}

cJSON *allocations_value(const struct job *job, int chunk, int chunk_size, const GArray *plans,
                         enum allocations_value_kind kind) {
    const struct task_range range = chunk_tasks(job, chunk, chunk_size);
    int64_t base_attempt = lowest_attempt(job, range, plans);
    bool any_entry = base_attempt < INT64_MAX;
    g_autofree char *done = kind == ALLOCATIONS_OF_OPEN_JOB ? write_done(job, range) : NULL;
    int failed_tries = chunk == 0 && kind == ALLOCATIONS_OF_OPEN_JOB ? quarantine_recorded_tries(job) : 0;
    if (!any_entry && !done && !failed_tries) return NULL;

    GString *entries = write_entries(job, range, plans, base_attempt);
    const struct allocation_record record = {
        /* From the second layout on every record names it, so that none depends on what the settings say some day. */
        .names_chunk_size = chunk_size != chunks_legacy_size() || schema_version_active(),
        .chunk_size = chunk_size,
        .done = done,
        .failed_tries = failed_tries,
        .base_attempt = base_attempt,
        .entries = any_entry ? entries->str : NULL,
    };
    cJSON *value = allocation_record_write(&record);
    g_string_free(entries, TRUE);
    return value;
}

cJSON *allocations_empty_value(int chunk_size) {
    const struct allocation_record record = {.names_chunk_size = true, .chunk_size = chunk_size};
    return allocation_record_write(&record);
}

/* ---- allocations, as records name them ---- */

static struct allocation *allocation_new(struct job *job, const struct allocation_entry *entry) {
    struct allocation *allocation = g_new0(struct allocation, 1);
    struct machine *machine = machines_find_or_stub(entry->machine_id);
    allocation->job = job;
    allocation->machine = machine;
    allocation->task = entry->task;
    allocation->attempt = entry->attempt;
    allocation->allocated_at = allocation->state_since = clock_now();
    allocation->inherited = true; /* until a scheduling round finds that it decided on it */
    allocation->stop_requested = job->state != JOB_QUEUED;
    allocation->index_in_job = job->allocations->len;
    allocation->index_in_machine = machine->allocations->len;
    machine->had_task = true;
    g_ptr_array_add(job->allocations, allocation);
    g_ptr_array_add(machine->allocations, allocation);
    return allocation;
}

/* Removes an element in constant time, whatever the number of a job's tasks; returns the last one, which takes its
 * place, if there is one. */
static struct allocation *remove_index(GPtrArray *list, guint index) {
    g_ptr_array_remove_index_fast(list, index);
    return index < list->len ? list->pdata[index] : NULL;
}

static void allocation_free(struct allocation *allocation) {
    struct machine *machine = allocation->machine;
    const char *image = allocation->job->spec.image;
    /* Who may take the machine over some day knows its images from this. */
    if (image && clock_seconds_since(allocation->allocated_at) > IMAGE_CACHED_S &&
        !g_hash_table_contains(machine->images, image))
        g_hash_table_add(machine->images, g_strdup(image));
    struct allocation *moved = remove_index(allocation->job->allocations, allocation->index_in_job);
    if (moved) moved->index_in_job = allocation->index_in_job;
    moved = remove_index(machine->allocations, allocation->index_in_machine);
    if (moved) moved->index_in_machine = allocation->index_in_machine;
    machines_drop_stub(machine);
    g_free(allocation);
}

/* ---- records, as they are read ---- */

/* A chunk whose record is taken in. The arrays have an element for each of its tasks. */
struct chunk_update {
    struct job *job;
    struct task_range range;
    struct allocation **current; /* the task's allocation; NULL: none */
    bool *named;                 /* by the record */
};

static void update_begin(struct chunk_update *update, struct job *job, int first_task, int size) {
    update->job = job;
    update->range = (struct task_range){first_task, first_task + size};
    update->current = g_new0(struct allocation *, (gsize)size);
    update->named = g_new0(bool, (gsize)size);
    for (guint i = 0; i < job->allocations->len; i++) {
        struct allocation *allocation = job->allocations->pdata[i];
        if (!in_range(update->range, allocation->task)) continue;
        struct allocation **current = &update->current[allocation->task - first_task];
        if (!*current || (*current)->released) *current = allocation;
    }
}

static void update_end(struct chunk_update *update) {
    g_free(update->current);
    g_free(update->named);
}

/* Takes in the entries; false if one can't be read. */
static bool apply_entries(struct chunk_update *update, const struct allocation_record *record) {
    const char *text = record->entries;
    struct allocation_entry entry;
    while (text && allocation_entry_read(&text, record->base_attempt, &entry)) {
        if (!in_range(update->range, entry.task)) continue;
        int index = entry.task - update->range.first;
        if (update->named[index]) continue;
        update->named[index] = true;
        const struct allocation *known = update->current[index];
        if (known && known->attempt == entry.attempt && strcmp(known->machine->id, entry.machine_id) == 0) continue;
        update->current[index] = allocation_new(update->job, &entry);
    }
    return !text || allocation_entries_end(text);
}

static void free_unnamed(struct chunk_update *update) {
    GPtrArray *allocations = update->job->allocations;
    for (guint i = allocations->len; i-- > 0;) {
        struct allocation *allocation = allocations->pdata[i];
        if (!in_range(update->range, allocation->task)) continue;
        int index = allocation->task - update->range.first;
        if (!update->named[index] || update->current[index] != allocation) allocation_free(allocation);
    }
}

/* The job that the key ID/N names; NULL: none. */
static struct job *job_of_key(const char *rest, const char *slash) {
    char job_id[JOB_ID_SIZE];
    g_strlcpy(job_id, rest, MIN(sizeof job_id, (size_t)(slash - rest) + 1));
    return job_id_valid(job_id) ? jobs_find_or_stub(job_id) : NULL;
}

/* The chunk size of the record; 0: none that there may be. One that was deleted had that of the job's others. */
static int record_chunk_size(const struct job *job, const cJSON *data, const struct allocation_record *record) {
    if (!data) return chunks_size(job);
    return record->names_chunk_size ? record->chunk_size : chunks_legacy_size();
}

static void apply_record(const char *rest, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    const char *slash = strchr(rest, '/');
    struct job *job = slash ? job_of_key(rest, slash) : NULL;
    if (!job) return;
    struct allocation_record record;
    allocation_record_read(data, &record);
    int size = record_chunk_size(job, data, &record);
    if (size == 0) {
        log_error("run/%s: unreadable chunk size, its known allocations stay", rest);
        return;
    }
    int chunk = (int)g_ascii_strtoll(slash + 1, NULL, 10);
    if (chunk < 0 || chunk >= JOB_TASKS_MAX || chunk * size >= JOB_TASKS_MAX) return;
    int first_task = chunk * size;

    chunks_set_size(job, size);
    chunks_set_recorded(job, chunk, data != NULL);
    if (record.done) jobs_apply_done_bits(job, record.done, first_task, size);
    if (chunk == 0) quarantine_restore(job, record.failed_tries);

    struct chunk_update update;
    update_begin(&update, job, first_task, size);
    bool whole = apply_entries(&update, &record) && (!data || cJSON_IsObject(data));
    /* What follows an entry that can't be read is not known to be absent. */
    if (whole) {
        free_unnamed(&update);
    } else {
        log_error("run/%s: can't be read in full, its other allocations stay", rest);
    }
    update_end(&update);

    /* What was shown by heartbeats while the record was under way is not in it. */
    if (allocations_chunk_dirty(job, chunk)) chunks_mark_dirty(job, first_task);
    jobs_update_lists(job);
}

void allocations_records_init(const struct settings *settings) {
    record_settings = settings;
    store_observe_prefix(STORE_PREFIX_ALLOCATIONS, apply_record);
}
