#include "clock.h"

#include <stdbool.h>
#include <time.h>

static const double nanoseconds_per_second = 1e9;

struct timespec clock_from_seconds(double seconds) {
    struct timespec time = {0, 0};
    if (seconds <= 0) return time;
    time.tv_sec = (time_t)seconds;
    time.tv_nsec = (long)((seconds - (double)time.tv_sec) * nanoseconds_per_second);
    return time;
}

double clock_to_seconds(struct timespec time) {
    return (double)time.tv_sec + (double)time.tv_nsec / nanoseconds_per_second;
}

struct timespec clock_now(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now;
}

double clock_seconds_since(struct timespec instant) {
    return clock_to_seconds(clock_now()) - clock_to_seconds(instant);
}

bool clock_has_elapsed(struct timespec since, struct timespec duration) {
    return clock_seconds_since(since) >= clock_to_seconds(duration);
}

struct timespec clock_now_plus(struct timespec duration) {
    return clock_from_seconds(clock_to_seconds(clock_now()) + clock_to_seconds(duration));
}

void clock_sleep(struct timespec duration) { nanosleep(&duration, NULL); }

double clock_time_of_day(void) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return clock_to_seconds(now);
}
