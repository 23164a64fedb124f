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
    struct shard shards[MEMBERSHIP_SHARDS_MAX];
    struct node nodes[MEMBERSHIP_NODES_MAX];
    int n_nodes;
    char leader[MEMBERSHIP_NAME_BYTES], leader_incarnation[MEMBERSHIP_INCARNATION_BYTES];
    int64_t fencing_counter;
} records;
static char own_incarnation[MEMBERSHIP_INCARNATION_BYTES];

/* ---- what the records say ---- */

const struct shard *membership_shard(int shard) { return &records.shards[shard]; }
int64_t membership_fencing_token(void) { return records.fencing_counter; }
const char *membership_incarnation(void) { return own_incarnation; }

static bool names_self(const char *node, const char *incarnation) {
    return strcmp(node, cfg->node) == 0 && strcmp(incarnation, own_incarnation) == 0;
}

bool membership_owns(int shard) {
    const struct shard *record = &records.shards[shard];
    return store_synced() && record->mod_revision && names_self(record->owner, record->incarnation) &&
           store_revision() >= record->mod_revision;
}

bool membership_is_leader(void) { return names_self(records.leader, records.leader_incarnation); }

int membership_live_controllers(void) {
    int live = 0;
    for (int i = 0; i < records.n_nodes; i++) live += records.nodes[i].live;
    return MAX(live, 1);
}

int records_node_count(void) { return records.n_nodes; }
const struct node *records_node(int index) { return &records.nodes[index]; }

static struct node *find_node(const char *name) {
    for (int i = 0; i < records.n_nodes; i++)
        if (strcmp(records.nodes[i].name, name) == 0) return &records.nodes[i];
    return NULL;
}

const struct node *records_find_node(const char *name) { return *name ? find_node(name) : NULL; }

const struct node *records_self(void) {
    const struct node *node = find_node(cfg->node);
    return node && node->live && strcmp(node->incarnation, own_incarnation) == 0 ? node : NULL;
}

const struct node *records_named_leader(void) { return records_find_node(records.leader); }

const struct node *records_live_leader(void) {
    const struct node *leader = records_named_leader();
    return leader && leader->live && strcmp(leader->incarnation, records.leader_incarnation) == 0 ? leader : NULL;
}

/* ---- JSON ---- */

/* Copies a member's text, or the empty text where there is none; whether it differs from what was there. */
static bool read_text(const cJSON *data, const char *name, char *text, size_t n) {
    const char *read = json_get_string(data, name);
    if (!read) read = "";
    bool differs = strcmp(text, read) != 0;
    g_strlcpy(text, read, n);
    return differs;
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

cJSON *membership_shard_value(const char *owner, const char *incarnation, int64_t fencing_token) {
    cJSON *value = cJSON_CreateObject();
    cJSON_AddStringToObject(value, "owner", owner);
    cJSON_AddStringToObject(value, "inc", incarnation);
    cJSON_AddNumberToObject(value, "fence", (double)fencing_token);
    return value;
}

void records_require_self(struct store_txn *txn) {
    struct store_key key = store_key_node(cfg->node);
    store_txn_compare(txn, key.text, store_key_revision(key.text));
}

/* ---- observers ---- */

/* This controller's part of the rate budget follows the live controllers and its shards. */
static void update_budget(void) {
    int owned = 0;
    for (int i = 0; i < cfg->size; i++) owned += names_self(records.shards[i].owner, records.shards[i].incarnation);
    int live = membership_live_controllers();
    store_budget_set_fraction(live, membership_write_fraction(live, cfg->size, owned));
}

static struct node *find_or_add_node(const char *name) {
    struct node *node = find_node(name);
    if (node || records.n_nodes == MEMBERSHIP_NODES_MAX) return node;
    node = &records.nodes[records.n_nodes++];
    g_strlcpy(node->name, name, sizeof node->name);
    return node;
}

static void apply_node(const char *name, const cJSON *data, int64_t mod_revision) {
    struct node *node = find_or_add_node(name);
    if (!node) return;
    bool restarted = read_text(data, "inc", node->incarnation, sizeof node->incarnation);
    if (data && (!node->live || restarted)) node->since = clock_now();
    if (!data && node->live) log_info("controller %s: lease expired", name);
    node->live = data != NULL;
    node->mod_revision = data ? mod_revision : 0;
    node->workers_unreachable = json_get_bool(data, "deaf");
    update_budget();
}

static void apply_leader(const char *rest, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    if (*rest) return;
    read_text(data, "node", records.leader, sizeof records.leader);
    read_text(data, "inc", records.leader_incarnation, sizeof records.leader_incarnation);
}

static void apply_fencing_counter(const char *rest, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    if (*rest == 0 && cJSON_IsNumber(data)) records.fencing_counter = (int64_t)data->valuedouble;
}

static void apply_shard(const char *rest, const cJSON *data, int64_t mod_revision) {
    int index = (int)g_ascii_strtoll(rest, NULL, 10);
    if (index < 0 || index >= MEMBERSHIP_SHARDS_MAX) return;
    struct shard *shard = &records.shards[index];
    bool other_owner = read_text(data, "owner", shard->owner, sizeof shard->owner);
    bool other_incarnation = read_text(data, "inc", shard->incarnation, sizeof shard->incarnation);
    if (other_owner || other_incarnation) {
        const char *owner = json_get_string(data, "owner");
        shard->owner_changed = clock_now();
        log_info("shard %d: owner %s", index, owner ? owner : "nobody");
    }
    shard->mod_revision = data ? mod_revision : 0;
    if (!json_get_int64(data, "fence", &shard->fencing_token)) shard->fencing_token = 0;
    update_budget();
}

void records_init(const struct settings *settings) {
    cfg = settings;
    snprintf(own_incarnation, sizeof own_incarnation, "%08x%08x", g_random_int(), g_random_int());
    store_observe_prefix(STORE_PREFIX_NODE, apply_node);
    store_observe_prefix(STORE_KEY_LEADER, apply_leader);
    store_observe_prefix(STORE_KEY_FENCING_COUNTER, apply_fencing_counter);
    store_observe_prefix(STORE_PREFIX_SHARD, apply_shard);
}
