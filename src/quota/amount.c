#include "amount.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>

static int64_t rounded_up(double value) { return (int64_t)ceil(value * QUOTA_UNIT - QUOTA_ROUNDING); }
static int64_t rounded_down(double value) { return (int64_t)floor(value * QUOTA_UNIT + QUOTA_ROUNDING); }

struct quota_amount quota_amount_granted(double vcpus, double gpus) {
    return (struct quota_amount){{rounded_down(vcpus), rounded_down(gpus)}};
}

struct quota_amount quota_amount_used(const struct job_spec *spec, int tasks) {
    return (struct quota_amount){{rounded_up(spec->vcpus) * tasks, rounded_up(spec->gpus) * tasks}};
}

struct quota_amount quota_amount_sum(struct quota_amount left, struct quota_amount right) {
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) left.of[dimension] += right.of[dimension];
    return left;
}

struct quota_amount quota_amount_difference(struct quota_amount left, struct quota_amount right) {
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) left.of[dimension] -= right.of[dimension];
    return left;
}

struct quota_amount quota_amount_least(struct quota_amount left, struct quota_amount right) {
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
        left.of[dimension] = MIN(left.of[dimension], right.of[dimension]);
    return left;
}

struct quota_amount quota_amount_most(struct quota_amount left, struct quota_amount right) {
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
        left.of[dimension] = MAX(left.of[dimension], right.of[dimension]);
    return left;
}

bool quota_amount_equal(struct quota_amount left, struct quota_amount right) {
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
        if (left.of[dimension] != right.of[dimension]) return false;
    return true;
}

double quota_amount_units(struct quota_amount amount, enum quota_dimension dimension) {
    return (double)amount.of[dimension] / QUOTA_UNIT;
}
