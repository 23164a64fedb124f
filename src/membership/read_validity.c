#include "read_validity.h"

#include <glib.h>
#include <stdbool.h>

#include "../clock/clock.h"
#include "../store/store.h"
#include "membership.h"

static const struct settings *cfg;

void read_validity_init(const struct settings *settings) { cfg = settings; }

/* A cancellation that another controller acknowledged after our last read must be kept within cancel_s. A heartbeat
 * that we answer keeps the machine's tasks alive for lease_s more, counted from when it was sent, which is before we
 * answer it. So the last answer may go out until
 *
 *     cancel_s - lease_s - margin
 *
 * after the read was sent. The margin covers the drift of both clocks, twice, and the steps of timers: half a second,
 * or a tenth of the room where that is less, and 0.002 of cancel_s. It is no larger, since a zone that is cut off runs
 * on by it. */
double membership_read_validity_s(void) {
    static const double margin_max_s = 0.5, margin_part_of_room = 0.1;
    static const double margin_part_of_cancel = 0.002;
    double room = clock_to_seconds(cfg->cancel) - clock_to_seconds(cfg->lease);
    return room - MIN(margin_max_s, room * margin_part_of_room) - margin_part_of_cancel * clock_to_seconds(cfg->cancel);
}

bool membership_may_answer(void) {
    return store_synced() && clock_seconds_since(store_last_read()) < membership_read_validity_s();
}

/* An owner that the store refuses alone went on starting what it had allocated for as long as it may answer workers, 24
 * s, while others had acknowledged cancellations. A start needs the read that a store in reach always gives. */
bool membership_may_start_tasks(void) { return membership_may_answer() && !store_unreachable(); }
