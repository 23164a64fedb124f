#include "stall.h"

#include <time.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../store/store.h"
#include "../sync/sync.h"
#include "../watch/watch.h"

#define TICK_S 0.25
#define LATE_S 1.0 /* a tick that is later than that was not just waiting for its turn */

double stall_length(double waited_s, double tick_s) { return waited_s > tick_s + LATE_S ? waited_s - tick_s : 0; }

static void *stall_main(void *arg) {
    (void)arg;
    for (;;) {
        struct timespec before = clock_now();
        clock_sleep(clock_from_seconds(TICK_S));
        double stood = stall_length(clock_seconds_since(before), TICK_S);
        if (stood <= 0) continue;
        log_info("stood still for %.1f s: nobody is taken for silent over that time", stood);
        store_lock();
        watch_forgive();
        store_unlock();
    }
    return NULL;
}

void stall_start(void) { sync_start_thread(stall_main, NULL); }
