/* Submissions: read and checked at their arrival, written in a batch, answered once the store has confirmed it.
 *
 * A submission is idempotent: an accepted job is known by its id, whatever a repetition of its submission looks like.
 * So one that can't be accepted is refused only once the store has shown that no job has its id. */
#ifndef FF_API_SUBMIT_H
#define FF_API_SUBMIT_H
#include <glib.h>

#include "../http/client.h"
#include "../http/server.h"
#include "../settings/settings.h"
#include "../store/store.h"
#include "request.h"

/* By api_init. */
void submit_init(const struct settings *settings);
/* Answers or queues a submission. On the HTTP server's thread, without the lock. */
void submit_receive(struct http_request *http);
/* Reads prerequisites that are not in the mirror from the store, and refuses submissions that may not name theirs. On
 * the write queue's thread, without the lock, before the batch is written. */
void submit_check_prerequisites(struct http_client *client, const GPtrArray *batch);

/* With store_lock held. */

/* Adds the record of a job that is not known to the transaction, unless the submission is to be refused. */
void submit_add_record(const struct api_request *request, struct store_txn *txn, const char *key);
/* Answers a submission whose transaction is confirmed; job NULL or not known: it was not accepted. */
void submit_respond(const struct api_request *request, const struct job *job);
#endif
