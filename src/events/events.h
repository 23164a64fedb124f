/* Wake-ups that go upward through the layers: a lower package publishes that something changed, and the package whose
 * work that is has subscribed to it. */
#ifndef FF_EVENTS_H
#define FF_EVENTS_H

enum event {
    EVENT_SCHEDULE, /* jobs, machines or allocations changed: a scheduling round may have something to do */
    EVENT_DISPATCH, /* directives may be waiting for a machine */
    EVENT_COUNT
};

/* Handlers must neither block nor take store_lock, since publishers may hold it. One handler an event; called before
 * the threads are started. */
void events_subscribe(enum event event, void (*handler)(void));
/* Calls the handler, if there is one, on the calling thread. */
void events_publish(enum event event);
#endif
