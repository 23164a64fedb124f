/* What the files of this package share: the registry as records change it. With store_lock held. */
#ifndef FF_MACHINES_INTERNAL_H
#define FF_MACHINES_INTERNAL_H
#include "machines.h"

extern const struct settings *machines_settings;

/* A record names the machine: it is in the shard, on the page, or on none (-1) in a record of its own. */
struct machine *machines_place(const char *id, int shard, int page);
/* No record names the machine any more, which proves that the cloud has confirmed its return: what was allocated on it
 * is released. May free the machine. */
void machines_remove(struct machine *machine);
#endif
