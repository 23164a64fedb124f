#include "amount.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>

#define ROUNDING 1e-6 /* decimal amounts are not exact in binary */

static int64_t rounded_up(double v) { return (int64_t)ceil(v * QUOTA_UNIT - ROUNDING); }
static int64_t rounded_down(double v) { return (int64_t)floor(v * QUOTA_UNIT + ROUNDING); }

struct quota_amount quota_amount_granted(double vcpus, double gpus) {
    return (struct quota_amount){{rounded_down(vcpus), rounded_down(gpus)}};
}

struct quota_amount quota_amount_used(const struct job_spec *spec, int tasks) {
    return (struct quota_amount){{rounded_up(spec->vcpus) * tasks, rounded_up(spec->gpus) * tasks}};
}

struct quota_amount quota_amount_sum(struct quota_amount a, struct quota_amount b) {
    for (int d = 0; d < QUOTA_DIMENSIONS; d++) a.of[d] += b.of[d];
    return a;
}

struct quota_amount quota_amount_difference(struct quota_amount a, struct quota_amount b) {
    for (int d = 0; d < QUOTA_DIMENSIONS; d++) a.of[d] -= b.of[d];
    return a;
}

struct quota_amount quota_amount_least(struct quota_amount a, struct quota_amount b) {
    for (int d = 0; d < QUOTA_DIMENSIONS; d++) a.of[d] = MIN(a.of[d], b.of[d]);
    return a;
}

struct quota_amount quota_amount_most(struct quota_amount a, struct quota_amount b) {
    for (int d = 0; d < QUOTA_DIMENSIONS; d++) a.of[d] = MAX(a.of[d], b.of[d]);
    return a;
}

bool quota_amount_equal(struct quota_amount a, struct quota_amount b) {
    for (int d = 0; d < QUOTA_DIMENSIONS; d++)
        if (a.of[d] != b.of[d]) return false;
    return true;
}
