/* Condition variables on the steady clock, wakeups and threads. */
#ifndef FF_SYNC_H
#define FF_SYNC_H
#include <pthread.h>
#include <stdbool.h>
#include <time.h>

/* A condition variable whose timed waits follow the steady clock. */
void sync_cond_init(pthread_cond_t *cond);
/* Waits with the mutex held; false when the duration passed without a signal. */
bool sync_cond_wait(pthread_cond_t *cond, pthread_mutex_t *mutex, struct timespec duration);

/* Wakes one waiting thread. A signal sent while nobody waits is kept: the next wait returns at once. */
struct sync_wakeup {
    pthread_mutex_t lock;
    pthread_cond_t cond;
    bool signalled;
};
/* Before the first use. */
void sync_wakeup_init(struct sync_wakeup *wakeup);
void sync_wakeup_signal(struct sync_wakeup *wakeup);
void sync_wakeup_wait(struct sync_wakeup *wakeup, struct timespec at_most);

/* Starts a detached thread with a small stack; 0, or the error number of pthread_create. */
int sync_start_thread(void *(*main)(void *), void *arg);
#endif
