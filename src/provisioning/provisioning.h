/* Learns how long machines take to boot, and tells which booting machines are overdue.
 *
 * An overdue machine no longer counts as capacity: its tasks are planned elsewhere and, within a limit, a replacement
 * is rented. If it comes up after all, it is used or returned like any other machine. Whether a machine is overdue
 * depends on its rental time, which is recorded, so a new owner computes it from the same time.
 *
 * Called by workers for each boot, and by the autoscaler and liveness. */
#ifndef FF_PROVISIONING_H
#define FF_PROVISIONING_H
#include <stdbool.h>

#include "../machines/machines.h"

#define PROVISIONING_SAMPLES_MAX 32 /* boot times kept for each machine type */

/* The following functions must be called with store_lock held. */

/* Records that a machine of the type sent its first message boot_s seconds after its rental. */
void provisioning_record_boot(const char *type_name, double boot_s);
/* Returns the seconds after its rental at which a machine of the type is overdue. type may be NULL: not known. */
double provisioning_expected_startup_s(const struct machine_type *type);
/* Tells whether the machine is not up although its expected startup time has passed. */
bool provisioning_overdue(const struct machine *machine);
/* Returns the seconds after its rental at which a machine that is not up counts as failed. */
double provisioning_boot_timeout_s(const struct machine *machine);

/* The following functions are pure and need no lock. */

/* Returns the expected startup time in seconds: a high quantile of the n boot times, with a margin and within bounds
 * set by startup_s, the time that the cloud promises; or, if n is too small, startup_s with another margin. */
double provisioning_estimate_startup_s(const double *boot_s, int n, double startup_s);
/* Returns how many overdue machines may be replaced at a time. */
int provisioning_replacements_max(int machines_up);
#endif
