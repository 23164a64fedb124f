/* The control loop of a controller: runs the scheduling rounds that place waiting tasks, and checks the machines, of
 * each shard that it owns. It has its own thread, which EVENT_SCHEDULE wakes. */
#ifndef FF_SCHEDULER_H
#define FF_SCHEDULER_H
#include "../settings/settings.h"

/* Called before scheduler_start, from the thread that starts the service. The caller keeps ownership of the settings,
 * which must outlive the process's threads. */
void scheduler_init(const struct settings *settings);

/* Starts the control loop's thread, which runs until the process ends. Called without the lock. */
void scheduler_start(void);
#endif
