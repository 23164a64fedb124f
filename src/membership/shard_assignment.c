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

enum { NOBODY = -1, NO_SHARD = -1 };

static const struct settings *cfg;

void shard_assignment_init(const struct settings *settings) { cfg = settings; }

double membership_write_fraction(int live, int size, int owned) {
    /* Changes go with shards, but for the jobs that any controller accepts: one that came back and owns nothing yet
     * once held a third of them, while an owner of two shards wrote for 13 s what it knew after a cut. */
    const double accepts = 0.25;
    return (accepts + owned) / (accepts * MAX(live, 1) + size);
}

int membership_plan_assignment(int size, const int *owner, int nodes, int *to) {
    int owned[MEMBERSHIP_NODES_MAX] = {0}, least = 0, most = 0;
    if (nodes <= 0) return NO_SHARD;
    for (int i = 0; i < size; i++)
        if (owner[i] >= 0) owned[owner[i]]++;
    for (int i = 1; i < nodes; i++) {
        if (owned[i] < owned[least]) least = i;
        if (owned[i] > owned[most]) most = i;
    }
    *to = least;
    for (int i = 0; i < size; i++)
        if (owner[i] < 0) return i;
    if (owned[most] - owned[least] < 2) return NO_SHARD;
    for (int i = 0; i < size; i++)
        if (owner[i] == most) return i;
    return NO_SHARD;
}

/* Gives a shard to a node, and moves the fencing counter. */
static void add_assignment(struct store_txn *txn, int shard, const struct node *to) {
    struct store_key key = store_key_shard(shard);
    int64_t fencing_token = membership_fencing_token() + 1;
    store_txn_compare(txn, key.text, membership_shard(shard)->mod_revision);
    store_txn_put(txn, key.text, membership_shard_value(to->name, to->incarnation, fencing_token), 0);
    store_txn_compare(txn, STORE_KEY_FENCING_COUNTER, store_key_revision(STORE_KEY_FENCING_COUNTER));
    store_txn_put(txn, STORE_KEY_FENCING_COUNTER, cJSON_CreateNumber((double)fencing_token), 0);
    store_txn_compare(txn, store_key_node(to->name).text, to->mod_revision);
    records_require_self(txn);
}

bool shard_assignment_reclaim(struct store_txn *txn) {
    for (int i = 0; i < cfg->size; i++) {
        const struct shard *shard = membership_shard(i);
        if (strcmp(shard->owner, cfg->node) != 0 || strcmp(shard->incarnation, membership_incarnation()) == 0) continue;
        add_assignment(txn, i, records_self());
        return true;
    }
    return false;
}

/* The nodes that may own shards, and which of them owns which; what is not listed owns nothing. */
struct ownership {
    const struct node *nodes[MEMBERSHIP_NODES_MAX];
    int n_nodes;
    int owner[MEMBERSHIP_SHARDS_MAX]; /* an index of nodes, or NOBODY */
    bool orphans;                     /* a shard has no owner */
};

/* The live nodes; of these only such as reach the workers, where there are any. */
static void list_eligible(struct ownership *ownership) {
    bool any_reaches_workers = false;
    for (int i = 0; i < records_node_count(); i++)
        any_reaches_workers |= records_node(i)->live && !records_node(i)->workers_unreachable;
    for (int i = 0; i < records_node_count(); i++) {
        const struct node *node = records_node(i);
        if (node->live && !(any_reaches_workers && node->workers_unreachable))
            ownership->nodes[ownership->n_nodes++] = node;
    }
}

static int eligible_index(const struct ownership *ownership, const struct node *node) {
    for (int i = 0; i < ownership->n_nodes; i++)
        if (ownership->nodes[i] == node) return i;
    return NOBODY;
}

static void list_owners(struct ownership *ownership) {
    for (int i = 0; i < cfg->size; i++) {
        const struct node *owner = records_find_node(membership_shard(i)->owner);
        ownership->owner[i] = eligible_index(ownership, owner);
        if (ownership->owner[i] == NOBODY) ownership->orphans = true;
    }
}

/* A planned shift waits until the controller has stayed a while, so that shards don't flap with it, and until what
 * brought the controller has passed: a new owner has to ask all machines anew. */
static bool settled(const struct node *to, const struct shard *shard) {
    double wait_s = clock_to_seconds(cfg->lease) / 2;
    return clock_seconds_since(to->since) >= wait_s && clock_seconds_since(shard->owner_changed) >= wait_s;
}

bool shard_assignment_assign(struct store_txn *txn) {
    struct ownership ownership = {0};
    int to = 0;
    list_eligible(&ownership);
    list_owners(&ownership);
    int index = membership_plan_assignment(cfg->size, ownership.owner, ownership.n_nodes, &to);
    if (index == NO_SHARD) return false;
    const struct shard *shard = membership_shard(index);
    const struct node *target = ownership.nodes[to], *former = records_find_node(shard->owner);
    if (!ownership.orphans && !settled(target, shard)) return false;
    if (ownership.orphans && shard->owner[0] && !(former && former->live))
        store_txn_compare(txn, store_key_node(shard->owner).text, 0);
    add_assignment(txn, index, target);
    log_info("shard %d: assigning it to %s", index, target->name);
    return true;
}
