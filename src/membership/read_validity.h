/* Decides by the age of the last read of the store whether this controller may answer workers and start tasks. The
 * functions for this are declared in membership.h. Used inside the package only. */
#ifndef FF_MEMBERSHIP_READ_VALIDITY_H
#define FF_MEMBERSHIP_READ_VALIDITY_H
#include "../settings/settings.h"

/* Called before the threads start. Keeps the pointer to the settings. */
void read_validity_init(const struct settings *settings);
#endif
