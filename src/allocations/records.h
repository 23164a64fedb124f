/* Allocation records (run/ID/N). Updates the allocations when records are read, and creates the values of the records
 * that a scheduling round writes. A round writes all its decisions for one chunk of a job's tasks as a single change,
 * however many machines are involved.
 *
 * Called by scheduling rounds, with store_lock held. */
#ifndef FF_ALLOCATIONS_RECORDS_H
#define FF_ALLOCATIONS_RECORDS_H
#include "allocations.h"

/* Registers the observer of the records. Called by allocations_init. */
void allocations_records_init(const struct settings *settings);

/* The chunk size of a job is the number of tasks per record. In the first layout it follows from the maximum size
 * of a value and is not stored in the records. Once the second layout is active, records that would exceed the store's
 * next size limit are split into smaller chunks and store their chunk size, so that both versions of the program read a
 * record as the same tasks. */

/* Returns the chunk size that the job's records will have after the next write. */
int allocations_next_chunk_size(const struct job *job);
/* Returns the maximum size of a record that is written now, in bytes. */
double allocations_value_bytes_max(void);

/* The state of the job whose record is written. */
enum allocations_value_kind {
    ALLOCATIONS_OF_OPEN_JOB, /* the record includes the done tasks */
    ALLOCATIONS_OF_ENDED_JOB /* the done tasks are left out, because the job's end is written at the same time */
};
/* Creates the value of a chunk's record with the done tasks, the allocations that are not released, and the planned
 * tasks (struct planned_task; NULL: none). Returns NULL if there is nothing to store. The caller owns the value. */
cJSON *allocations_value(const struct job *job, int chunk, int chunk_size, const GArray *plans,
                         enum allocations_value_kind kind);
/* Creates the value of a record that only contains its chunk size. The caller owns the value. */
cJSON *allocations_empty_value(int chunk_size);
/* Returns whether the state of the chunk in memory differs from its record. */
bool allocations_chunk_dirty(const struct job *job, int chunk);
#endif
