/* Applies the store's records of machines to the registry (pages fleet/K/N and transfer records machine/ID), and builds
 * the values that a scheduling round writes. Called with store_lock held. */
#ifndef FF_MACHINES_RECORDS_H
#define FF_MACHINES_RECORDS_H
#include <stdint.h>

#include "machines.h"

/* Registers the observers of the records. Called by machines_init. */
void machines_records_init(void);

/* Builds the value of a page and sets *count to the number of its machines. A page holds many machines of a shard, so
 * that one write records a round's decisions about all these machines. The machines' working values of the round
 * (struct machine_round) are applied: `leaves_page` leaves a machine out, `next_fencing_token` raises its token, and
 * `next_page` puts it on that page, as `page` does for an unregistered machine. The caller owns the value. */
cJSON *machines_page_value(int shard, int page, int *count);
/* Builds the transfer record of a machine on its way to the shard. The caller owns the value. */
cJSON *machines_transfer_value(const struct machine *machine, int shard, struct token_range tokens);
#endif
