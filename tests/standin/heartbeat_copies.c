#include "heartbeat_copies.h"

#include <glib.h>
#include <time.h>

#include "clock/clock.h"

/* A copy that waits until it is due. */
struct waiting_copy {
    struct heartbeat_copy *copy;
    struct timespec due;
};

static GQueue waiting = G_QUEUE_INIT; /* struct waiting_copy, in the order in which they are due */
static double delay_s;

void heartbeat_copies_set_delay(double after_s) { delay_s = after_s; }

void heartbeat_copies_add(const char *text, int original_to, int n_controllers) {
    if (delay_s <= 0) return;
    struct waiting_copy *item = g_new0(struct waiting_copy, 1);
    item->copy = g_new0(struct heartbeat_copy, 1);
    item->copy->text = g_strdup(text);
    item->copy->controller = (original_to + 1) % n_controllers;
    item->due = clock_now_plus(clock_from_seconds(delay_s));
    g_queue_push_tail(&waiting, item);
}

struct heartbeat_copy *heartbeat_copies_take_due(void) {
    struct waiting_copy *first = g_queue_peek_head(&waiting);
    if (!first || clock_seconds_since(first->due) < 0) return NULL;
    struct heartbeat_copy *copy = first->copy;
    g_free(g_queue_pop_head(&waiting));
    return copy;
}

void heartbeat_copy_free(struct heartbeat_copy *copy) {
    g_free(copy->text);
    g_free(copy);
}
