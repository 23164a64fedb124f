#include "events.h"

#include <stddef.h>

static void (*handlers[EVENT_COUNT])(void);

void events_subscribe(enum event event, void (*handler)(void)) { handlers[event] = handler; }

void events_publish(enum event event) {
    if (handlers[event] != NULL) handlers[event]();
}
