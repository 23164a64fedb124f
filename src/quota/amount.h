/* Amounts of what a team's limit and guarantee count: processors and GPUs, in thousandths, so that sums are exact. */
#ifndef FF_QUOTA_AMOUNT_H
#define FF_QUOTA_AMOUNT_H
#include <stdbool.h>
#include <stdint.h>

#include "../jobs/job_spec.h"

enum quota_dimension { QUOTA_VCPUS, QUOTA_GPUS, QUOTA_DIMENSIONS };

struct quota_amount {
    int64_t of[QUOTA_DIMENSIONS];
};

#define QUOTA_ROUNDING 1e-6 /* decimal amounts are not exact in binary */
#define QUOTA_UNIT 1000.0   /* thousandths in one processor or GPU */

/* Of a limit or guarantee: rounded down. */
struct quota_amount quota_amount_granted(double vcpus, double gpus);
/* Of so many tasks: rounded up. */
struct quota_amount quota_amount_used(const struct job_spec *spec, int tasks);
struct quota_amount quota_amount_sum(struct quota_amount left, struct quota_amount right);
struct quota_amount quota_amount_difference(struct quota_amount left, struct quota_amount right);
struct quota_amount quota_amount_least(struct quota_amount left, struct quota_amount right);
struct quota_amount quota_amount_most(struct quota_amount left, struct quota_amount right);
/* In whole processors or GPUs, for messages. */
double quota_amount_units(struct quota_amount amount, enum quota_dimension dimension);
bool quota_amount_equal(struct quota_amount left, struct quota_amount right);
#endif
