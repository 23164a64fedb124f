#include "chunks.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../clock/clock.h"

/* Maximum size of an allocation in a record, for machine ids of the usual length. With longer ids, the scheduler plans
 * no more tasks for a chunk than its record can hold. */
#define ALLOCATION_BYTES 24
#define OTHER_FIELDS_BYTES 256 /* the rest of a record */
#define BYTES_PER_KIB 1024

static const struct settings *settings;

void chunks_init(const struct settings *all_settings) { settings = all_settings; }

int chunks_size_for_limit(double value_kb) {
    int allocations = (int)((value_kb * BYTES_PER_KIB - OTHER_FIELDS_BYTES) / ALLOCATION_BYTES);
    return CLAMP(allocations, CHUNK_SIZE_MIN, CHUNK_SIZE_MAX) / CHUNK_SIZE_MIN * CHUNK_SIZE_MIN;
}

int chunks_first_layout_size(void) { return chunks_size_for_limit(settings->value_max_kb); }

int chunks_size(const struct job *job) { return job->chunk_size ? job->chunk_size : chunks_first_layout_size(); }

int chunks_count_of_size(const struct job *job, int chunk_size) {
    return (job->spec.tasks + chunk_size - 1) / chunk_size;
}

int chunks_count(const struct job *job) { return chunks_count_of_size(job, chunks_size(job)); }

/* Allocates the flags on first use, because this controller never uses the flags of most jobs. Returns false if the
 * job's record has not been read. */
static bool ensure_flags(struct job *job) {
    if (!job->chunk_flags && job->spec.tasks > 0) job->chunk_flags = g_malloc0((gsize)chunks_count(job));
    return job->chunk_flags != NULL;
}

void chunks_set_size(struct job *job, int chunk_size) {
    if (chunks_size(job) == chunk_size) return;
    bool any_dirty = job->n_dirty_chunks > 0;
    g_clear_pointer(&job->chunk_flags, g_free);
    job->n_recorded_chunks = job->n_dirty_chunks = 0;
    job->chunk_size = chunk_size;
    for (int task = 0; any_dirty && task < job->spec.tasks; task += chunk_size) chunks_mark_dirty(job, task);
}

void chunks_set_recorded(struct job *job, int chunk, bool recorded) {
    if (!ensure_flags(job) || chunk >= chunks_count(job)) return;
    uint8_t *flags = &job->chunk_flags[chunk];
    job->n_recorded_chunks += recorded - ((*flags & CHUNK_RECORDED) != 0);
    job->n_dirty_chunks -= (*flags & CHUNK_DIRTY) != 0;
    *flags = recorded ? CHUNK_RECORDED : 0;
}

void chunks_mark_dirty(struct job *job, int task) {
    if (!ensure_flags(job) || task < 0 || task >= job->spec.tasks) return;
    uint8_t *flags = &job->chunk_flags[task / chunks_size(job)];
    if (*flags & CHUNK_DIRTY) return;
    if (job->n_dirty_chunks == 0) job->dirty_since = clock_now();
    *flags |= CHUNK_DIRTY;
    job->n_dirty_chunks++;
}

void chunks_mark_recorded_dirty(struct job *job) {
    if (job->n_recorded_chunks == 0) return;
    int size = chunks_size(job), count = chunks_count(job);
    for (int chunk = 0; chunk < count; chunk++)
        if (job->chunk_flags[chunk] & CHUNK_RECORDED) chunks_mark_dirty(job, chunk * size);
}
