/* Attempt numbers. An attempt is one start of a task or of a whole gang. A later attempt has a higher number, even
 * under another owner, because the shard's fencing token is the high part of the number. */
#ifndef FF_ALLOCATIONS_ATTEMPT_H
#define FF_ALLOCATIONS_ATTEMPT_H
#include <stdint.h>

/* Maximum number of attempts under one fencing token. */
#define ATTEMPTS_PER_FENCING_TOKEN 1048576

/* Returns the number of an attempt. The counter starts at 1 under each fencing token. Pure. */
static inline int64_t attempt_number(int64_t fencing_token, int64_t counter) {
    return fencing_token * ATTEMPTS_PER_FENCING_TOKEN + counter;
}
#endif
