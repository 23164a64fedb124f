/* How long users wait for answers: a histogram of the time from a request's arrival to its answer. Thread-safe; without
 * the lock. */
#ifndef FF_API_LATENCY_H
#define FF_API_LATENCY_H
#include <time.h>

/* By api_init. */
void latency_init(void);
/* Counts an answer that is sent now, to a request that arrived at that instant. */
void latency_record(struct timespec arrived);

/* Answers in a period, and the time that they took. */
struct latency_summary {
    int answers;
    double median_ms, p95_ms; /* 0 if there were no answers */
};
/* Answers since the last call, which starts the count anew. By service, for its status lines. */
struct latency_summary latency_take_summary(void);
#endif
