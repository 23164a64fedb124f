/* Takes and renews the lease of this controller. A controller is live as long as the record under its lease exists.
 * Used by the membership thread only. */
#ifndef FF_MEMBERSHIP_LEASE_H
#define FF_MEMBERSHIP_LEASE_H
#include <stdbool.h>
#include <stdint.h>

#include "../http/client.h"
#include "../settings/settings.h"
#include "../store/store.h"

/* Called before the thread starts. Keeps the pointer to the settings. */
void lease_init(const struct settings *settings);

/* The next two functions block, are called without store_lock, and return whether this controller holds a lease
 * afterwards. */

/* Requests a lease and writes the node record of this controller under it. */
bool lease_join(struct http_client *client);
/* Renews the lease if a quarter of its duration has passed since the last renewal. Returns false if the store answers
 * that the lease has expired. */
bool lease_renew_if_due(struct http_client *client);

/* Returns the ID of the lease, or 0 if none is held. Called with or without store_lock. */
int64_t lease_id(void);

/* Adds the node record of this controller to the transaction. Returns false, and adds nothing, if the record is up to
 * date. Called with store_lock held. */
bool lease_update_record(struct store_txn *txn);
#endif
