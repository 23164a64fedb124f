/* Which type of machine is rented for a job, in which zone, spot or on-demand. On the cloud's thread, with store_lock
 * held. */
#ifndef FF_AUTOSCALER_RENTAL_CHOICE_H
#define FF_AUTOSCALER_RENTAL_CHOICE_H
#include <stdbool.h>

#include "../model/job.h"
#include "../model/machine.h"
#include "../settings/settings.h"

/* What a job that allows spot machines may get; other jobs get on-demand ones. */
enum rental_kinds {
    RENTAL_SPOT_ONLY,
    RENTAL_SPOT_FIRST /* an on-demand one where no spot one can be had */
};

/* Once, before the threads start. The settings stay the caller's. */
void rental_choice_init(const struct settings *settings);
/* Begins the plan of a shard in which so many tasks wait: no machine is counted in any zone. */
void rental_choice_begin(int waiting_tasks);
/* Counts a machine of the shard, there or requested, in its zone. */
void rental_choice_count(const char *zone);
/* The cheapest type that fits a task of the job, in that zone (NULL: any) and in no zone that has just refused. Sets
 * type, zone and kind of the request; false: there is none. */
bool rental_choice_find(int shard, const struct job *job, const char *zone, enum rental_kinds kinds,
                        struct rental_request *request);
#endif
