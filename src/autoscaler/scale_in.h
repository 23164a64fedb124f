/* Headroom, drains, and the periodic line of a shard. */
#ifndef FF_AUTOSCALER_SCALE_IN_H
#define FF_AUTOSCALER_SCALE_IN_H
#include <stdbool.h>

#include "../machines/machines.h"

void scale_in_init(const struct settings *s);
void scale_in_run(int k, bool spot);
/* Pure: how many drains may start now, of n machines, so that the headroom stays above the margin; at most one machine
 * in sixteen drains at a time. */
int scale_in_drains(int n, double headroom, double margin, double admission, int draining);
void scale_in_log_status(int k);
#endif
