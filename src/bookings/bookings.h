/* What is booked where, kept by job: run/ID/N holds, for a stretch of a job's tasks, which are done and where the
 * others are booked. One change carries all that a round decided for the job, however many machines it touches. */
#ifndef FF_BOOKINGS_H
#define FF_BOOKINGS_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../json/json.h"
#include "../placement/placement.h"

void bookings_init(const struct settings *s);

/* The stretch of a job: how many of its tasks one record holds. The first layout fixed it by the size of a value, and
 * its records don't name it. Once the second layout is active, records that would not fit the service's next limit hold
 * shorter stretches and name them: the two versions must never read one record as different tasks. */
int bookings_first_stretch(void);
int bookings_stretch(const struct job *j);       /* that of the records there are */
int bookings_write_stretch(const struct job *j); /* that of the records its next write leaves */
int bookings_chunks(const struct job *j);        /* records of its present stretch */
int bookings_chunks_of(const struct job *j, int stretch);
double bookings_value_most(void); /* bytes that a record written now may take */

/* With store_lock held. */
uint8_t *bookings_bits(const struct job *j); /* which tasks are booked, not counting what is over; free it */
int bookings_count(const struct job *j);     /* likewise */
int bookings_live(const struct machine *m);  /* likewise */
void bookings_stop(struct booking *b, double grace_s);
void bookings_job_changed(struct job *j);
/* The value of a chunk: done tasks (but not of a job whose end is recorded with it), bookings that are not over, and
 * the plans. NULL: nothing to keep. */
cJSON *bookings_value(const struct job *j, int chunk, int stretch, const GArray *plans, bool final);
bool bookings_differ(const struct job *j, int chunk); /* what is known differs from the record */
void bookings_key(const struct job *j, int chunk, char *key, size_t n);

/* Pure: reads "task@machine+delta ..." one entry at a time; false at the end or where the text is broken. */
bool bookings_read(const char **text, int64_t base, int *task, char *machine, size_t n, int64_t *attempt);
#endif
