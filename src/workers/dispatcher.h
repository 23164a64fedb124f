/* The dispatcher: a thread that decides which machines are sent a command. */
#ifndef FF_WORKERS_DISPATCHER_H
#define FF_WORKERS_DISPATCHER_H

/* Subscribes to EVENT_DISPATCH. Called once, before the threads are started. */
void dispatcher_init(void);
/* Starts the thread. */
void dispatcher_start(void);
/* Makes the dispatcher check all machines soon. Called from any thread, with or without store_lock. */
void dispatcher_wake(void);
#endif
