/* Reads the cloud's catalogue of machine types. Called on the cloud's thread, without store_lock. */
#ifndef FF_CLOUD_CATALOGUE_H
#define FF_CLOUD_CATALOGUE_H
#include "../settings/settings.h"

/* Reads the catalogue and writes it to the store, unless it exceeds the store's next limit for a value. One controller
 * does this for all: if each read the catalogue, no calls would be left when the first machines must be rented. */
void catalogue_read(const struct settings *settings);
#endif
