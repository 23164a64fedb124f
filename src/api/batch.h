/* Write queue: submissions, cancellations, and polls of jobs that have to be cancelled because of a prerequisite. Its
 * thread puts many requests into one transaction and responds after the store has confirmed it. */
#ifndef FF_API_BATCH_H
#define FF_API_BATCH_H
#include "../settings/settings.h"
#include "request.h"

/* Called by api_init and api_start. Keeps the pointer to the settings. */
void batch_init(const struct settings *settings);
void batch_start(void);
/* Queues a request and takes ownership of it. Called on the HTTP server's thread, without store_lock. */
void batch_enqueue(struct api_request *request);
#endif
