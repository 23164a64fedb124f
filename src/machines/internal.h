/* Functions that change the registry when records are applied. Used only within this package, with store_lock held. */
#ifndef FF_MACHINES_INTERNAL_H
#define FF_MACHINES_INTERNAL_H
#include "machines.h"

/* The settings that machines_init received. */
extern const struct settings *machines_settings;

/* Puts the machine, which is added if necessary, into the shard and on the page that its record names. Page -1 means a
 * transfer record. */
struct machine *machines_set_location(const char *id, int shard, int page);
/* Removes a machine that no record names any more, and releases its allocations: a missing record proves that the cloud
 * has confirmed the return. May free the machine. */
void machines_remove(struct machine *machine);
#endif
