/* All slices wired as in the service, with one shard owned: what tests of an owner's decisions begin from. */
#ifndef FF_STANDIN_OWNED_H
#define FF_STANDIN_OWNED_H
#include <stdbool.h>
#include <stdint.h>

#include "machines/machines.h"
#include "membership/membership.h"
#include "scheduler/round.h"
#include "service/service.h"
#include "store/store.h"

void owned_start(const struct settings *settings);

/* All with store_lock held. */
int64_t owned_next_stamp(void);
void owned_put(const char *key, const char *json); /* json NULL: the key goes */
/* A steady machine of shard 0 with a free room of 16 CPUs, 2 GPUs, 64 GB, on a page and up. */
struct machine *owned_machine(const char *id, const char *zone, bool spot);
/* So many of them, in all zones in turn, with their pages written at once. */
void owned_fleet(struct machine **all, int n, bool spot);
/* A job of team green, which is shard 0's, accepted `age` seconds ago. */
struct job *owned_job(const char *job_id, const char *shape, const char *rank, int tasks, double cpus, double gpus,
                      bool together, bool reclaimable, double age);
/* Books tasks 0.. of the job, one on each of the machines, running for long. */
void owned_book(struct job *job, struct machine **machines, int n);
/* Tasks that the round plans, of one job or (job_id NULL) of all. */
int owned_planned_tasks(const struct scheduling_round *round, const char *job_id);
/* Everything of a test goes, so that the next begins with an empty shard. */
void owned_clear(void);
#endif
