/* Who may answer workers or start tasks, by the age of the last read of the store. The functions are in membership.h.
 * Used inside the package only. */
#ifndef FF_MEMBERSHIP_READ_VALIDITY_H
#define FF_MEMBERSHIP_READ_VALIDITY_H
#include "../settings/settings.h"

/* Before the threads start. The settings are kept. */
void read_validity_init(const struct settings *settings);
#endif
