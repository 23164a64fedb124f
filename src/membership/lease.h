/* The lease under which this controller is live: joining, renewing. Used by the membership thread only. */
#ifndef FF_MEMBERSHIP_LEASE_H
#define FF_MEMBERSHIP_LEASE_H
#include <stdbool.h>
#include <stdint.h>

#include "../http/client.h"
#include "../settings/settings.h"
#include "../store/store.h"

/* Before the thread starts. The settings are kept. */
void lease_init(const struct settings *settings);

/* Without store_lock; both block. Whether this controller holds a lease then. */

/* Takes a lease and records this controller under it. */
bool lease_join(struct http_client *client);
/* Renews the lease when it is time. False: it has expired. */
bool lease_renew_if_due(struct http_client *client);

/* With or without store_lock. 0: none is held. */
int64_t lease_id(void);

/* With store_lock held: adds this controller's record to the transaction; false if it is current. */
bool lease_update_record(struct store_txn *txn);
#endif
