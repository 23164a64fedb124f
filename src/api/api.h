/* The users' interface: submissions, polls and cancellations. */
#ifndef FF_API_H
#define FF_API_H
#include <stdbool.h>

#include "../http/server.h"
#include "../jobs/jobs.h"

void api_init(const struct settings *s);
void api_start(void);
bool api_route(struct http_request *r); /* true if the path is ours */
/* How long the answers took since the last call, in milliseconds; 0 answers: all 0. */
void api_latency(int *answers, double *median_ms, double *p95_ms);
#endif
