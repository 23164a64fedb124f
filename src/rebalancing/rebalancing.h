/* Transfers of machines between shards. */
#ifndef FF_REBALANCING_H
#define FF_REBALANCING_H
#include <stdbool.h>

#include "../machines/machines.h"

void rebalancing_init(const struct settings *s);
void rebalancing_plan(int k);
bool rebalancing_allowed(const struct machine *m); /* in this round */
#endif
