/* Chunks of a job's tasks: the record run/ID/N holds the allocations of the tasks in chunk N. All chunks of a job have
 * the same size. In the first layout, the size follows from the store's value limit and isn't recorded; later records
 * contain their chunk size. */
#ifndef FF_JOBS_CHUNKS_H
#define FF_JOBS_CHUNKS_H
#include <stdbool.h>

#include "../model/job.h"
#include "../settings/settings.h"

#define CHUNK_SIZE_MIN 8 /* tasks; also the unit of chunk sizes, because the bits of done tasks fill whole bytes */
#define CHUNK_SIZE_MAX 4096

/* Called by jobs_init. Keeps the pointer to the settings. */
void chunks_init(const struct settings *settings);

/* Returns the chunk size, from CHUNK_SIZE_MIN to CHUNK_SIZE_MAX, for which records fit a value limit in KiB. Pure. */
int chunks_size_for_limit(double value_kb);
/* Returns the chunk size of the first layout. */
int chunks_first_layout_size(void);

/* The functions below are called with store_lock held. */

/* Returns the chunk size of the job's current records. */
int chunks_size(const struct job *job);
/* Return the number of the job's chunks for a given chunk size, and for its current one. */
int chunks_count_of_size(const struct job *job, int chunk_size);
int chunks_count(const struct job *job);

/* Sets the chunk size of the job's records and resets the flags of all chunks. If any chunk was dirty, all chunks
 * become dirty. */
void chunks_set_size(struct job *job, int chunk_size);
/* Sets whether the store has a record of the chunk, after the record was read, written or found to be absent. The chunk
 * is no longer dirty. */
void chunks_set_recorded(struct job *job, int chunk, bool recorded);
/* Marks the chunk of a task as dirty: its record is outdated, and scheduling rounds write it. */
void chunks_mark_dirty(struct job *job, int task);
/* Marks all chunks that have a record as dirty. */
void chunks_mark_recorded_dirty(struct job *job);
#endif
