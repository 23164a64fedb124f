#include "amount.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>

static int64_t thousandths_rounded_up(double value) {
    return (int64_t)ceil(value * QUOTA_THOUSANDTHS_PER_UNIT - QUOTA_ROUNDING_TOLERANCE);
}
static int64_t thousandths_rounded_down(double value) {
    return (int64_t)floor(value * QUOTA_THOUSANDTHS_PER_UNIT + QUOTA_ROUNDING_TOLERANCE);
}

struct quota_amount quota_amount_rounded_down(double vcpus, double gpus) {
    return (struct quota_amount){{thousandths_rounded_down(vcpus), thousandths_rounded_down(gpus)}};
}

struct quota_amount quota_amount_of_tasks(const struct job_spec *spec, int tasks) {
    return (struct quota_amount){
        {thousandths_rounded_up(spec->vcpus) * tasks, thousandths_rounded_up(spec->gpus) * tasks}};
}

struct quota_amount quota_amount_sum(struct quota_amount left, struct quota_amount right) {
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
        left.thousandths[dimension] += right.thousandths[dimension];
    return left;
}

struct quota_amount quota_amount_difference(struct quota_amount left, struct quota_amount right) {
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
        left.thousandths[dimension] -= right.thousandths[dimension];
    return left;
}

struct quota_amount quota_amount_min(struct quota_amount left, struct quota_amount right) {
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
        left.thousandths[dimension] = MIN(left.thousandths[dimension], right.thousandths[dimension]);
    return left;
}

struct quota_amount quota_amount_max(struct quota_amount left, struct quota_amount right) {
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
        left.thousandths[dimension] = MAX(left.thousandths[dimension], right.thousandths[dimension]);
    return left;
}

bool quota_amount_equal(struct quota_amount left, struct quota_amount right) {
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++)
        if (left.thousandths[dimension] != right.thousandths[dimension]) return false;
    return true;
}

double quota_amount_units(struct quota_amount amount, enum quota_dimension dimension) {
    return (double)amount.thousandths[dimension] / QUOTA_THOUSANDTHS_PER_UNIT;
}
