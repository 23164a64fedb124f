/* Scale-in: machines are drained while the headroom allows it, and returned once empty. With store_lock held, but for
 * what is pure. */
#ifndef FF_AUTOSCALER_SCALE_IN_H
#define FF_AUTOSCALER_SCALE_IN_H
#include "../machines/machines.h"

/* Called before the threads are started; the settings must outlive them. */
void scale_in_init(const struct settings *settings);
/* Drains machines of the shard that are surplus, of each kind by its own headroom. On the scheduler's thread. */
void scale_in_run(int shard);
/* Pure: how many drains may start now, of n machines, so that the headroom stays above the margin; at most one machine
 * in sixteen drains at a time. */
int scale_in_drains(int n, double headroom, double margin, double admission, int draining);
/* Fills at most `most` ids of machines whose return is recorded, and in *busy how many of them hold tasks; their
 * number. On the cloud's thread. */
int scale_in_plan_returns(char ids[][MACHINE_ID_SIZE], int most, int *busy);
/* Logs the periodic line of a shard: what waits, what there is, what is left. */
void scale_in_log_status(int shard);
#endif
