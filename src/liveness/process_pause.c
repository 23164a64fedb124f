#include "process_pause.h"

#include <time.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../store/store.h"
#include "../sync/sync.h"
#include "liveness.h"

#define TICK_INTERVAL_S 0.25
#define TICK_DELAY_MAX_S 1.0 /* a longer delay is a pause: a busy processor alone does not delay a tick by more */

double process_pause_length(double waited_s, double tick_s) {
    return waited_s > tick_s + TICK_DELAY_MAX_S ? waited_s - tick_s : 0;
}

static void *process_pause_main(void *unused) {
    (void)unused;
    for (;;) {
        struct timespec before = clock_now();
        clock_sleep(clock_from_seconds(TICK_INTERVAL_S));
        double paused_s = process_pause_length(clock_seconds_since(before), TICK_INTERVAL_S);
        if (paused_s <= 0) continue;
        log_info("process was paused for %.1f s, restarting the measurement of silence", paused_s);
        store_lock();
        liveness_reset_silence();
        store_unlock();
    }
    return NULL;
}

void process_pause_start(void) { sync_start_thread(process_pause_main, NULL); }
