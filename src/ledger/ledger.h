/* Headroom, drains, and the periodic line of a shard. */
#ifndef FF_LEDGER_H
#define FF_LEDGER_H
#include <stdbool.h>

#include "../machines/machines.h"

void ledger_init(const struct settings *s);
void ledger_run(int k, bool spot);
/* Pure: how many drains may start now, of n machines, so that the headroom stays above the margin; at most one machine
 * in sixteen drains at a time. */
int ledger_drains(int n, double headroom, double margin, double admission, int draining);
void ledger_tell(int k);
#endif
