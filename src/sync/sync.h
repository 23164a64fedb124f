/* Condition variables on the monotonic clock, wakeups and threads. */
#ifndef FF_SYNC_H
#define FF_SYNC_H
#include <pthread.h>
#include <stdbool.h>
#include <time.h>

/* Initializes a condition variable whose timed waits use the monotonic clock. */
void sync_cond_init(pthread_cond_t *cond);
/* Waits for a signal. The caller holds the mutex. Returns false if the timeout passed without a signal. */
bool sync_cond_wait(pthread_cond_t *cond, pthread_mutex_t *mutex, struct timespec timeout);

/* Wakes one waiting thread. A signal that is sent while no thread waits is kept: the next wait returns at once. */
struct sync_wakeup {
    pthread_mutex_t lock;
    pthread_cond_t cond;
    bool signalled;
};
/* Must be called before the first signal or wait. */
void sync_wakeup_init(struct sync_wakeup *wakeup);
void sync_wakeup_signal(struct sync_wakeup *wakeup);
/* Waits for a signal, but not longer than the timeout, and clears it. */
void sync_wakeup_wait(struct sync_wakeup *wakeup, struct timespec timeout);

/* Starts a detached thread with a small stack. Returns 0, or the error number of pthread_create. */
int sync_start_thread(void *(*thread_main)(void *), void *arg);
#endif
