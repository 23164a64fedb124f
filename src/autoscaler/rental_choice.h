/* Chooses the type and zone of the machine to rent for a job, and whether it is spot or on-demand. Runs on the cloud's
 * thread, with store_lock held. */
#ifndef FF_AUTOSCALER_RENTAL_CHOICE_H
#define FF_AUTOSCALER_RENTAL_CHOICE_H
#include <stdbool.h>

#include "../model/job.h"
#include "../model/machine.h"
#include "../settings/settings.h"

/* The kinds of machines that may be rented for a job that allows spot machines. Other jobs get on-demand machines. */
enum rental_kinds {
    RENTAL_SPOT_ONLY,
    RENTAL_SPOT_FIRST /* on-demand if no spot machine is available */
};

/* Must be called once, before the threads start. The settings are not copied and must stay valid. */
void rental_choice_init(const struct settings *settings);
/* Begins the plan of a shard with this number of waiting tasks. Resets the counts of machines in all zones. */
void rental_choice_begin_plan(int waiting_tasks);
/* Counts a machine of the shard in its zone. The machine exists or is requested. */
void rental_choice_count_machine(const char *zone);
/* Finds the cheapest machine type that fits a task of the job in the zone (NULL: any), skipping zones that have
 * recently refused a rental or are unreachable. Sets type, zone and kind of the request. Returns false if there is
 * none. */
bool rental_choice_find(int shard, const struct job *job, const char *zone, enum rental_kinds kinds,
                        struct rental_request *request);
#endif
