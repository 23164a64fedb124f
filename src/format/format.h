/* Version of the layout of the records in the state service.
 *
 * During a rolling upgrade controllers of two versions work on the same records, and a controller that ends before its
 * turn comes back in the old version. A layout that the old version would misread may be written only once no
 * controller can come back old. The proof is durable and monotone: each controller records the version that it can read
 * under `format/NODE`, without a lease, and a controller is never downgraded. */
#ifndef FF_FORMAT_H
#define FF_FORMAT_H
#include <stdbool.h>

#include "../store/store.h"

/* Version 1 has no record. Version 2 adds records of bookings that name their own stretch of tasks. */
#define FORMAT_VERSION 2
/* Version 3 can read records of divided teams. A controller records it only while its settings divide a team, so that
 * an earlier version may come back once no team is divided any more. */
#define FORMAT_DIVIDED 3

void format_init(const struct settings *s);

/* All with store_lock held. */

/* Whether every controller of the settings has recorded this version: its layout may be written from now on. */
bool format_active(void);
/* Whether every controller's latest record says that it reads, and its settings ask for, divided teams. */
bool format_divided(void);
/* Adds the record of our own version to the transaction; false if it is on record already. */
bool format_announce(struct store_txn *t);
#endif
