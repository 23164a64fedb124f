/* The records of allocations (run/ID/N): takes in what the store says, and makes the values that a scheduling round
 * writes. One change carries all that a round decided for a chunk of a job's tasks, however many machines it touches.
 *
 * Called by scheduling rounds, with store_lock held. */
#ifndef FF_ALLOCATIONS_RECORDS_H
#define FF_ALLOCATIONS_RECORDS_H
#include "allocations.h"

/* Observes the records; called by allocations_init. */
void allocations_records_init(const struct settings *settings);

/* The chunk size of a job is how many of its tasks one record holds. The first layout fixed it by the size of a value,
 * and its records don't name it. Once the second layout is active, records that would not fit the service's next limit
 * are split into smaller chunks and name their size: the two versions must never read one record as different tasks. */

/* The chunk size of the records that the job's next write leaves. */
int allocations_next_chunk_size(const struct job *job);
/* Bytes that a record written now may take. */
double allocations_value_bytes_max(void);

/* Whose record is written. */
enum allocations_value_kind {
    ALLOCATIONS_OF_OPEN_JOB, /* the tasks that are done are on record */
    ALLOCATIONS_OF_ENDED_JOB /* its end is recorded at the same time, so that nobody needs to know what is done */
};
/* The value of a chunk's record: tasks that are done, allocations that are not released, and the plans (struct
 * planned_task; NULL: none). NULL: nothing to keep. The value belongs to the caller. */
cJSON *allocations_value(const struct job *job, int chunk, int chunk_size, const GArray *plans,
                         enum allocations_value_kind kind);
/* The value of a record that names its chunk size and nothing else. It belongs to the caller. */
cJSON *allocations_empty_value(int chunk_size);
/* Whether what is known of the chunk differs from its record. */
bool allocations_chunk_dirty(const struct job *job, int chunk);
#endif
