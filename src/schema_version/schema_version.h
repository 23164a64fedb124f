/* Version of the layout of the records in the store.
 *
 * During a rolling upgrade, controllers of two versions work on the same records, and a controller that exits before it
 * is upgraded restarts in the old version. A layout that the old version would misread may be written only when no
 * controller can restart in the old version. For this, each controller writes the version that it can read to the
 * record `format/NODE`, without a lease, so that the record outlives the process. A controller is never downgraded. */
#ifndef FF_SCHEMA_VERSION_H
#define FF_SCHEMA_VERSION_H
#include <stdbool.h>

#include "../store/store.h"

/* Version 1 is not recorded. Version 2 adds allocation records that contain their own number of tasks per chunk. */
#define SCHEMA_VERSION 2
/* A controller of version 3 can read the records of divided teams. It records version 3 only while its settings divide
 * a team, so that an earlier version can be deployed again when no team is divided any more. */
#define SCHEMA_VERSION_DIVIDED_QUOTA 3

/* Called once, from the program's main thread, before any other thread starts. Keeps the pointer to the settings. */
void schema_version_init(const struct settings *settings);

/* The functions below may be called from any thread, with store_lock held. */

/* Returns whether every controller in the settings has recorded version 2 or higher, so that the layout of version 2
 * may be written. */
bool schema_version_active(void);
/* Returns whether the latest record of every controller contains version 3 or higher: each can read divided teams and
 * has settings that divide one. */
bool schema_version_divided_quota_active(void);
/* Marks the store as unreadable: it holds records of a layout that this version cannot read. This controller then takes
 * no shard and does not become the leader. */
void schema_version_mark_store_unreadable(void);
bool schema_version_store_unreadable(void);
/* Adds the record of this controller's version to the transaction. Returns false, and adds nothing, if the record is up
 * to date or damaged. Called by the membership thread. */
bool schema_version_announce(struct store_txn *txn);
#endif
