/* Stand-in of the cloud: it rents and takes back the machines of workers.h. It refuses the first three rentals, each
 * for another of the reasons that a cloud may give. Any thread, without the lock. */
#ifndef FF_STANDIN_CLOUD_H
#define FF_STANDIN_CLOUD_H
#include <stdbool.h>

/* Serves the cloud's requests on this address; after standin_workers_start. False if the address is in use. */
bool standin_cloud_start(const char *address);

/* No rental is refused from now on. */
void standin_cloud_refuse_no_rental(void);
/* From now on it has no more than so many machines at a time. */
void standin_cloud_set_capacity(int machines);

/* Machines rented so far. */
int standin_cloud_rented(void);
/* Rentals refused so far, or left out by standin_cloud_refuse_no_rental. */
int standin_cloud_rentals_refused(void);
/* Machines returned so far. */
int standin_cloud_returned(void);
/* How often a claim (the key of an idempotent rental) came again with another request. */
int standin_cloud_claims_reused(void);
#endif
