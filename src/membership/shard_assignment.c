#include "shard_assignment.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../store/store.h"
#include "membership.h"
#include "records.h"

enum { NO_OWNER = -1, NO_SHARD = -1 };

static const struct settings *cfg;

void shard_assignment_init(const struct settings *settings) { cfg = settings; }

double membership_write_fraction(int n_live, int n_shards, int n_owned) {
    /* Most changes concern the shards that a controller owns; any controller also accepts jobs. An equal division gave
     * a third of the rate to a restarted controller without shards, while an owner of two shards took 13 s to write its
     * backlog after a network partition. */
    const double accepting_jobs_weight = 0.25; /* relative to owning one shard */
    return (accepting_jobs_weight + n_owned) / (accepting_jobs_weight * MAX(n_live, 1) + n_shards);
}

int membership_plan_assignment(int n_shards, const int *owners, int n_nodes, int *new_owner) {
    int n_owned[MEMBERSHIP_NODES_MAX] = {0}, least_loaded = 0, most_loaded = 0;
    if (n_nodes <= 0) return NO_SHARD;
    for (int i = 0; i < n_shards; i++)
        if (owners[i] >= 0) n_owned[owners[i]]++;
    for (int i = 1; i < n_nodes; i++) {
        if (n_owned[i] < n_owned[least_loaded]) least_loaded = i;
        if (n_owned[i] > n_owned[most_loaded]) most_loaded = i;
    }
    *new_owner = least_loaded;
    for (int i = 0; i < n_shards; i++)
        if (owners[i] < 0) return i;
    if (n_owned[most_loaded] - n_owned[least_loaded] < 2) return NO_SHARD;
    for (int i = 0; i < n_shards; i++)
        if (owners[i] == most_loaded) return i;
    return NO_SHARD;
}

/* Adds the assignment of the shard to the node, with a grant of fencing tokens, to the transaction. */
static void add_assignment(struct store_txn *txn, int shard, const struct membership_node *new_owner) {
    struct store_key key = store_key_shard(shard);
    struct token_range tokens = membership_next_tokens();
    store_txn_compare(txn, key.text, membership_shard(shard)->mod_revision);
    store_txn_put(txn, key.text, membership_shard_value(new_owner->name, new_owner->incarnation, tokens), 0);
    store_txn_compare(txn, STORE_KEY_FENCING_COUNTER, store_key_revision(STORE_KEY_FENCING_COUNTER));
    store_txn_put(txn, STORE_KEY_FENCING_COUNTER, cJSON_CreateNumber((double)tokens.last), 0);
    store_txn_compare(txn, store_key_node(new_owner->name).text, new_owner->mod_revision);
    records_compare_own_node(txn);
}

bool shard_assignment_reclaim(struct store_txn *txn) {
    for (int i = 0; i < cfg->n_shards; i++) {
        const struct membership_shard_state *shard = membership_shard(i);
        if (strcmp(shard->owner, cfg->node) != 0 || strcmp(shard->incarnation, membership_incarnation()) == 0) continue;
        add_assignment(txn, i, records_own_node());
        return true;
    }
    return false;
}

/* The nodes that are eligible to own shards, and the eligible owner of each shard. */
struct ownership {
    const struct membership_node *nodes[MEMBERSHIP_NODES_MAX];
    int n_nodes;
    int owners[MEMBERSHIP_SHARDS_MAX]; /* index in nodes, or NO_OWNER */
    bool has_orphans;                  /* at least one shard has no eligible owner */
};

/* Lists the live nodes that can reach the workers, or all live nodes if none can. */
static void list_eligible(struct ownership *ownership) {
    bool any_reaches_workers = false;
    for (int i = 0; i < records_node_count(); i++)
        any_reaches_workers |= records_node(i)->live && !records_node(i)->workers_unreachable;
    for (int i = 0; i < records_node_count(); i++) {
        const struct membership_node *node = records_node(i);
        if (node->live && !(any_reaches_workers && node->workers_unreachable))
            ownership->nodes[ownership->n_nodes++] = node;
    }
}

static int eligible_index(const struct ownership *ownership, const struct membership_node *node) {
    for (int i = 0; i < ownership->n_nodes; i++)
        if (ownership->nodes[i] == node) return i;
    return NO_OWNER;
}

static void list_owners(struct ownership *ownership) {
    for (int i = 0; i < cfg->n_shards; i++) {
        const struct membership_node *owner = records_find_node(membership_shard(i)->owner);
        ownership->owners[i] = eligible_index(ownership, owner);
        if (ownership->owners[i] == NO_OWNER) ownership->has_orphans = true;
    }
}

/* Returns whether a shard may move to balance the load: the new owner has been live, and the shard's owner unchanged,
 * for half of lease_s. This keeps shards from moving back and forth when a controller comes and goes. It also lets the
 * controller's restart or recovery finish first, since a new owner has to query all machines again. */
static bool may_move_for_balance(const struct membership_node *new_owner, const struct membership_shard_state *shard) {
    double wait_s = clock_to_seconds(cfg->worker_lease) / 2;
    return clock_seconds_since(new_owner->live_since) >= wait_s &&
           clock_seconds_since(shard->owner_changed_at) >= wait_s;
}

bool shard_assignment_assign(struct store_txn *txn) {
    struct ownership ownership = {0};
    int new_owner_index = 0;
    list_eligible(&ownership);
    list_owners(&ownership);
    int index = membership_plan_assignment(cfg->n_shards, ownership.owners, ownership.n_nodes, &new_owner_index);
    if (index == NO_SHARD) return false;
    const struct membership_shard_state *shard = membership_shard(index);
    const struct membership_node *new_owner = ownership.nodes[new_owner_index],
                                 *previous_owner = records_find_node(shard->owner);
    if (!ownership.has_orphans && !may_move_for_balance(new_owner, shard)) return false;
    /* If the previous owner has failed, its node record must still be absent. */
    if (ownership.has_orphans && shard->owner[0] && !(previous_owner && previous_owner->live))
        store_txn_compare(txn, store_key_node(shard->owner).text, 0);
    add_assignment(txn, index, new_owner);
    log_info("shard %d: assigning to %s", index, new_owner->name);
    return true;
}
