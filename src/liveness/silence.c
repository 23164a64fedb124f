#include "silence.h"

#include <math.h>

#include "../clock/clock.h"
#include "internal.h"

#define PROBING_TIME_S 4          /* time to probe a machine a few times once its heartbeat is overdue */
#define RECENT_MARGIN_S 1         /* after silence_heartbeat_due_s */
#define RECENT_LIMIT_FRACTION 0.6 /* of silence_limit_s */

double silence_heartbeat_due_s(void) {
    return clock_to_seconds(liveness_settings->heartbeat_interval) * HEARTBEAT_DUE_INTERVALS;
}

/* A shorter limit led to the return of hundreds of healthy machines that sent a heartbeat every 8 s. */
double silence_limit_s(void) {
    return fmax(clock_to_seconds(liveness_settings->tuning.silence_timeout),
                silence_heartbeat_due_s() + PROBING_TIME_S);
}

/* This time is shorter than every silence that has a consequence. When it was equal to the silence limit, a controller
 * that lost contact with all workers at once found the first workers silent while the other workers still counted as
 * recently heard, and returned healthy machines one after the other. */
double silence_heard_recently_s(void) {
    return fmin(silence_heartbeat_due_s() + RECENT_MARGIN_S, silence_limit_s() * RECENT_LIMIT_FRACTION);
}
