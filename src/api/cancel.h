/* Cancellations: written by the write queue, with a response after the store has confirmed the job's state. */
#ifndef FF_API_CANCEL_H
#define FF_API_CANCEL_H
#include "../http/server.h"
#include "../store/store.h"
#include "request.h"

/* Responds to a cancellation or queues it. Called on the HTTP server's thread, without store_lock. */
void cancel_receive(struct http_request *http, const char *job_id);

/* The functions below are called with store_lock held. */

/* Adds the record of the cancelled job to the transaction if the request is a cancellation or a prerequisite is
 * cancelled. Does nothing if the job is already in a final state. The request may be of any kind; the job is known. */
void cancel_add_record(const struct api_request *request, struct store_txn *txn, const char *key,
                       const struct job *job);
/* Responds to a cancellation after its transaction was confirmed. job is NULL or not known if it does not exist. */
void cancel_respond(const struct api_request *request, struct job *job);
#endif
