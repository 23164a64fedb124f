/* Submissions: read and checked on arrival, then written by the write queue, with a response after the store has
 * confirmed the record.
 *
 * Submissions are idempotent: if a job with the id was accepted before, the response has its state, whatever the rest
 * of the submission contains. An invalid submission is therefore refused only after the store has confirmed that no job
 * has its id. */
#ifndef FF_API_SUBMIT_H
#define FF_API_SUBMIT_H
#include <glib.h>

#include "../http/client.h"
#include "../http/server.h"
#include "../settings/settings.h"
#include "../store/store.h"
#include "request.h"

/* Called by api_init. Keeps the pointer to the settings. */
void submit_init(const struct settings *settings);
/* Responds to a submission or queues it. Called on the HTTP server's thread, without store_lock. */
void submit_receive(struct http_request *http);
/* Checks the prerequisites of new jobs in the batch, and marks a submission as refused if a prerequisite is invalid.
 * Reads prerequisites that are not in the mirror from the store. Called on the write queue's thread, without
 * store_lock, before the batch is written. */
void submit_check_prerequisites(struct http_client *client, const GPtrArray *batch);

/* The functions below are called with store_lock held. */

/* Adds the record of a new job to the transaction, unless the submission is refused. */
void submit_add_record(const struct api_request *request, struct store_txn *txn, const char *key);
/* Responds to a submission after its transaction was confirmed. job is NULL or not known if it was not accepted. */
void submit_respond(const struct api_request *request, const struct job *job);
#endif
