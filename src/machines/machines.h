/* The registry of machines: all that a record names or that an allocation refers to, by id and by shard, and what the
 * owner of a shard knows of each.
 *
 * What the store says of machines comes in through records.h; which page of its shard a machine is recorded on is
 * decided in page_assignment.h. Called by the scheduler, by workers, and by whoever decides on machines. */
#ifndef FF_MACHINES_H
#define FF_MACHINES_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../jobs/jobs.h"
#include "../json/json.h"
#include "../model/machine.h"
#include "../model/shard.h"

/* What the owner remembers of each shard, by number. Guarded by store_lock. */
extern struct shard_state shard_states[SHARDS_MAX];

/* Once, before the mirror is started. The settings must outlive the program. */
void machines_init(const struct settings *settings);

/* Who wants to know that a machine no longer exists: its record is removed, which proves that the cloud has confirmed
 * its return. Called with store_lock held, before the machine is taken out of its shard. */
typedef void (*machines_returned_observer)(const struct machine *machine);
/* Sets the one observer; before the mirror is started. */
void machines_on_returned(machines_returned_observer observer);

/* All of these with store_lock held. Pointers to machines belong to the registry and are valid until the lock is
 * released; those of machines with allocations for as long as these exist. */

/* The machine that a record names; NULL: no record names it. */
struct machine *machines_find(const char *id);
/* The machine, or a new stub for an id that only an allocation names so far. */
struct machine *machines_find_or_stub(const char *id);
/* Frees the machine if neither a record nor an allocation names it any more. */
void machines_drop_stub(struct machine *machine);

/* Lists of struct machine, which belong to the registry: all, stubs among them, and those of a shard. */
GPtrArray *machines_all(void);
GPtrArray *machines_of_shard(int shard);
/* The shard that a machine without a record belongs to: that of what is allocated on it, or else by the number in its
 * id. */
int machines_shard_of(const char *id);

/* Whether its shard is owned by this controller. What was known under another fencing token of the shard is reset at
 * the first call. */
bool machines_owned(struct machine *machine);
/* The fencing token under which it is sent directives: its own or its shard's, whichever is higher. */
int64_t machines_fencing_token(const struct machine *machine);
/* Whether it is on its way back to the cloud, or returned already. */
bool machines_leaving(const struct machine *machine);
/* The cloud has confirmed its return: what was allocated on it is released. */
void machines_returned(const char *id);
/* Whether no record has named the machine, on which tasks of an owned shard are allocated, for so long that none can
 * be on its way. Only the cloud's answer to its return proves that the tasks are gone. */
bool machines_unrecorded(const struct machine *machine);

/* Unregistered machines: rented by this controller, or adopted, and not recorded yet. The next scheduling round records
 * them. */

/* id -> struct unregistered_machine; belongs to the registry. */
GHashTable *machines_unregistered(void);
/* Whether the id needs no adoption: it is recorded, unregistered, or was recorded and has been released. */
bool machines_known(const char *id);
/* A worker sends heartbeats under an id that is not known: it is adopted if its shard is owned. */
void machines_adopt(const char *id, const char *address, const char *type_name, const char *zone, bool spot);
/* The cloud has rented a machine for the shard. */
void machines_rented(int shard, const char *id, const char *type_name, const char *zone, bool spot);
#endif
