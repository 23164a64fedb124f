#include "membership.h"

#include <glib.h>
#include <stdbool.h>

#include "../clock/clock.h"
#include "../http/client.h"
#include "../schema_version/schema_version.h"
#include "../store/store.h"
#include "../sync/sync.h"
#include "leader_election.h"
#include "lease.h"
#include "reachability.h"
#include "read_validity.h"
#include "records.h"
#include "shard_assignment.h"

enum { ANNOUNCEMENTS_MAX = 4 };
static const double join_retry_s = 0.4, pause_after_change_s = 0.05, idle_pause_s = 0.2;

static struct {
    membership_announcement callbacks[ANNOUNCEMENTS_MAX];
    int n_callbacks;
} announcements;

void membership_add_announcement(membership_announcement announcement) {
    g_assert(announcements.n_callbacks < ANNOUNCEMENTS_MAX);
    announcements.callbacks[announcements.n_callbacks++] = announcement;
}

static bool add_announcement(struct store_txn *txn) {
    for (int i = 0; i < announcements.n_callbacks; i++)
        if (announcements.callbacks[i](txn)) return true;
    return false;
}

static bool assign_as_leader(struct store_txn *txn) {
    return records_live_leader() == records_own_node() && shard_assignment_assign(txn);
}

/* Adds the most urgent change that is due to the transaction. Returns false if none is due. Called with store_lock
 * held. */
static bool add_next_change(struct store_txn *txn) {
    if (schema_version_store_unreadable() || !store_synced() || !records_own_node()) return false;
    return shard_assignment_reclaim(txn) || add_announcement(txn) || lease_update_record(txn) ||
           leader_election_campaign(txn) || assign_as_leader(txn);
}

static void send_change(struct http_client *client, struct store_txn *txn) {
    struct store_response response;
    enum store_result result = store_commit(client, STORE_PRIORITY_LEASE, txn, &response);
    if (result == STORE_OK) {
        store_lock();
        store_apply_committed(txn, response.revision);
        store_unlock();
    } else if (result == STORE_CONFLICT) {
        for (guint i = 0; i < response.conflicts->len; i++) store_refresh(client, response.conflicts->pdata[i]);
    }
    store_response_clear(&response);
    store_wake_watch();
}

/* Sends the most urgent change that is due. Returns false if none is due. */
static bool make_next_change(struct http_client *client) {
    struct store_txn txn;
    store_txn_init(&txn);
    store_lock();
    bool due = add_next_change(&txn);
    store_unlock();
    if (due) send_change(client, &txn);
    store_txn_free(&txn);
    return due;
}

static void *membership_main(void *arg) {
    (void)arg;
    struct http_client *client = http_client_new();
    for (;;) {
        while (!lease_join(client)) clock_sleep(clock_from_seconds(join_retry_s));
        while (lease_renew_if_due(client)) {
            reachability_probe_if_due(client);
            bool change_sent = make_next_change(client);
            clock_sleep(clock_from_seconds(change_sent ? pause_after_change_s : idle_pause_s));
        }
    }
    return NULL;
}

void membership_init(const struct settings *settings) {
    lease_init(settings);
    shard_assignment_init(settings);
    read_validity_init(settings);
    records_init(settings);
}

void membership_start(void) { sync_start_thread(membership_main, NULL); }
