/* The users' interface: submissions, polls and cancellations. */
#ifndef FF_USERS_H
#define FF_USERS_H
#include <stdbool.h>

#include "../http/server.h"
#include "../jobs/jobs.h"

void users_init(const struct settings *s);
void users_start(void);
bool users_route(struct http_request *r); /* true if the path is ours */
/* How long the answers took since the last call, in milliseconds; 0 answers: all 0. */
void users_latency(int *answers, double *median_ms, double *p95_ms);
#endif
