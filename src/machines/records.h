/* The records of machines: takes in what the store says (fleet/K/N, machine/ID), and makes the values that a scheduling
 * round writes. With store_lock held. */
#ifndef FF_MACHINES_RECORDS_H
#define FF_MACHINES_RECORDS_H
#include <stdint.h>

#include "machines.h"

/* Observes the records; called by machines_init. */
void machines_records_init(void);

/* The value of a page, as many machines of a shard as a value holds, so that one change carries what a round decided
 * for all of them, and the number of these machines. A machine's working values of the round (struct machine_round)
 * decide: `leaves_page` keeps it out, `next_token` raises its fencing token, `next_page` brings it in, as an
 * unregistered machine's page does that. The value belongs to the caller. */
cJSON *machines_page_value(int shard, int page, int *count);
/* The value of the machine's own record, on its way to another shard. It belongs to the caller. */
cJSON *machines_single_value(const struct machine *machine, int shard, int64_t fencing_token);
#endif
