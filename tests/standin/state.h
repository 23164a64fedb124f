/* Stand-in of the state service, with the troubles that its protocol allows. */
#ifndef FF_STANDIN_STATE_H
#define FF_STANDIN_STATE_H
#include <stdbool.h>
#include <time.h>

enum standin_trouble {
    STANDIN_NONE,
    STANDIN_OUTAGE,      /* 503 to everything */
    STANDIN_LOST_ANSWER, /* the next /multi is applied, and its answer says nothing of use */
    STANDIN_BUDGET,      /* 429 to the next /multi */
    STANDIN_GONE_410,    /* the next watch is too old */
};
bool standin_state_start(const char *address);
/* Another address of the same store. Each can be shut for those who use it: they get 503 while others are served. The
 * first one is door 0. */
#define STANDIN_DOORS 8
bool standin_state_door(int door, const char *address);
void standin_state_shut(int door, bool shut);
void standin_state_trouble(enum standin_trouble trouble);
/* Every second transaction that writes gets no useful answer and is carried out that much later, after newer ones; 0:
 * none. */
void standin_state_late(double seconds);
void standin_state_slow(double seconds);                   /* every answer takes that long; 0: none does */
void standin_state_put(const char *key, const char *json); /* as another controller would */
void standin_state_remove(const char *key);
bool standin_state_drop_machine(int index); /* from the page that names it; false: none does */
/* From now on more operations, or a larger value, get 400, and more changes within a second 429. */
void standin_state_limits(double value_kb, int txn_ops, int write_rps);
struct timespec standin_state_done_at(const char *job_id); /* when the job's record first said done; zero: never */
int standin_state_malformed(void);                         /* transactions that got 400 for their size */
size_t standin_state_largest(const char *prefix);          /* bytes of the largest value under such a key */
char *standin_state_value(const char *key);                /* NULL: not there; g_free */
int standin_state_calls(const char *path);
int standin_state_requests(void); /* of all paths */
int standin_state_epoch(void);
int standin_state_unguarded(
    void); /* changes of allocations or pages that don't name the mod revision of what they replace */
#endif
