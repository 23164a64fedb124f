/* Transfers of machines between shards. */
#ifndef FF_TRANSFER_H
#define FF_TRANSFER_H
#include <stdbool.h>

#include "../machines/machines.h"

void transfer_init(const struct settings *s);
void transfer_plan(int k);
bool transfer_possible(const struct machine *m);
bool transfer_allowed(const struct machine *m); /* in this round */
#endif
