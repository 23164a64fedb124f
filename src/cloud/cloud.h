/* The cloud: the catalogue of machine types, rentals, returns, and its lagging list of machines. One thread makes all
 * calls, one at a time and within the part of the cloud's rate that is due to this controller. */
#ifndef FF_CLOUD_H
#define FF_CLOUD_H
#include <stdbool.h>

#include "../model/machine.h"
#include "../settings/settings.h"

/* Called before the threads are started; the settings must outlive them. */
void cloud_init(const struct settings *settings);
/* Starts the cloud's thread. */
void cloud_start(void);

/* What is to be rented and returned is decided in a higher layer: asked with store_lock held, on the cloud's thread. */
struct cloud_planner {
    /* Fills at most `most` requests, the most pressing first; their number. */
    int (*plan_rentals)(struct rental_request *out, int most);
    /* Fills at most `most` ids of machines to return, and in *busy how many of them hold tasks; their number. */
    int (*plan_returns)(char ids[][MACHINE_ID_SIZE], int most, int *busy);
};
/* Before cloud_start. */
void cloud_set_planner(struct cloud_planner planner);

/* Whether the cloud has not just refused machines of that kind. With store_lock held. */
bool cloud_may_rent(const char *type_name, const char *zone, bool spot);
#endif
