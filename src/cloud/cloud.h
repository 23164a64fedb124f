/* The cloud: machine types, rentals, returns, and the lagging list. */
#ifndef FF_CLOUD_H
#define FF_CLOUD_H
#include <stdbool.h>

#include "../jobs/jobs.h"

void cloud_init(const struct settings *s);
void cloud_start(void);
void cloud_wake(void);
/* With store_lock held. */
bool cloud_machine_types_known(void);
const struct machine_type *cloud_machine_types(void);
int cloud_machine_types_count(void);
const struct machine_type *cloud_machine_type(const char *type_name);
void cloud_capacity_freed(const char *type_name, const char *site,
                          bool spot);                                    /* a machine of this kind was given back */
bool cloud_may_rent(const char *type_name, const char *site, bool spot); /* has not just refused */
#endif
