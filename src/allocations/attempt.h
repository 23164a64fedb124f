/* Attempt numbers. An attempt is one start of a task, or of a whole gang; a later attempt has a higher number, whoever
 * decides on it, since its number begins with the fencing token of the shard. */
#ifndef FF_ALLOCATIONS_ATTEMPT_H
#define FF_ALLOCATIONS_ATTEMPT_H
#include <stdint.h>

/* Attempts that an owner may decide on under one fencing token. */
#define ATTEMPTS_PER_FENCING_TOKEN 1048576

/* The number of an attempt: the counter starts anew under each fencing token, and that of its first attempt is 1. Pure.
 */
static inline int64_t attempt_number(int64_t fencing_token, int64_t counter) {
    return fencing_token * ATTEMPTS_PER_FENCING_TOKEN + counter;
}
#endif
