/* Histogram of response times: the time from the arrival of a user's request to its response. Thread-safe; called
 * without store_lock. */
#ifndef FF_API_LATENCY_H
#define FF_API_LATENCY_H
#include <time.h>

/* Called by api_init. */
void latency_init(void);
/* Counts a response that is sent now to a request that arrived at arrived_at. */
void latency_record(struct timespec arrived_at);

/* The responses in a period and their response times. */
struct latency_summary {
    int responses;
    double median_ms, p95_ms; /* 0 if there were no responses */
};
/* Returns the summary of the period since the last call. Called by service for the status lines. */
struct latency_summary latency_take_summary(void);
#endif
