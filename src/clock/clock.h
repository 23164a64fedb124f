/* Clocks and durations: steady-clock instants and durations are both struct timespec. Thread-safe. */
#ifndef FF_CLOCK_H
#define FF_CLOCK_H
#include <stdbool.h>
#include <time.h>

/* Conversions between seconds and struct timespec; a negative number of seconds becomes a zero duration. */
struct timespec clock_from_seconds(double seconds);
double clock_to_seconds(struct timespec time);

/* The present instant on the steady clock. */
struct timespec clock_now(void);
/* Seconds since an instant of the steady clock. */
double clock_seconds_since(struct timespec instant);
/* Whether the duration has passed since the instant. */
bool clock_has_elapsed(struct timespec since, struct timespec duration);
/* The instant that lies the duration ahead of now. */
struct timespec clock_instant_in(struct timespec duration);
/* Suspends the calling thread. */
void clock_sleep(struct timespec duration);

/* Seconds since 1970 on the wall clock: for what is recorded and read by other controllers. */
double clock_time_of_day(void);
#endif
