/* Where a task may and should go: decisions on the state at hand, with no I/O and no clock of their own. */
#ifndef FF_PLACEMENT_H
#define FF_PLACEMENT_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../jobs/jobs.h"
#include "../machines/machines.h"

void placement_init(const struct settings *s);

/* The shard's oldest steady on-demand machine, which takes tasks first; NULL: none. */
struct machine *placement_reception(int shard);
/* Before a round: which of the shard's machines take tasks, and what is used on each. */
void placement_prepare_machines(int shard);

struct placement_rules {
    double reception, admission;
    const struct machine *reception_machine;
};

/* Room left on a machine, counting what is allocated and what this round has planned. */
bool placement_fits(const struct machine *machine, const struct job_spec *job);
/* Kind, type and zone, given where the job's other tasks are (planned ones included). */
bool placement_allowed(const struct machine *machine, const struct job *job, const char *together_site, GArray *plans);
unsigned long placement_machines_examined(
    void); /* machines looked at so far: what a round's planning costs, counted in steps */
/* The best machine for one task of the job, or NULL. zone: only there, or NULL. */
struct machine *placement_choose(GPtrArray *machines, const struct job *job, const char *zone,
                                 const struct placement_rules *r, GArray *plans);
/* Occupancy: per component the mean over the window, then the largest; an empty window reads 0. */
double placement_occupancy(const struct machine *machine, int window);
/* The ledger: headroom H = C - O. */
double placement_headroom(int n, double occupied, double reception, double admission);

const char *placement_zone(const struct job *job); /* where its tasks are, for a job that stays together; or NULL */
void placement_reserve(struct machine *machine, const struct job_spec *s, int sign); /* counts a task in or out */
#endif
