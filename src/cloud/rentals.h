/* Rental and return calls. On the cloud's thread, without the lock. */
#ifndef FF_CLOUD_RENTALS_H
#define FF_CLOUD_RENTALS_H
#include <stdbool.h>

#include "../model/machine.h"
#include "../settings/settings.h"

/* Once, before the threads start. The settings stay the caller's. */
void rentals_init(const struct settings *settings);
/* A rental was begun whose outcome is not known yet: no other one is begun before. */
bool rentals_any_open(void);
/* Begins a rental under a new claim. */
void rentals_open(const struct rental_request *request);
/* Makes the call of the open rental. */
void rentals_call(void);
/* Returns machines. */
void rentals_return(char ids[][MACHINE_ID_SIZE], int n);
#endif
