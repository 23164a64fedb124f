/* The users' interface: submissions, polls and cancellations of jobs, as HTTP requests.
 *
 * A request takes one of three ways. What the mirror can answer for good (a job's final state) or can't answer at all
 * is answered at once, on the HTTP server's thread. Submissions, cancellations and whatever else has to write go to the
 * write queue (batch.h), polls to the poll queue (poll.h); a thread each sends one transaction for many requests and
 * answers once the store has confirmed it. Statuses and texts of all answers are in responses.h. */
#ifndef FF_API_H
#define FF_API_H
#include <stdbool.h>

#include "../http/server.h"
#include "../settings/settings.h"

/* Both by service, at the start and in this order; the settings have to outlive the process. */
void api_init(const struct settings *settings);
/* Starts the threads of the two queues. */
void api_start(void);

/* Answers the request or queues it, and then owns it. False, and nothing done, if the path is not one of the API's. On
 * the HTTP server's thread, without the lock. */
bool api_route(struct http_request *http);
#endif
