/* The cloud's catalogue of machine types. On the cloud's thread, without the lock. */
#ifndef FF_CLOUD_CATALOGUE_H
#define FF_CLOUD_CATALOGUE_H
#include "../settings/settings.h"

/* Reads the catalogue and records it. One controller does that for all: each asking for itself would use up the cloud's
 * calls just when the first machines are to be rented. */
void catalogue_read(const struct settings *settings);
#endif
