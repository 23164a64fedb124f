/* Events that lower layers send to higher ones: a lower package publishes that something changed, and the package that
 * handles the change has subscribed to the event. */
#ifndef FF_EVENTS_H
#define FF_EVENTS_H

enum event {
    EVENT_SCHEDULE, /* jobs, machines or allocations changed: a scheduling round may have something to do */
    EVENT_DISPATCH, /* directives may be waiting for a machine */
    EVENT_COUNT
};

/* Sets the one handler of an event. Must be called before the threads are started. The handler must neither block nor
 * take store_lock, since publishers may hold it. */
void events_subscribe(enum event event, void (*handler)(void));
/* Calls the event's handler on the calling thread. Does nothing if the event has no handler. */
void events_publish(enum event event);
#endif
