/* Reads the clocks and converts times. Instants of the monotonic clock and durations are both struct timespec.
 * Thread-safe. */
#ifndef FF_CLOCK_H
#define FF_CLOCK_H
#include <stdbool.h>
#include <time.h>

/* Convert between seconds and struct timespec; a negative number of seconds becomes a zero duration. */
struct timespec clock_from_seconds(double seconds);
double clock_to_seconds(struct timespec time);

/* Returns the current instant of the monotonic clock. */
struct timespec clock_now(void);
/* Returns the seconds that have passed since an instant of the monotonic clock. */
double clock_seconds_since(struct timespec instant);
/* Tells whether at least the duration has passed since the instant. */
bool clock_has_elapsed(struct timespec since, struct timespec duration);
/* Returns the instant of the monotonic clock that is the duration after now. */
struct timespec clock_now_plus(struct timespec duration);
/* Suspends the calling thread for the duration. */
void clock_sleep(struct timespec duration);

/* Returns the wall-clock time in seconds since 1970, for times in records that other controllers read. */
double clock_time_of_day(void);
#endif
