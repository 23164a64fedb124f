#include "silence.h"

#include <math.h>

#include "../clock/clock.h"
#include "internal.h"

#define PROBING_S 4 /* once a heartbeat is overdue, a machine is probed a few times */
#define HEARD_MARGIN_S 1
#define HEARD_PART 0.6 /* of the limit */

double silence_heartbeat_due_s(void) {
    return clock_to_seconds(liveness_settings->heartbeat_interval) * HEARTBEAT_LATENESS;
}

/* Shorter than that, healthy machines that send a heartbeat every 8 s were returned by the hundred. */
double silence_limit_s(void) {
    return fmax(clock_to_seconds(liveness_settings->tuning.silent_return), silence_heartbeat_due_s() + PROBING_S);
}

/* Shorter than any silence that has a consequence: with the same time for both, a controller that lost all workers at
 * once found the first of them silent while it had "just" heard the others, and returned one healthy machine after the
 * other. */
double silence_heard_lately_s(void) {
    return fmin(silence_heartbeat_due_s() + HEARD_MARGIN_S, silence_limit_s() * HEARD_PART);
}
