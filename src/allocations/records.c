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
#define IMAGE_FETCH_MAX_S 20 /* a task that was allocated longer ago has fetched its image */

static const struct settings *record_settings;

/* ---- chunks ---- */

double allocations_value_bytes_max(void) {
    return 1024 * (schema_version_active() ? record_settings->next_value_max_kb : record_settings->value_max_kb);
}

/* A change of the chunk size replaces all records of the job in one transaction. If that takes too many operations, the
 * job keeps its chunk size, and its records are only filled up to the next size limit. */
int allocations_next_chunk_size(const struct job *job) {
    int current_size = chunks_size(job), next_size = chunks_size_for_limit(record_settings->next_value_max_kb);
    if (!schema_version_active() || current_size <= next_size) return current_size;
    bool one_transaction = chunks_count_of_size(job, next_size) <= record_settings->txn_operations_max;
    return job->n_recorded_chunks == 0 || one_transaction ? next_size : current_size;
}

/* A range of tasks, from first to end - 1. */
struct task_range {
    int first, end;
};

static bool in_range(struct task_range range, int task) { return task >= range.first && task < range.end; }

static struct task_range chunk_tasks(const struct job *job, int chunk, int chunk_size) {
    int first = chunk * chunk_size;
    return (struct task_range){first, MIN(first + chunk_size, job->spec.tasks)};
}

/* Returns whether a task of the range is reported done, but not recorded as done. */
static bool done_bits_differ(const struct job *job, struct task_range range) {
    if (!job->reported_done_bits || range.end <= range.first) return false;
    size_t first_byte = (size_t)range.first / BITS_PER_BYTE;
    size_t bytes = ((size_t)(range.end - range.first) + BITS_PER_BYTE - 1) / BITS_PER_BYTE;
    return memcmp(job->done_bits + first_byte, job->reported_done_bits + first_byte, bytes) != 0;
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
    if (chunk == 0 && job->failed_tries_recorded != quarantine_tries_to_record(job)) return true;
    if (done_bits_differ(job, range)) return true;
    return job->state != JOB_QUEUED && !allocated && job->chunk_flags && (job->chunk_flags[chunk] & CHUNK_RECORDED);
}

/* ---- values ---- */

/* Returns the lowest attempt among the allocations and plans for the record, or INT64_MAX if there are none. */
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

/* Returns the text of the record's entries, which the caller frees. */
static GString *write_entries(const struct job *job, struct task_range range, const GArray *plans,
                              int64_t base_attempt) {
    GString *entries = g_string_new("");
    for (guint i = 0; i < job->allocations->len; i++) {
        const struct allocation *allocation = job->allocations->pdata[i];
        if (allocation->released || !in_range(range, allocation->task)) continue;
        allocation_entry_write(entries, allocation->task, allocation->machine->id, allocation->attempt, base_attempt);
    }
    for (guint i = 0; plans && i < plans->len; i++) {
        const struct planned_task *plan = &g_array_index(plans, struct planned_task, i);
        if (plan->job != job || !in_range(range, plan->task)) continue;
        allocation_entry_write(entries, plan->task, plan->machine->id, plan->attempt, base_attempt);
    }
    return entries;
}

/* Returns the done tasks of the range as text, which the caller frees, or NULL if none is done. */
static char *write_done_bits(const struct job *job, struct task_range range) {
    if (!job->reported_done_bits) return NULL;
    char *done_bits = task_bits_text(job->reported_done_bits, range.first, range.end - range.first);
    if (strspn(done_bits, "0") < strlen(done_bits)) return done_bits;
    g_free(done_bits);
    return NULL;
}

