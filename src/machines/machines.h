/* The registry of machines, by id and by shard: all machines that a record or an allocation names, with the state that
 * the owner of a machine's shard keeps about the machine.
 *
 * records.h applies the store's records to the registry. page_assignment.h chooses the page of its shard on which a
 * machine is recorded. */
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

/* The state of the shards that this controller owns, by shard number; other entries are not valid. Guarded by
 * store_lock. */
extern struct shard_state owned_shard_states[SHARDS_MAX];

/* Called once, before the mirror is started. Keeps the pointer to the settings. */
void machines_init(const struct settings *settings);

/* Observes the removal of a machine whose record is gone, which proves that the cloud has confirmed its return. Called
 * with store_lock held, before the machine is taken out of its shard. */
typedef void (*machines_returned_observer)(const struct machine *machine);
/* Sets the only observer. Called before the mirror is started. */
void machines_on_returned(machines_returned_observer observer);

/* The functions below are called with store_lock held. Machines belong to the registry. A pointer to a machine is valid
 * until the lock is released, or as long as the machine has allocations. */

/* Returns the machine if a record names it, or NULL. */
struct machine *machines_find(const char *id);
/* Returns the machine. If it is not in the registry, adds a stub, for an id that only an allocation names so far. */
struct machine *machines_find_or_stub(const char *id);
/* Frees the machine if neither a record nor an allocation names it. */
void machines_free_unreferenced(struct machine *machine);

/* Return lists of struct machine, which belong to the registry: all machines including stubs, or the machines of a
 * shard. */
GPtrArray *machines_all(void);
GPtrArray *machines_of_shard(int shard);
/* Returns the shard for a machine that no record names: the shard of the jobs allocated on it, or otherwise a shard
 * computed from the number at the end of its id. */
int machines_shard_for_id(const char *id);

/* Tells whether this controller owns the machine's shard. The first call under a new fencing token of the shard resets
 * the state that was collected under the previous one. */
bool machines_owned(struct machine *machine);
/* Returns the fencing tokens that its owner may use for the machine: the higher of its own range and its shard's. */
struct token_range machines_tokens(const struct machine *machine);
/* Returns the first of these tokens. A worker that has shown it carries out no directive of an earlier owner. */
int64_t machines_fencing_token(const struct machine *machine);
/* Returns the token under which the owner sends directives to the machine at present. */
int64_t machines_current_token(const struct machine *machine);
/* Raises the current token within the range. Returns false if the range is used up. */
bool machines_raise_token(struct machine *machine);
/* Requests a new range, which is granted with the next write of the machine's page. */
void machines_request_tokens(struct machine *machine);
/* Tells whether the machine is being returned to the cloud, or was returned. */
bool machines_leaving(const struct machine *machine);
/* Marks the machine as returned and releases its allocations. Called once the cloud has confirmed the return. */
void machines_mark_returned(const char *id);
/* Tells whether tasks of an owned shard are allocated on the machine although no record names it, and a record that was
 * written before would have reached this controller by now. Only the cloud's answer to the return of the machine proves
 * that the tasks are gone. */
bool machines_is_unrecorded(const struct machine *machine);

/* Unregistered machines: machines that this controller rented or adopted, and that the next scheduling round
 * records. */

/* Returns the table id -> struct unregistered_machine, which belongs to the registry. */
GHashTable *machines_unregistered(void);
/* Tells whether the machine with this id is recorded, unregistered, or was removed. Such a machine is not adopted. */
bool machines_is_known_id(const char *id);
/* Adopts a machine that a worker or the cloud's list reports, unless its id is known or its shard is not owned. */
void machines_adopt(const char *id, const char *address, const char *type_name, const char *zone, bool spot);
/* Adds a machine that the cloud has rented to this controller for the shard. */
void machines_add_rented(int shard, const char *id, const char *type_name, const char *zone, bool spot);
#endif
