/* Cancellations: written in a batch, answered once the store has confirmed the job's state. */
#ifndef FF_API_CANCEL_H
#define FF_API_CANCEL_H
#include "../http/server.h"
#include "../store/store.h"
#include "request.h"

/* Answers or queues a cancellation. On the HTTP server's thread, without the lock. */
void cancel_receive(struct http_request *http, const char *job_id);

/* With store_lock held. */

/* Adds the final record of a job that is known to the transaction, if the request cancels it or a prerequisite is
 * cancelled; requests of any kind. */
void cancel_add_record(const struct api_request *request, struct store_txn *txn, const char *key,
                       const struct job *job);
/* Answers a cancellation whose transaction is confirmed; job NULL or not known: there is none. */
void cancel_respond(const struct api_request *request, struct job *job);
#endif
