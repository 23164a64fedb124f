/* Fixture for unit tests of a shard owner's decisions: all packages are initialised as in the service, and this process
 * owns shard 0. */
#ifndef FF_STANDIN_SHARD_OWNER_H
#define FF_STANDIN_SHARD_OWNER_H
#include <stdbool.h>
#include <stdint.h>

#include "machines/machines.h"
#include "membership/membership.h"
#include "scheduler/round.h"
#include "service/service.h"
#include "store/store.h"

/* Initialises the packages and waits up to 10 s until this process owns shard 0. Called without store_lock. */
void shard_owner_start(const struct settings *settings);
/* Reads the settings of test_settings.h, starts the stand-in of the store at their address, and calls
 * shard_owner_start. Returns false if the settings are invalid or the stand-in cannot start. */
bool shard_owner_start_with_store(struct settings *settings);

/* The functions below are called with store_lock held. */

/* Returns a higher mod revision at each call. All of these mod revisions are higher than the mod revisions that the
 * stand-in of the store uses. */
int64_t shard_owner_next_revision(void);
/* Applies a row as if it had been read from the store; json NULL: the row was removed. */
void shard_owner_put(const char *key, const char *json);
/* Applies the record of machine type g16, which the machines below have. */
void shard_owner_put_machine_type(void);
/* Adds a machine to shard 0 and to one of its pages: it is idle, with 16 CPUs, 2 GPUs and 64 GB, up, and has enough
 * samples of its occupancy to be returned. */
struct machine *shard_owner_add_machine(const char *id, const char *zone, bool spot);
/* Adds n machines with the same properties, in the zones in turn, and stores the pointers in `all`. Writes each page
 * once. */
void shard_owner_add_machines(struct machine **all, int n, bool spot);
/* Adds a queued job of team green, which belongs to shard 0, accepted `age` seconds ago. */
struct job *shard_owner_add_job(const char *job_id, const char *shape, const char *priority, int tasks, double cpus,
                                double gpus, bool together, bool reclaimable, double age);
/* Allocates the tasks 0 to n - 1 of the job, one to each machine, as running for 100 s. */
void shard_owner_allocate(struct job *job, struct machine **machines, int n);
/* Number of tasks that the round plans, of one job; job_id NULL: of all jobs. */
int shard_owner_planned_tasks(const struct scheduling_round *round, const char *job_id);
/* Removes all jobs and machines, so that the next test begins with an empty shard. */
void shard_owner_clear(void);
#endif
