/* Scale-out: which machines are rented, for waiting tasks, for headroom and for gangs to come. */
#ifndef FF_AUTOSCALER_SCALE_OUT_H
#define FF_AUTOSCALER_SCALE_OUT_H
#include "../machines/machines.h"
#include "planned_machine.h"

/* Called before the threads are started; the settings must outlive them. */
void scale_out_init(const struct settings *settings);
/* Fills at most `most` requests of all owned shards, the weightiest first; their number. On the cloud's thread, with
 * store_lock held. */
int scale_out_plan(struct rental_request *out, int most);
#endif
