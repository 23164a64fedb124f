/* Kinds of machines (type, zone, spot or on-demand) that the cloud has just refused. With store_lock held. */
#ifndef FF_CLOUD_CAPACITY_H
#define FF_CLOUD_CAPACITY_H
#include "../model/machine.h"

/* Once, before the threads start. */
void capacity_init(void);
/* The cloud had all machines of the kind that were requested. */
void capacity_note_available(const struct rental_request *request);
/* It had fewer, or none. */
void capacity_note_refused(const struct rental_request *request);
#endif
