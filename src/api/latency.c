#include "latency.h"

#include <glib.h>
#include <gsl/gsl_histogram.h>
#include <math.h>
#include <pthread.h>

#include "../clock/clock.h"

/* The histogram counts the decimal logarithm of milliseconds, from 0.1 ms to 100 s, in equal bins. */
#define LOG_MS_MIN (-1.0)
#define LOG_MS_MAX 5.0
#define BINS 60
/* Times outside of the range are counted just within it. */
static const double shortest_ms = 0.11, longest_log_ms = 4.99;

#define QUANTILE_MEDIAN 0.5
#define QUANTILE_P95 0.95
#define MS_PER_S 1000

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static gsl_histogram *histogram;

void latency_init(void) {
    histogram = gsl_histogram_alloc(BINS);
    gsl_histogram_set_ranges_uniform(histogram, LOG_MS_MIN, LOG_MS_MAX);
}

void latency_record(struct timespec arrived) {
    double waited_ms = MAX(clock_seconds_since(arrived) * MS_PER_S, shortest_ms);
    pthread_mutex_lock(&lock);
    gsl_histogram_increment(histogram, MIN(log10(waited_ms), longest_log_ms));
    pthread_mutex_unlock(&lock);
}

/* With the lock held: the upper end of the bin in which the quantile lies. */
static double quantile_ms(double quantile) {
    double wanted = quantile * gsl_histogram_sum(histogram), seen = 0, lower, upper;
    for (size_t i = 0; i < gsl_histogram_bins(histogram); i++) {
        seen += gsl_histogram_get(histogram, i);
        gsl_histogram_get_range(histogram, i, &lower, &upper);
        if (seen >= wanted) return pow(10, upper);
    }
    return 0;
}

struct latency_summary latency_take_summary(void) {
    struct latency_summary summary = {0};
    pthread_mutex_lock(&lock);
    summary.answers = (int)gsl_histogram_sum(histogram);
    if (summary.answers > 0) {
        summary.median_ms = quantile_ms(QUANTILE_MEDIAN);
        summary.p95_ms = quantile_ms(QUANTILE_P95);
    }
    gsl_histogram_reset(histogram);
    pthread_mutex_unlock(&lock);
    return summary;
}
