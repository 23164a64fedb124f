#include "sync.h"

#include <pthread.h>
#include <stdbool.h>
#include <time.h>

#include "../clock/clock.h"

/* Thread stacks are small because the platform's memory limit counts the memory that the process holds. No thread
 * recurses deeply. */
#define THREAD_STACK_BYTES ((size_t)256 * 1024)

void sync_cond_init(pthread_cond_t *cond) {
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(cond, &attributes);
    pthread_condattr_destroy(&attributes);
}

bool sync_cond_wait(pthread_cond_t *cond, pthread_mutex_t *mutex, struct timespec timeout) {
    struct timespec deadline = clock_now_plus(timeout);
    return pthread_cond_timedwait(cond, mutex, &deadline) == 0;
}

void sync_wakeup_init(struct sync_wakeup *wakeup) {
    pthread_mutex_init(&wakeup->lock, NULL);
    sync_cond_init(&wakeup->cond);
    wakeup->signalled = false;
}

void sync_wakeup_signal(struct sync_wakeup *wakeup) {
    pthread_mutex_lock(&wakeup->lock);
    wakeup->signalled = true;
    pthread_cond_signal(&wakeup->cond);
    pthread_mutex_unlock(&wakeup->lock);
}

void sync_wakeup_wait(struct sync_wakeup *wakeup, struct timespec timeout) {
    pthread_mutex_lock(&wakeup->lock);
    if (!wakeup->signalled) sync_cond_wait(&wakeup->cond, &wakeup->lock, timeout);
    wakeup->signalled = false;
    pthread_mutex_unlock(&wakeup->lock);
}

int sync_start_thread(void *(*thread_main)(void *), void *arg) {
    pthread_attr_t attributes;
    pthread_t thread;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, THREAD_STACK_BYTES);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    int error = pthread_create(&thread, &attributes, thread_main, arg);
    pthread_attr_destroy(&attributes);
    return error;
}
