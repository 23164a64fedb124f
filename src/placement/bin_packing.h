/* Chooses the machine for a task. All functions need store_lock and, within a scheduling round, must be called after
 * placement_prepare_machines. */
#ifndef FF_PLACEMENT_BIN_PACKING_H
#define FF_PLACEMENT_BIN_PACKING_H
#include <glib.h>

#include "../model/job.h"
#include "../model/machine.h"

/* The occupancy thresholds for choosing a machine, and the shard's reception machine (NULL: it has none). */
struct placement_rules {
    double reception_threshold, admission_threshold;
    const struct machine *reception_machine;
};

/* Returns the best machine for one task of the job, or NULL if no machine has room. `machines` holds struct machine. If
 * `zone` is not NULL, only machines in that zone are considered. `plans` holds this round's struct planned_task, the
 * tasks of the job last (NULL: no tasks). */
struct machine *placement_choose_machine(const GPtrArray *machines, const struct job *job, const char *zone,
                                         const struct placement_rules *rules, const GArray *plans);

/* Returns how many machines placement_choose_machine has examined since the start of the process. Tests use it to
 * measure the cost of planning. */
unsigned long placement_machines_examined(void);
#endif
