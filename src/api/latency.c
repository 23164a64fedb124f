#include "latency.h"

#include <glib.h>
#include <gsl/gsl_histogram.h>
#include <math.h>
#include <pthread.h>

#include "../clock/clock.h"

/* The bins have equal widths in the decimal logarithm of the milliseconds, from 0.1 ms to 100 s. */
#define LOG10_MS_MIN (-1.0)
#define LOG10_MS_MAX 5.0
#define BINS 60
/* GSL ignores values out of range, so shorter and longer times are counted as these. */
static const double shortest_ms = 0.11, longest_log10_ms = 4.99;

#define QUANTILE_MEDIAN 0.5
#define QUANTILE_P95 0.95
#define MS_PER_S 1000

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static gsl_histogram *histogram;

void latency_init(void) {
    histogram = gsl_histogram_alloc(BINS);
    gsl_histogram_set_ranges_uniform(histogram, LOG10_MS_MIN, LOG10_MS_MAX);
}

void latency_record(struct timespec arrived_at) {
    double response_ms = MAX(clock_seconds_since(arrived_at) * MS_PER_S, shortest_ms);
    pthread_mutex_lock(&lock);
    gsl_histogram_increment(histogram, MIN(log10(response_ms), longest_log10_ms));
    pthread_mutex_unlock(&lock);
}

/* Returns the upper end of the bin that contains the quantile (0 to 1). Called with the lock held. */
static double quantile_ms(double quantile) {
    double target_count = quantile * gsl_histogram_sum(histogram), cumulative_count = 0, lower, upper;
    for (size_t i = 0; i < gsl_histogram_bins(histogram); i++) {
        cumulative_count += gsl_histogram_get(histogram, i);
        gsl_histogram_get_range(histogram, i, &lower, &upper);
        if (cumulative_count >= target_count) return pow(10, upper);
    }
    return 0;
}

struct latency_summary latency_take_summary(void) {
    struct latency_summary summary = {0};
    pthread_mutex_lock(&lock);
    summary.responses = (int)gsl_histogram_sum(histogram);
    if (summary.responses > 0) {
        summary.median_ms = quantile_ms(QUANTILE_MEDIAN);
        summary.p95_ms = quantile_ms(QUANTILE_P95);
    }
    gsl_histogram_reset(histogram);
    pthread_mutex_unlock(&lock);
    return summary;
}
