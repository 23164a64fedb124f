/* Chunks: the record run/ID/N holds the allocations of the N-th chunk of a job's tasks. All chunks of a job have one
 * size. The first layout derived it from the store's limit, and its records don't name it; later records do. */
#ifndef FF_JOBS_CHUNKS_H
#define FF_JOBS_CHUNKS_H
#include <stdbool.h>

#include "../model/job.h"
#include "../settings/settings.h"

#define CHUNK_SIZE_MIN 8 /* bits of done tasks are kept in whole bytes */
#define CHUNK_SIZE_MAX 4096

/* By jobs_init. */
void chunks_init(const struct settings *settings);

/* Pure: the number of tasks whose record surely fits a value of that size. */
int chunks_size_for(double value_kb);
/* The size of chunks in the first layout. */
int chunks_legacy_size(void);

/* With store_lock held. */

int chunks_size(const struct job *job); /* of the records that there are */
/* How many chunks the job has with a given size, and with its present one. */
int chunks_count_of_size(const struct job *job, int chunk_size);
int chunks_count(const struct job *job);

/* The job's records have that chunk size from now on; what was known of its chunks is dropped. */
void chunks_set_size(struct job *job, int chunk_size);
/* A chunk's record was read or written, or found to be absent: what is known of the chunk is what the store says. */
void chunks_set_recorded(struct job *job, int chunk, bool recorded);
/* What is known of the task differs from its chunk's record, which is to be written in the next scheduling round. */
void chunks_mark_dirty(struct job *job, int task);
/* The same for all chunks that are on record. */
void chunks_mark_recorded_dirty(struct job *job);
#endif
