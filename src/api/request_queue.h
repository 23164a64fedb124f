/* Queue of requests that wait for a thread of the API. Thread-safe; called without store_lock. */
#ifndef FF_API_REQUEST_QUEUE_H
#define FF_API_REQUEST_QUEUE_H
#include <glib.h>
#include <pthread.h>

#include "request.h"

/* The HTTP server's thread adds requests; the queue's thread takes them. */
struct request_queue {
    pthread_mutex_t lock;
    pthread_cond_t not_empty;
    GQueue *requests;
};

/* Called once, before the queue is used. */
void request_queue_init(struct request_queue *queue);
/* Suspends and queues the request, or refuses and frees it if the queue is full. */
void request_queue_push(struct request_queue *queue, struct api_request *request);
/* Waits until the queue has a request, then moves its requests to the batch, which gets at most max_requests. */
void request_queue_take(struct request_queue *queue, GPtrArray *batch, guint max_requests);
/* Like request_queue_take, but does not wait: the batch may stay as it is. */
void request_queue_take_available(struct request_queue *queue, GPtrArray *batch, guint max_requests);
#endif
