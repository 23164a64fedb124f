/* The cloud: machine types, rentals, returns, and the lagging list. */
#ifndef FF_CLOUD_H
#define FF_CLOUD_H
#include <stdbool.h>

#include "../jobs/jobs.h"

void cloud_init(const struct settings *s);
void cloud_start(void);
void cloud_kick(void);
/* With store_lock held. */
bool cloud_flavours_known(void);
const struct machine_type *cloud_flavours(void);
int cloud_flavours_count(void);
const struct machine_type *cloud_flavour(const char *type_name);
void cloud_reopen(const char *type_name, const char *site, bool spot); /* a machine of this kind was given back */
bool cloud_open(const char *type_name, const char *site, bool spot);   /* has not just refused */
#endif
