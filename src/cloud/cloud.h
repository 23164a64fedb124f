/* The cloud: machine types, rentals, returns, and the lagging list of machines. */
#ifndef FF_CLOUD_H
#define FF_CLOUD_H
#include <stdbool.h>

#include "../model/machine.h"
#include "../settings/settings.h"

void cloud_init(const struct settings *s);
void cloud_start(void);

/* What is to be rented and returned is decided above: asked with store_lock held, on the cloud's thread. */
struct cloud_planner {
    /* Fills at most `most` requests, the most pressing first; their number. */
    int (*plan_rentals)(struct rental_request *out, int most);
    /* Fills at most `most` ids of machines to return, and in *busy how many of them hold tasks; their number. */
    int (*plan_returns)(char ids[][64], int most, int *busy);
};
void cloud_set_planner(struct cloud_planner planner); /* before cloud_start */

/* With store_lock held. */
bool cloud_may_rent(const char *type_name, const char *site, bool spot); /* has not just refused */
#endif
