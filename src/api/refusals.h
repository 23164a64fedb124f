/* Counts of refused requests by reason, and log lines for requests that their users do not retry. Thread-safe; may be
 * called with or without store_lock. */
#ifndef FF_API_REFUSALS_H
#define FF_API_REFUSALS_H
#include <stddef.h>

#include "responses.h"

#define REFUSAL_LOG_LINES_PER_S 10 /* lines above this rate are only counted */
#define REFUSAL_LOG_LINE_SIZE 512  /* bytes that every line fits in */

/* Counts a refusal. Logs it if its HTTP status is 400 or 422. bytes_received: the size of the request's body. */
void refusals_record(const struct refusal *refusal, size_t bytes_received);
/* Writes the log line of a refusal to a buffer of n bytes; REFUSAL_LOG_LINE_SIZE is enough. What the user sent is
 * escaped. */
void refusals_describe(const struct refusal *refusal, size_t bytes_received, char *line, size_t n);
/* Returns the number of refusals for this reason since the start, and of those that were not logged because of the
 * limit on lines. */
unsigned refusals_count(enum refusal_reason reason);
unsigned refusals_unlogged(void);
/* Logs the counts by reason since the last call, if there are any. Called for the status lines. */
void refusals_log_status(void);
#endif
