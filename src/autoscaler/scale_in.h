/* Scale-in: drains machines while the headroom allows it, and lists the machines to return. All functions need
 * store_lock, except scale_in_init and scale_in_drains_to_start. */
#ifndef FF_AUTOSCALER_SCALE_IN_H
#define FF_AUTOSCALER_SCALE_IN_H
#include "../machines/machines.h"

/* Must be called once, before the threads start. The settings are not copied and must stay valid. */
void scale_in_init(const struct settings *settings);
/* Drains surplus machines of the shard. Spot and on-demand machines each have their own headroom. Runs on the
 * scheduler's thread. */
void scale_in_run(int shard);
/* Returns how many drains may start now among n_machines machines. Each drain reduces the headroom by the admission
 * threshold, and may start only while the headroom is above margin * admission_threshold. At most one machine in 16,
 * but at least one, drains at a time. Pure. */
int scale_in_drains_to_start(int n_machines, double headroom, double margin, double admission_threshold,
                             int n_draining);
/* Fills ids with at most max_ids machines whose return is recorded or that have no record, and sets *n_busy to the
 * number of these machines that hold tasks. Returns the number of ids. Runs on the cloud's thread. */
int scale_in_plan_returns(char ids[][MACHINE_ID_SIZE], int max_ids, int *n_busy);
/* Logs the periodic status line of a shard: pending tasks, machines, GPUs, occupancy and headroom. */
void scale_in_log_status(int shard);
#endif
