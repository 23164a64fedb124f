/* Stand-in of the cloud, which rents out the machines of workers.h and takes them back. It refuses the first three
 * rentals, each for a different reason that a cloud may give. Its functions may be called from any thread, without
 * store_lock. */
#ifndef FF_STANDIN_CLOUD_H
#define FF_STANDIN_CLOUD_H
#include <stdbool.h>

/* Serves the cloud's API at this address. Called after standin_workers_start. Returns false if the address is in use.
 */
bool standin_cloud_start(const char *address);

/* From now on no rental is refused. */
void standin_cloud_stop_refusing_rentals(void);
/* Limits the number of machines that are rented at the same time. */
void standin_cloud_set_capacity(int machines);

/* From now on requests to rent, or to return machines, get an error and are carried out only by
 * standin_cloud_execute_delayed. A repeated request of either kind is answered like the first. */
void standin_cloud_delay_requests(void);
/* Carries out the delayed requests, and ends the delay. */
void standin_cloud_execute_delayed(void);
/* Number of delayed requests: rentals, and returns. */
int standin_cloud_delayed_rentals(void);
int standin_cloud_delayed_returns(void);

/* Number of machines rented so far. */
int standin_cloud_rented(void);
/* Number of rentals refused so far; 3 after standin_cloud_stop_refusing_rentals, however many were refused. */
int standin_cloud_rentals_refused(void);
/* Number of machines returned so far. */
int standin_cloud_returned(void);
/* How often a claim (the idempotency key of a rental) was sent again with a different request. */
int standin_cloud_claims_reused(void);
#endif
