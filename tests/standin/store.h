/* Stand-in of the state service, with the faults that its protocol allows. Tests call these functions from any thread,
 * without the lock, after standin_store_start. */
#ifndef FF_STANDIN_STORE_H
#define FF_STANDIN_STORE_H
#include <stdbool.h>
#include <stddef.h>
#include <time.h>

#define STANDIN_ENDPOINTS_MAX 8

/* Serves an empty store at this address, its endpoint 0. False if the address is in use. */
bool standin_store_start(const char *address);
/* Another address of the same store, with its index below STANDIN_ENDPOINTS_MAX. False if the address is in use. */
bool standin_store_add_endpoint(int endpoint, const char *address);

enum standin_store_fault {
    STANDIN_NO_FAULT,
    STANDIN_OUTAGE,        /* 503 to everything, until another fault or none is injected */
    STANDIN_LOST_ANSWER,   /* the next transaction is carried out, and its answer says nothing of use */
    STANDIN_RATE_LIMITED,  /* 429 to the next transaction */
    STANDIN_WATCH_TOO_OLD, /* the next watch gets 410 */
};
void standin_store_inject(enum standin_store_fault fault);
/* While refused, those who use this endpoint get 503; others are served. */
void standin_store_refuse(int endpoint, bool refused);
/* Every second transaction that writes gets no useful answer and is carried out that much later, after newer ones; 0:
 * none. */
void standin_store_delay_transactions(double seconds);
/* Every answer takes that long; 0: none does. */
void standin_store_delay_answers(double seconds);
/* From now on more operations, or a larger value, get 400, and more changes within a second 429. */
void standin_store_set_limits(double value_kb, int operations, int changes_per_s);

/* Changes a row, as another controller would. */
void standin_store_put(const char *key, const char *json);
void standin_store_remove(const char *key);
/* Takes the machine of that index out of the page that names it; false: none does. */
bool standin_store_remove_machine(int index);

/* A copy of the row's value, to be freed by g_free; NULL: there is none. */
char *standin_store_value(const char *key);
/* Bytes of the largest value under a key with this prefix. */
size_t standin_store_largest_value(const char *prefix);
/* When the job's record first said that it is done; zero: never. */
struct timespec standin_store_job_done_at(const char *job_id);
int standin_store_revision(void);

/* Requests so far: of one path, and of all. */
int standin_store_requests_of(const char *path);
int standin_store_requests(void);
/* Transactions that got 400 for their size. */
int standin_store_oversized(void);
/* Changes of allocations or machine pages that don't compare the mod revision of what they replace. */
int standin_store_unguarded_changes(void);
#endif
