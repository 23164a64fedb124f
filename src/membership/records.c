#include "records.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "../clock/clock.h"
#include "../json/json.h"
#include "../logging/logging.h"
#include "../store/store.h"

static const struct settings *cfg;
static struct {
    struct membership_shard_state shards[MEMBERSHIP_SHARDS_MAX];
    struct membership_node nodes[MEMBERSHIP_NODES_MAX];
    int n_nodes;
    char leader[MEMBERSHIP_NAME_BYTES], leader_incarnation[MEMBERSHIP_INCARNATION_BYTES];
    int64_t fencing_counter;
} records;
static char own_incarnation[MEMBERSHIP_INCARNATION_BYTES];

/* ---- queries ---- */

const struct membership_shard_state *membership_shard(int shard) { return &records.shards[shard]; }
struct token_range membership_next_tokens(void) {
    return token_range_of_grant(records.fencing_counter + 1);
}
const char *membership_incarnation(void) { return own_incarnation; }

static bool is_this_incarnation(const char *node, const char *incarnation) {
    return strcmp(node, cfg->node) == 0 && strcmp(incarnation, own_incarnation) == 0;
}

bool membership_owns(int shard) {
    const struct membership_shard_state *record = &records.shards[shard];
    return store_synced() && record->mod_revision && is_this_incarnation(record->owner, record->incarnation) &&
           store_revision() >= record->mod_revision;
}

bool membership_is_leader(void) { return is_this_incarnation(records.leader, records.leader_incarnation); }

int membership_live_controllers(void) {
    int n_live = 0;
    for (int i = 0; i < records.n_nodes; i++) n_live += records.nodes[i].live;
    return MAX(n_live, 1);
}

int records_node_count(void) { return records.n_nodes; }
const struct membership_node *records_node(int index) { return &records.nodes[index]; }

static struct membership_node *find_node(const char *name) {
    for (int i = 0; i < records.n_nodes; i++)
        if (strcmp(records.nodes[i].name, name) == 0) return &records.nodes[i];
    return NULL;
}

const struct membership_node *records_find_node(const char *name) { return *name ? find_node(name) : NULL; }

const struct membership_node *records_own_node(void) {
    const struct membership_node *node = find_node(cfg->node);
    return node && node->live && strcmp(node->incarnation, own_incarnation) == 0 ? node : NULL;
}

const struct membership_node *records_recorded_leader(void) { return records_find_node(records.leader); }

const struct membership_node *records_live_leader(void) {
    const struct membership_node *leader = records_recorded_leader();
    return leader && leader->live && strcmp(leader->incarnation, records.leader_incarnation) == 0 ? leader : NULL;
}

/* ---- JSON ---- */

/* Copies a string member of the JSON into the buffer, or an empty string if there is none. Returns whether the buffer's
 * text has changed. */
static bool read_string(const cJSON *data, const char *member, char *buffer, size_t n) {
    const char *text = json_get_string(data, member);
    if (!text) text = "";
    bool changed = strcmp(buffer, text) != 0;
    g_strlcpy(buffer, text, n);
    return changed;
}

cJSON *records_node_value(bool workers_unreachable) {
    cJSON *value = cJSON_CreateObject();
    cJSON_AddStringToObject(value, "inc", own_incarnation);
    if (workers_unreachable) cJSON_AddBoolToObject(value, "deaf", true);
    return value;
}

cJSON *records_leader_value(void) {
    cJSON *value = cJSON_CreateObject();
    cJSON_AddStringToObject(value, "node", cfg->node);
    cJSON_AddStringToObject(value, "inc", own_incarnation);
    return value;
}

cJSON *membership_shard_value(const char *owner, const char *incarnation, struct token_range tokens) {
    cJSON *value = cJSON_CreateObject();
    cJSON_AddStringToObject(value, "owner", owner);
    cJSON_AddStringToObject(value, "inc", incarnation);
    cJSON_AddNumberToObject(value, "fence", (double)tokens.first);
    cJSON_AddNumberToObject(value, "last", (double)tokens.last);
    return value;
}

