/* Makes the cloud calls that rent and return machines. Called on the cloud's thread, without store_lock. */
#ifndef FF_CLOUD_RENTALS_H
#define FF_CLOUD_RENTALS_H
#include <stdbool.h>

#include "../model/machine.h"
#include "../settings/settings.h"

/* Called once, before the threads start. The settings must outlive the threads. */
void rentals_init(const struct settings *settings);
/* Tells whether a rental is open: its outcome is not known yet. Only one rental is open at a time. */
bool rentals_has_open(void);
/* Opens a rental under a new claim, without calling the cloud. */
void rentals_open(const struct rental_request *request);
/* Sends the request of the open rental, and closes the rental unless its outcome remains unknown. */
void rentals_call(void);
/* Returns n machines to the cloud. */
void rentals_return(char ids[][MACHINE_ID_SIZE], int n);
#endif
