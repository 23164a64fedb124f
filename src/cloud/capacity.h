/* Remembers which kinds of machines (type, zone, spot or on-demand) the cloud has refused to rent, and when they may be
 * requested again. The functions are called with store_lock held, except capacity_init. */
#ifndef FF_CLOUD_CAPACITY_H
#define FF_CLOUD_CAPACITY_H
#include "../model/machine.h"

/* Called once, before the threads start. */
void capacity_init(void);
/* Records that the cloud rented out all machines of the request. */
void capacity_note_available(const struct rental_request *request);
/* Records that the cloud rented out fewer machines than requested, or none. */
void capacity_note_refused(const struct rental_request *request);
#endif
