/* Decides which machines are sent a command now, on a thread of its own. */
#ifndef FF_WORKERS_DISPATCHER_H
#define FF_WORKERS_DISPATCHER_H

/* Subscribes to EVENT_DISPATCH; called before the threads are started. */
void dispatcher_init(void);
void dispatcher_start(void);
/* Has the dispatcher go through the machines soon. From any thread, with or without the lock. */
void dispatcher_wake(void);
#endif