void records_compare_own_node(struct store_txn *txn) {
    struct store_key key = store_key_node(cfg->node);
    store_txn_compare(txn, key.text, store_key_revision(key.text));
}

/* ---- observers ---- */

/* Updates the fraction of the store's write rate that this controller may use. Called when the live controllers or the
 * owned shards may have changed. */
static void update_write_fraction(void) {
    int n_owned = 0;
    for (int i = 0; i < cfg->n_shards; i++)
        n_owned += is_this_incarnation(records.shards[i].owner, records.shards[i].incarnation);
    int n_live = membership_live_controllers();
    store_budget_set_change_fraction(n_live, membership_write_fraction(n_live, cfg->n_shards, n_owned));
}

/* Returns NULL if the node is new and there are MEMBERSHIP_NODES_MAX nodes already. */
static struct membership_node *find_or_add_node(const char *name) {
    struct membership_node *node = find_node(name);
    if (node || records.n_nodes == MEMBERSHIP_NODES_MAX) return node;
    node = &records.nodes[records.n_nodes++];
    g_strlcpy(node->name, name, sizeof node->name);
    return node;
}

static void apply_node(const char *name, const cJSON *data, int64_t mod_revision) {
    struct membership_node *node = find_or_add_node(name);
    if (!node) return;
    bool new_incarnation = read_string(data, "inc", node->incarnation, sizeof node->incarnation);
    if (data && (!node->live || new_incarnation)) node->live_since = clock_now();
    if (!data && node->live) log_info("controller %s: lease expired", name);
    node->live = data != NULL;
    node->mod_revision = data ? mod_revision : 0;
    node->workers_unreachable = json_get_bool(data, "deaf");
    update_write_fraction();
}

static void apply_leader(const char *key_suffix, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    if (*key_suffix) return;
    read_string(data, "node", records.leader, sizeof records.leader);
    read_string(data, "inc", records.leader_incarnation, sizeof records.leader_incarnation);
}

static void apply_fencing_counter(const char *key_suffix, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    if (*key_suffix == 0 && cJSON_IsNumber(data)) records.fencing_counter = (int64_t)data->valuedouble;
}

static void apply_shard(const char *key_suffix, const cJSON *data, int64_t mod_revision) {
    int index = (int)g_ascii_strtoll(key_suffix, NULL, 10);
    if (index < 0 || index >= MEMBERSHIP_SHARDS_MAX) return;
    struct membership_shard_state *shard = &records.shards[index];
    bool new_owner = read_string(data, "owner", shard->owner, sizeof shard->owner);
    bool new_incarnation = read_string(data, "inc", shard->incarnation, sizeof shard->incarnation);
    if (new_owner || new_incarnation) {
        const char *owner = json_get_string(data, "owner");
        shard->owner_changed_at = clock_now();
        log_info("shard %d: the owner is now %s", index, owner ? owner : "nobody");
    }
    shard->mod_revision = data ? mod_revision : 0;
    if (!json_get_int64(data, "fence", &shard->fencing_token)) shard->fencing_token = 0;
    if (!json_get_int64(data, "last", &shard->last_token)) shard->last_token = shard->fencing_token;
    update_write_fraction();
}

void records_init(const struct settings *settings) {
    cfg = settings;
    snprintf(own_incarnation, sizeof own_incarnation, "%08x%08x", g_random_int(), g_random_int());
    store_observe_prefix(STORE_PREFIX_NODE, apply_node);
    store_observe_prefix(STORE_KEY_LEADER, apply_leader);
    store_observe_prefix(STORE_KEY_FENCING_COUNTER, apply_fencing_counter);
    store_observe_prefix(STORE_PREFIX_SHARD, apply_shard);
}
