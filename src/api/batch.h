/* Requests that write: submissions, cancellations, and polls of jobs that are to be cancelled with a prerequisite. The
 * write queue's thread puts them into one transaction, and answers them once the store has confirmed it. */
#ifndef FF_API_BATCH_H
#define FF_API_BATCH_H
#include "../settings/settings.h"
#include "request.h"

/* By api_init and api_start. */
void batch_init(const struct settings *settings);
void batch_start(void);
/* Queues a request, and owns it from then on. On the HTTP server's thread, without the lock. */
void batch_enqueue(struct api_request *request);
#endif
