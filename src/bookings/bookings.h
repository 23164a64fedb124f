/* What is booked where, kept by job: run/ID/N holds, for a stretch of a job's tasks, which are done and where the
 * others are booked. One change carries all that a round decided for the job, however many machines it touches. */
#ifndef FF_BOOKINGS_H
#define FF_BOOKINGS_H
#include "../placement/placement.h"

void bookings_init(const struct settings *s);
int bookings_chunk(void); /* tasks a record holds; fixed by the size of a value */
int bookings_chunks(const struct job *j);

/* With store_lock held. */
bool bookings_booked(const struct job *j, int task); /* not counting what is over */
int bookings_count(const struct job *j);             /* likewise */
int bookings_live(const struct machine *m);          /* likewise */
void bookings_stop(struct booking *b, double grace_s);
void bookings_job_changed(struct job *j);
/* The value of a chunk: done tasks (but not of a job whose end is recorded with it), bookings that are not over, and
 * the plans. NULL: nothing to keep. */
cJSON *bookings_value(const struct job *j, int chunk, const GArray *plans, bool final);
bool bookings_differ(const struct job *j, int chunk); /* what is known differs from the record */
void bookings_key(const struct job *j, int chunk, char *key, size_t n);

/* Pure: reads "task@machine+delta ..." one entry at a time; false at the end or where the text is broken. */
bool bookings_read(const char **text, int64_t base, int *task, char *machine, size_t n, int64_t *attempt);
#endif
