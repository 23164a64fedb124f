#include "request_queue.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

#include "../clock/clock.h"
#include "../http/server.h"
#include "../sync/sync.h"

#define QUEUED_REQUESTS_MAX 400
#define WAIT_TIMEOUT_S 10.0

void request_queue_init(struct request_queue *queue) {
    pthread_mutex_init(&queue->lock, NULL);
    sync_cond_init(&queue->not_empty);
    queue->requests = g_queue_new();
}

void request_queue_push(struct request_queue *queue, struct api_request *request) {
    pthread_mutex_lock(&queue->lock);
    bool full = queue->requests->length >= QUEUED_REQUESTS_MAX;
    if (!full) {
        http_suspend(request->http);
        g_queue_push_tail(queue->requests, request);
        pthread_cond_signal(&queue->not_empty);
    }
    pthread_mutex_unlock(&queue->lock);
    if (full) request_refuse(request, REFUSAL_QUEUE_FULL);
}

void request_queue_take_available(struct request_queue *queue, GPtrArray *batch, guint max_requests) {
    pthread_mutex_lock(&queue->lock);
    while (batch->len < max_requests && queue->requests->length > 0)
        g_ptr_array_add(batch, g_queue_pop_head(queue->requests));
    pthread_mutex_unlock(&queue->lock);
}

void request_queue_take(struct request_queue *queue, GPtrArray *batch, guint max_requests) {
    pthread_mutex_lock(&queue->lock);
    while (queue->requests->length == 0)
        sync_cond_wait(&queue->not_empty, &queue->lock, clock_from_seconds(WAIT_TIMEOUT_S));
    pthread_mutex_unlock(&queue->lock);
    request_queue_take_available(queue, batch, max_requests);
}
