#include "process_pause.h"

#include <time.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../store/store.h"
#include "../sync/sync.h"
#include "liveness.h"

#define TICK_S 0.25
#define LATE_S 1.0 /* a tick that is later than that has not just waited for a processor */

double process_pause_length(double waited_s, double tick_s) {
    return waited_s > tick_s + LATE_S ? waited_s - tick_s : 0;
}

static void *process_pause_main(void *unused) {
    (void)unused;
    for (;;) {
        struct timespec before = clock_now();
        clock_sleep(clock_from_seconds(TICK_S));
        double paused_s = process_pause_length(clock_seconds_since(before), TICK_S);
        if (paused_s <= 0) continue;
        log_info("process paused for %.1f s: no silence is counted for that time", paused_s);
        store_lock();
        liveness_reset_silence();
        store_unlock();
    }
    return NULL;
}

void process_pause_start(void) { sync_start_thread(process_pause_main, NULL); }