cJSON *allocations_value(const struct job *job, int chunk, int chunk_size, const GArray *plans,
                         enum allocations_value_kind kind) {
    const struct task_range range = chunk_tasks(job, chunk, chunk_size);
    int64_t base_attempt = lowest_attempt(job, range, plans);
    bool any_entry = base_attempt < INT64_MAX;
    g_autofree char *done_bits = kind == ALLOCATIONS_OF_OPEN_JOB ? write_done_bits(job, range) : NULL;
    int failed_tries = chunk == 0 && kind == ALLOCATIONS_OF_OPEN_JOB ? quarantine_tries_to_record(job) : 0;
    if (!any_entry && !done_bits && !failed_tries) return NULL;

    GString *entries = write_entries(job, range, plans, base_attempt);
    const struct allocation_record record = {
        /* In the second layout, every record stores its chunk size and does not depend on the settings. */
        .has_chunk_size = chunk_size != chunks_first_layout_size() || schema_version_active(),
        .chunk_size = chunk_size,
        .done_bits = done_bits,
        .failed_tries = failed_tries,
        .base_attempt = base_attempt,
        .entries = any_entry ? entries->str : NULL,
    };
    cJSON *value = allocation_record_write(&record);
    g_string_free(entries, TRUE);
    return value;
}

cJSON *allocations_empty_value(int chunk_size) {
    const struct allocation_record record = {.has_chunk_size = true, .chunk_size = chunk_size};
    return allocation_record_write(&record);
}

/* ---- creating and freeing allocations ---- */

static struct allocation *allocation_new(struct job *job, const struct allocation_entry *entry) {
    struct allocation *allocation = g_new0(struct allocation, 1);
    struct machine *machine = machines_find_or_stub(entry->machine_id);
    allocation->job = job;
    allocation->machine = machine;
    allocation->task = entry->task;
    allocation->attempt = entry->attempt;
    allocation->allocated_at = allocation->state_since = clock_now();
    allocation->inherited = true; /* a scheduling round clears this for the allocations that it decided */
    allocation->stop_requested = job->state != JOB_QUEUED;
    allocation->index_in_job = job->allocations->len;
    allocation->index_in_machine = machine->allocations->len;
    machine->had_task = true;
    g_ptr_array_add(job->allocations, allocation);
    g_ptr_array_add(machine->allocations, allocation);
    return allocation;
}

/* Removes an element in constant time by moving the last element to its index. Returns the moved element, or NULL if
 * the removed element was the last. */
static struct allocation *remove_index(GPtrArray *list, guint index) {
    g_ptr_array_remove_index_fast(list, index);
    return index < list->len ? list->pdata[index] : NULL;
}

static void allocation_free(struct allocation *allocation) {
    struct machine *machine = allocation->machine;
    const char *image = allocation->job->spec.image;
    /* Every controller tracks the cached images of all machines, because it may become their owner. */
    if (image && clock_seconds_since(allocation->allocated_at) > IMAGE_FETCH_MAX_S &&
        !g_hash_table_contains(machine->images, image))
        g_hash_table_add(machine->images, g_strdup(image));
    struct allocation *moved = remove_index(allocation->job->allocations, allocation->index_in_job);
    if (moved) moved->index_in_job = allocation->index_in_job;
    moved = remove_index(machine->allocations, allocation->index_in_machine);
    if (moved) moved->index_in_machine = allocation->index_in_machine;
    machines_free_unreferenced(machine);
    g_free(allocation);
}

/* ---- reading records ---- */

/* The update of a chunk's allocations from its record. The arrays have one element per task of the chunk. */
struct chunk_update {
    struct job *job;
    struct task_range range;
    struct allocation **current; /* the task's allocation; NULL: none */
    bool *in_record;             /* whether the record contains an entry of the task */
};

/* Finds the current allocation of each task in the chunk. If a task has several allocations, an unreleased allocation
 * takes precedence. */
static void chunk_update_init(struct chunk_update *update, struct job *job, int first_task, int size) {
    update->job = job;
    update->range = (struct task_range){first_task, first_task + size};
    update->current = g_new0(struct allocation *, (gsize)size);
    update->in_record = g_new0(bool, (gsize)size);
    for (guint i = 0; i < job->allocations->len; i++) {
        struct allocation *allocation = job->allocations->pdata[i];
        if (!in_range(update->range, allocation->task)) continue;
        struct allocation **current = &update->current[allocation->task - first_task];
        if (!*current || (*current)->released) *current = allocation;
    }
}

