/* Rents machines from the cloud, returns them, and reads the cloud's catalogue of machine types and its list of
 * machines, which lags behind. One thread makes all calls, one at a time and within this controller's share of the
 * cloud's rate limit. */
#ifndef FF_CLOUD_H
#define FF_CLOUD_H
#include <stdbool.h>

#include "../model/machine.h"
#include "../settings/settings.h"

/* Called once, before the threads are started. The settings must outlive the threads. */
void cloud_init(const struct settings *settings);
/* Starts the cloud's thread. */
void cloud_start(void);

/* Functions of a higher layer that decide which machines to rent and to return. They are called with store_lock held,
 * on the cloud's thread. */
struct cloud_planner {
    /* Writes up to max_requests requests, the most needed first. Returns their number. */
    int (*plan_rentals)(struct rental_request *requests, int max_requests);
    /* Writes up to max_ids ids of machines to return, and to *n_busy how many of these hold tasks. Returns the number
     * of ids. */
    int (*plan_returns)(char ids[][MACHINE_ID_SIZE], int max_ids, int *n_busy);
};
/* Called before cloud_start. */
void cloud_set_planner(struct cloud_planner planner);

/* Tells whether machines of this kind may be requested: false for some time after the cloud has refused machines of
 * this kind. Called with store_lock held. */
bool cloud_may_rent(const char *type_name, const char *zone, bool spot);
#endif
