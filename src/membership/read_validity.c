#include "read_validity.h"

#include <glib.h>
#include <stdbool.h>

#include "../clock/clock.h"
#include "../store/store.h"
#include "membership.h"

static const struct settings *cfg;

void read_validity_init(const struct settings *settings) { cfg = settings; }

/* A cancellation that another controller acknowledged after this controller's last read must take effect within
 * cancel_s. A heartbeat that this controller answers keeps the machine's tasks alive for lease_s, counted from when the
 * heartbeat was sent, which is before the answer. So this controller may send its last answer at
 *
 *     cancel_s - lease_s - margin
 *
 * after it sent the read. The margin covers twice the drift of both clocks and the resolution of timers. It is 0.5 s,
 * or a tenth of cancel_s - lease_s if that is less, plus 0.002 of cancel_s. A larger margin would shorten the time for
 * which a zone that is cut off from the store can keep its tasks running. */
double membership_read_validity_s(void) {
    static const double timer_margin_max_s = 0.5, timer_margin_fraction = 0.1;
    static const double drift_margin_fraction = 0.002;
    double validity_without_margin_s = clock_to_seconds(cfg->cancel_timeout) - clock_to_seconds(cfg->worker_lease);
    return validity_without_margin_s - MIN(timer_margin_max_s, validity_without_margin_s * timer_margin_fraction) -
           drift_margin_fraction * clock_to_seconds(cfg->cancel_timeout);
}

bool membership_may_answer_workers(void) {
    return store_synced() && clock_seconds_since(store_last_read_sent()) < membership_read_validity_s();
}

/* Starting tasks needs a more recent read than answering workers. Without this rule, an owner whose requests the store
 * rejected, while it served the other controllers, kept starting allocated tasks for the whole read validity of 24 s,
 * although the others had acknowledged cancellations. A reachable store always provides a recent enough read. */
bool membership_may_start_tasks(void) { return membership_may_answer_workers() && !store_unreachable(); }