static void chunk_update_clear(struct chunk_update *update) {
    g_free(update->current);
    g_free(update->in_record);
}

/* Creates the allocations that the record contains and that do not exist yet. Returns false at a malformed entry. */
static bool apply_entries(struct chunk_update *update, const struct allocation_record *record) {
    const char *text = record->entries;
    struct allocation_entry entry;
    while (text && allocation_entry_read(&text, record->base_attempt, &entry)) {
        if (!in_range(update->range, entry.task)) continue;
        int index = entry.task - update->range.first;
        if (update->in_record[index]) continue;
        update->in_record[index] = true;
        const struct allocation *allocation = update->current[index];
        if (allocation && allocation->attempt == entry.attempt &&
            strcmp(allocation->machine->id, entry.machine_id) == 0)
            continue;
        update->current[index] = allocation_new(update->job, &entry);
    }
    return !text || allocation_entries_exhausted(text);
}

/* Frees the allocations of the chunk that the record does not contain. */
static void free_unrecorded(struct chunk_update *update) {
    GPtrArray *allocations = update->job->allocations;
    for (guint i = allocations->len; i-- > 0;) {
        struct allocation *allocation = allocations->pdata[i];
        if (!in_range(update->range, allocation->task)) continue;
        int index = allocation->task - update->range.first;
        if (!update->in_record[index] || update->current[index] != allocation) allocation_free(allocation);
    }
}

/* Returns the job of the key suffix ID/N, or NULL if the id is invalid. */
static struct job *find_job_of_key(const char *key_suffix, const char *separator) {
    char job_id[JOB_ID_SIZE];
    g_strlcpy(job_id, key_suffix, MIN(sizeof job_id, (size_t)(separator - key_suffix) + 1));
    return job_id_valid(job_id) ? jobs_find_or_stub(job_id) : NULL;
}

/* Returns the chunk size of the record, or 0 if it is invalid. A deleted record had the job's current chunk size. */
static int record_chunk_size(const struct job *job, const cJSON *data, const struct allocation_record *record) {
    if (!data) return chunks_size(job);
    return record->has_chunk_size ? record->chunk_size : chunks_first_layout_size();
}

/* Observer of allocation records, called with store_lock held. data is NULL if the record was deleted. */
static void apply_record(const char *key_suffix, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    const char *separator = strchr(key_suffix, '/');
    struct job *job = separator ? find_job_of_key(key_suffix, separator) : NULL;
    if (!job) return;
    struct allocation_record record;
    allocation_record_read(data, &record);
    int size = record_chunk_size(job, data, &record);
    if (size == 0) {
        log_error("run/%s: invalid chunk size, record ignored", key_suffix);
        return;
    }
    int chunk = (int)g_ascii_strtoll(separator + 1, NULL, 10);
    if (chunk < 0 || chunk >= JOB_TASKS_MAX || chunk * size >= JOB_TASKS_MAX) return;
    int first_task = chunk * size;

    chunks_set_size(job, size);
    chunks_set_recorded(job, chunk, data != NULL);
    if (record.done_bits) jobs_apply_done_bits(job, record.done_bits, first_task, size);
    if (chunk == 0) quarantine_restore(job, record.failed_tries);

    struct chunk_update update;
    chunk_update_init(&update, job, first_task, size);
    bool complete = apply_entries(&update, &record) && (!data || cJSON_IsObject(data));
    /* The entries after a malformed entry cannot be read. Any allocation may still be recorded, so none is freed. */
    if (complete) {
        free_unrecorded(&update);
    } else {
        log_error("run/%s: malformed record, its other allocations are kept", key_suffix);
    }
    chunk_update_clear(&update);

    /* Changes that heartbeats reported after the record was written are not in the record and have to be written. */
    if (allocations_chunk_dirty(job, chunk)) chunks_mark_dirty(job, first_task);
    jobs_update_lists(job);
}

void allocations_records_init(const struct settings *settings) {
    record_settings = settings;
    store_observe_prefix(STORE_PREFIX_ALLOCATIONS, apply_record);
}
