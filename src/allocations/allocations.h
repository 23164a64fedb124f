/* What is allocated where, kept by job: run/ID/N holds, for a chunk size of a job's tasks, which are done and where the
 * others are allocated. One change carries all that a round decided for the job, however many machines it touches. */
#ifndef FF_ALLOCATIONS_H
#define FF_ALLOCATIONS_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../jobs/chunks.h"
#include "../jobs/jobs.h"
#include "../json/json.h"
#include "../machines/machines.h"

void allocations_init(const struct settings *s);

/* The chunk size of a job: how many of its tasks one record holds. The first layout fixed it by the size of a value,
 * and its records don't name it. Once the second layout is active, records that would not fit the service's next limit
 * hold shorter chunk sizes and name them: the two versions must never read one record as different tasks. */
int allocations_next_chunk_size(const struct job *j); /* that of the records its next write leaves */
double allocations_value_bytes_max(void);             /* bytes that a record written now may take */

/* With store_lock held. */
uint8_t *allocations_task_bits(const struct job *j); /* which tasks are allocated, not counting what is over; free it */
int allocations_count(const struct job *j);          /* likewise */
int allocations_on_machine(const struct machine *m); /* likewise */
int allocations_missing_tasks(const struct job *j);  /* neither done nor allocated */
/* The attempt of a gang that has not started and whose remaining tasks were all just reported as fetching or waiting; 0
 * otherwise. Such a gang can be completed under the same attempt. */
int64_t allocations_open_gang_attempt(const struct job *j);
void allocations_request_stop(struct allocation *b, double grace_s);
/* The value of a chunk: done tasks (but not of a job whose end is recorded with it), allocations that are not over, and
 * the plans. NULL: nothing to keep. */
cJSON *allocations_value(const struct job *j, int chunk, int chunk_size, const GArray *plans, bool final);
bool allocations_chunk_dirty(const struct job *j, int chunk); /* what is known differs from the record */

/* Pure: reads "task@machine+delta ..." one entry at a time; false at the end or where the text is broken. */
bool allocations_parse_entry(const char **text, int64_t base, int *task, char *machine, size_t n, int64_t *attempt);
#endif
