/* Stand-in of the state service, with the troubles that its protocol allows. */
#ifndef FF_STANDIN_STORE_H
#define FF_STANDIN_STORE_H
#include <stdbool.h>
#include <time.h>

enum standin_store_fault {
    STANDIN_NO_FAULT,
    STANDIN_OUTAGE,        /* 503 to everything */
    STANDIN_LOST_ANSWER,   /* the next /multi is applied, and its answer says nothing of use */
    STANDIN_RATE_LIMITED,  /* 429 to the next /multi */
    STANDIN_WATCH_TOO_OLD, /* the next watch is too old */
};
bool standin_store_start(const char *address);
/* Another address of the same store. Each can be shut for those who use it: they get 503 while others are served. The
 * first one is door 0. */
#define STANDIN_ENDPOINTS_MAX 8
bool standin_store_add_endpoint(int door, const char *address);
void standin_store_refuse(int door, bool shut);
void standin_store_inject(enum standin_store_fault trouble);
/* Every second transaction that writes gets no useful answer and is carried out that much later, after newer ones; 0:
 * none. */
void standin_store_delay_transactions(double seconds);
void standin_store_delay_answers(double seconds);          /* every answer takes that long; 0: none does */
void standin_store_put(const char *key, const char *json); /* as another controller would */
void standin_store_remove(const char *key);
bool standin_store_remove_machine(int index); /* from the page that names it; false: none does */
/* From now on more operations, or a larger value, get 400, and more changes within a second 429. */
void standin_store_set_limits(double value_kb, int txn_ops, int write_rps);
struct timespec standin_store_job_done_at(const char *job_id); /* when the job's record first said done; zero: never */
int standin_store_oversized(void);                             /* transactions that got 400 for their size */
size_t standin_store_largest_value(const char *prefix);        /* bytes of the largest value under such a key */
char *standin_store_value(const char *key);                    /* NULL: not there; g_free */
int standin_store_requests_of(const char *path);
int standin_store_requests(void); /* of all paths */
int standin_store_revision(void);
int standin_store_unguarded_changes(
    void); /* changes of allocations or pages that don't name the mod revision of what they replace */
#endif
