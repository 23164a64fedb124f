/* All packages wired as in the service, with shard 0 owned by this process: what unit tests of a shard owner's
 * decisions begin with. */
#ifndef FF_STANDIN_OWNED_H
#define FF_STANDIN_OWNED_H
#include <stdbool.h>
#include <stdint.h>

#include "machines/machines.h"
#include "membership/membership.h"
#include "scheduler/round.h"
#include "service/service.h"
#include "store/store.h"

/* Wires the packages and waits until shard 0 is owned. Without the lock. */
void owned_start(const struct settings *settings);
/* Reads the settings of site.h, starts a stand-in of the store for them, then as owned_start. False: one of both
 * failed. */
bool owned_start_site(struct settings *settings);

/* All below with store_lock held. */

/* A mod revision above all before. */
int64_t owned_next_revision(void);
void owned_put(const char *key, const char *json); /* as if read from the store; json NULL: the row is removed */
/* The record of the machine type of all machines below. */
void owned_put_machine_type(void);
/* A steady machine of shard 0 with 16 CPUs, 2 GPUs and 64 GB free, on one of its pages and up. */
struct machine *owned_machine(const char *id, const char *zone, bool spot);
/* So many of them, in all zones in turn, with their pages written at once. */
void owned_machines(struct machine **all, int n, bool spot);
/* A job of team green, which is shard 0's, accepted `age` seconds ago. */
struct job *owned_job(const char *job_id, const char *shape, const char *rank, int tasks, double cpus, double gpus,
                      bool together, bool reclaimable, double age);
/* Allocates tasks 0.. of the job, one on each of the machines, running for long. */
void owned_allocate(struct job *job, struct machine **machines, int n);
/* Tasks that the round plans, of one job or (job_id NULL) of all. */
int owned_planned_tasks(const struct scheduling_round *round, const char *job_id);
/* Removes all jobs and machines, so that the next test begins with an empty shard. */
void owned_clear(void);
#endif
