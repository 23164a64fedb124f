/* The control loop of a controller. For each shard that the controller owns, it runs scheduling rounds, which place
 * waiting tasks, and checks the machines. The loop has its own thread, which EVENT_SCHEDULE wakes. */
#ifndef FF_SCHEDULER_H
#define FF_SCHEDULER_H
#include "../settings/settings.h"

/* Called before scheduler_start, from the thread that starts the service. The caller keeps ownership of the settings,
 * which must outlive the process's threads. */
void scheduler_init(const struct settings *settings);

/* Starts the control loop's thread, which runs until the process ends. Called without store_lock. */
void scheduler_start(void);
#endif
