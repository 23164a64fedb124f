/* The control loop of a controller: for each shard that it owns, scheduling rounds that place what waits, and the watch
 * over the shard's machines. One thread of its own, woken by EVENT_SCHEDULE. */
#ifndef FF_SCHEDULER_H
#define FF_SCHEDULER_H
#include "../settings/settings.h"

/* Before scheduler_start, from the thread that starts the service. The settings stay the caller's and must outlive the
 * process's threads. */
void scheduler_init(const struct settings *settings);

/* Starts the thread of the control loop, which runs until the process ends. Without the lock. */
void scheduler_start(void);
#endif
