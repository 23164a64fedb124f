/* Requests that wait for a thread of the API. Thread-safe; without the lock. */
#ifndef FF_API_REQUEST_QUEUE_H
#define FF_API_REQUEST_QUEUE_H
#include <glib.h>
#include <pthread.h>

#include "request.h"

/* The HTTP server's thread adds requests; one other thread takes them. */
struct request_queue {
    pthread_mutex_t lock;
    pthread_cond_t not_empty;
    GQueue *requests;
};

/* Before the queue is used. */
void request_queue_init(struct request_queue *queue);
/* Queues the request; one that finds the queue full is refused and freed. */
void request_queue_push(struct request_queue *queue, struct api_request *request);
/* Waits until there are requests, and adds them to the batch until it holds that many. */
void request_queue_take(struct request_queue *queue, GPtrArray *batch, guint most);
/* Adds those that are there, without waiting. */
void request_queue_take_waiting(struct request_queue *queue, GPtrArray *batch, guint most);
#endif
