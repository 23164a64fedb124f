/* Amounts of the resources that a team's limit and guarantee cover: processors and GPUs, in integer thousandths so that
 * sums are exact. */
#ifndef FF_QUOTA_AMOUNT_H
#define FF_QUOTA_AMOUNT_H
#include <stdbool.h>
#include <stdint.h>

#include "../jobs/job_spec.h"

enum quota_dimension { QUOTA_VCPUS, QUOTA_GPUS, QUOTA_DIMENSIONS };

struct quota_amount {
    int64_t thousandths[QUOTA_DIMENSIONS];
};

#define QUOTA_ROUNDING_TOLERANCE 1e-6 /* decimal amounts are not exact in binary */
#define QUOTA_THOUSANDTHS_PER_UNIT 1000.0

/* Returns the amount of a limit or guarantee, rounded down to thousandths. */
struct quota_amount quota_amount_rounded_down(double vcpus, double gpus);
/* Returns the amount that `tasks` tasks of the job use. The amount of one task is rounded up to thousandths. */
struct quota_amount quota_amount_of_tasks(const struct job_spec *spec, int tasks);
struct quota_amount quota_amount_sum(struct quota_amount left, struct quota_amount right);
struct quota_amount quota_amount_difference(struct quota_amount left, struct quota_amount right);
/* Return the minimum and the maximum in each dimension. */
struct quota_amount quota_amount_min(struct quota_amount left, struct quota_amount right);
struct quota_amount quota_amount_max(struct quota_amount left, struct quota_amount right);
/* Returns one dimension as a number of processors or GPUs. */
double quota_amount_units(struct quota_amount amount, enum quota_dimension dimension);
bool quota_amount_equal(struct quota_amount left, struct quota_amount right);
#endif
