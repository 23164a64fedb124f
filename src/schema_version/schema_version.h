/* Version of the layout of the records in the state service.
 *
 * During a rolling upgrade controllers of two versions work on the same records, and a controller that ends before its
 * turn comes back in the old version. A layout that the old version would misread may be written only once no
 * controller can come back old. The proof is durable and monotone: each controller records the version that it can read
 * under `format/NODE`, without a lease, and a controller is never downgraded. */
#ifndef FF_SCHEMA_VERSION_H
#define FF_SCHEMA_VERSION_H
#include <stdbool.h>

#include "../store/store.h"

/* Version 1 has no record. Version 2 adds records of allocations that name their own chunk size of tasks. */
#define SCHEMA_VERSION 2
/* Version 3 can read records of divided teams. A controller records it only while its settings divide a team, so that
 * an earlier version may come back once no team is divided any more. */
#define SCHEMA_VERSION_DIVIDED_QUOTA 3

/* Once, from the program's main thread, before any other thread. The settings are kept. */
void schema_version_init(const struct settings *settings);

/* From any thread, with store_lock held. */

/* Whether every controller of the settings has recorded version 2 or higher: its layout may be written from now on. */
bool schema_version_active(void);
/* Whether every controller's latest record says that it reads, and its settings ask for, divided teams. */
bool schema_version_divided_quota(void);
/* The store holds records of a layout that this version does not read: no shard may be taken. */
void schema_version_mark_store_unreadable(void);
bool schema_version_store_unreadable(void);
/* Adds the record of this controller's version to the transaction; false if it is on record already, or if the record
 * is damaged. The membership thread calls it. */
bool schema_version_announce(struct store_txn *txn);
#endif
