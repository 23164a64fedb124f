/* The HTTP interface for users: submissions, polls and cancellations of jobs.
 *
 * A request is handled in one of three ways. The HTTP server's thread responds immediately if the mirror, the local
 * copy of the store, shows a final state of the job, which never changes, or if the store is unreachable. Requests that
 * write to the store go to the write queue (batch.h): submissions, cancellations, and polls that first have to cancel
 * the job. Other polls go to the poll queue (poll.h). Each queue has one thread, which sends one transaction for many
 * requests and responds once the store has confirmed it. responses.h defines all statuses and texts. */
#ifndef FF_API_H
#define FF_API_H
#include <stdbool.h>

#include "../http/server.h"
#include "../settings/settings.h"

/* Initialises the package, and keeps the pointer to the settings. Called once by service at startup. */
void api_init(const struct settings *settings);
/* Starts the threads of the two queues. Called once by service, after api_init. */
void api_start(void);

/* Responds to the request or queues it, and takes ownership of it. Returns false and leaves the request alone if the
 * path does not belong to the API. Called on the HTTP server's thread, without store_lock. */
bool api_route(struct http_request *http);
#endif
