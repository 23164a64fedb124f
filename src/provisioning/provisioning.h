/* How long machines take to come up, learned from those that did, and which of them are overdue.
 *
 * A machine that is overdue is no supply any more: what was to run on it is planned elsewhere and, within bounds,
 * another one is rented. If it comes up after all it is used or given back like any other. What is overdue follows from
 * the time of its rental, which is on record, so that a new owner sees the same. */
#ifndef FF_PROVISIONING_H
#define FF_PROVISIONING_H
#include <stdbool.h>

#include "../machines/machines.h"

#define PROVISIONING_SAMPLES_MAX 32 /* of each type */

/* All with store_lock held. */

/* The machine, rented so long ago, has just been heard for the first time. */
void provisioning_record_boot(const char *type_name, double took_s);
/* After how long a machine of the type is overdue. */
double provisioning_expected_s(const struct machine_type *flavour);
bool provisioning_overdue(const struct machine *m);
/* After how long a machine is taken for one that never comes up. */
double provisioning_give_up_s(const struct machine *m);

/* Pure: the time that all but a few of these took, with a margin; what the type promises where too few were seen. */
double provisioning_expected_of(const double *took_s, int n, double startup_s);
/* Pure: how many machines that are overdue may be replaced at a time, of so many that are up. */
int provisioning_replacements_max(int up);
#endif
