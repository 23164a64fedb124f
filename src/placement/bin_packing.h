/* Which of the machines that may take a task gets it. With store_lock held; within a scheduling round, after
 * placement_prepare_machines. */
#ifndef FF_PLACEMENT_BIN_PACKING_H
#define FF_PLACEMENT_BIN_PACKING_H
#include <glib.h>

#include "../model/job.h"
#include "../model/machine.h"

/* The design's thresholds of occupancy, and the shard's reception machine (NULL: it has none). */
struct placement_rules {
    double reception, admission;
    const struct machine *reception_machine;
};

/* The best machine for one task of the job; NULL: none has room. `machines` are struct machine; `zone` (NULL: any) is
 * the only one in question; `plans` (NULL: none) are the struct planned_task of this round, those of the job last. */
struct machine *placement_choose(const GPtrArray *machines, const struct job *job, const char *zone,
                                 const struct placement_rules *rules, const GArray *plans);

/* Machines examined so far by placement_choose: what planning costs, counted in steps. Read by the tests of that cost.
 */
unsigned long placement_machines_examined(void);
#endif
