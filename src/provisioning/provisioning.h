/* How long machines take to boot, learned from those that did, and which of them are overdue.
 *
 * A machine that is overdue is no supply any more: what was to run on it is planned elsewhere and, within bounds,
 * another one is rented. If it comes up after all it is used or returned like any other. What is overdue follows from
 * the time of its rental, which is on record, so that a new owner sees the same.
 *
 * Called by workers for each boot, and by the autoscaler and liveness. */
#ifndef FF_PROVISIONING_H
#define FF_PROVISIONING_H
#include <stdbool.h>

#include "../machines/machines.h"

#define PROVISIONING_SAMPLES_MAX 32 /* boots remembered of each type */

/* With store_lock held. */

/* A machine of the type has just been heard for the first time, so many seconds after its rental. */
void provisioning_record_boot(const char *type_name, double boot_s);
/* Seconds after which a machine of the type is overdue. NULL: the type is not known. */
double provisioning_expected_s(const struct machine_type *type);
bool provisioning_overdue(const struct machine *machine);
/* Seconds after which a machine is taken for one that never comes up. */
double provisioning_give_up_s(const struct machine *machine);

/* Without the lock. */

/* The seconds that all but a few of n boots took, with a margin; where too few were seen, what the type promises
 * (startup_s), with another. Pure. */
double provisioning_expected_of(const double *boot_s, int n, double startup_s);
/* How many machines that are overdue may be replaced at a time. Pure. */
int provisioning_replacements_max(int machines_up);
#endif
