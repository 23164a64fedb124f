/* Scale-out: chooses the machines to rent for waiting tasks, for headroom and for gangs that are expected soon. */
#ifndef FF_AUTOSCALER_SCALE_OUT_H
#define FF_AUTOSCALER_SCALE_OUT_H
#include "../machines/machines.h"
#include "planned_machine.h"

/* Must be called once, before the threads start. The settings are not copied and must stay valid. */
void scale_out_init(const struct settings *settings);
/* Fills requests with at most max_requests rental requests of all shards that this controller owns, in descending order
 * of weight. Returns their number. Runs on the cloud's thread, with store_lock held. */
int scale_out_plan(struct rental_request *requests, int max_requests);
#endif
