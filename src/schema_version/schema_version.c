#include "schema_version.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "../json/json.h"
#include "../logging/logging.h"

static const struct settings *cfg;
static int own_version;                  /* on record; 0: none */
static int peer_version[SETTINGS_SEEDS]; /* likewise, in the order of the seeds */
static bool active;
static int latest[SETTINGS_SEEDS + 1]; /* versions on record now: ours, then the seeds'; 0: none */

/* A controller is only ever upgraded: a lower version, or none, in a later record is a damaged record. */
static void raise_version(int *known, const cJSON *data) {
    int64_t version = 0;
    if (json_get_int64(data, "version", &version) && version > *known) *known = (int)version;
}

static bool all_upgraded(void) {
    if (own_version < SCHEMA_VERSION) return false;
    for (int i = 0; i < cfg->n_seeds; i++)
        if (peer_version[i] < SCHEMA_VERSION) return false;
    return true;
}

static void note_latest(const char *node, const cJSON *data) {
    int64_t version = 0;
    json_get_int64(data, "version", &version);
    if (strcmp(node, cfg->node) == 0) latest[0] = (int)version;
    for (int i = 0; i < cfg->n_seeds; i++)
        if (strcmp(node, cfg->seeds[i].node) == 0) latest[i + 1] = (int)version;
}

bool schema_version_divided_quota(void) {
    for (int i = 0; i <= cfg->n_seeds; i++)
        if (latest[i] < SCHEMA_VERSION_DIVIDED_QUOTA) return false;
    return true;
}

/* The version that our own record is to name. */
static int wanted_version(void) {
    for (int i = 0; i < cfg->n_teams; i++)
        if (cfg->teams[i].shards > 1) return SCHEMA_VERSION_DIVIDED_QUOTA;
    return SCHEMA_VERSION;
}

static void apply_format(const char *node, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    if (strcmp(node, cfg->node) == 0) raise_version(&own_version, data);
    for (int i = 0; i < cfg->n_seeds; i++)
        if (strcmp(node, cfg->seeds[i].node) == 0) raise_version(&peer_version[i], data);
    note_latest(node, data);
    if (active || !all_upgraded()) return;
    active = true;
    log_info("schema version: all %d controllers read version %d, its layout is written from now on", cfg->n_seeds + 1,
             SCHEMA_VERSION);
}

bool schema_version_active(void) { return active; }

bool schema_version_announce(struct store_txn *t) {
    int version = wanted_version();
    bool withdraws = latest[0] == SCHEMA_VERSION_DIVIDED_QUOTA && version < SCHEMA_VERSION_DIVIDED_QUOTA;
    if (own_version >= SCHEMA_VERSION && latest[0] >= version && !withdraws) return false;
    if (own_version >= SCHEMA_VERSION && latest[0] < SCHEMA_VERSION) return false; /* a damaged record */
    struct store_key key = store_key_schema_version(cfg->node);
    cJSON *record = cJSON_CreateObject();
    cJSON_AddNumberToObject(record, "version", version);
    store_txn_compare(t, key.text, store_key_revision(key.text));
    store_txn_put(t, key.text, record, 0);
    log_info("schema version: recording that %s reads version %d", cfg->node, version);
    return true;
}

static bool store_unreadable;

void schema_version_mark_store_unreadable(void) { store_unreadable = true; }
bool schema_version_store_unreadable(void) { return store_unreadable; }

void schema_version_init(const struct settings *s) {
    cfg = s;
    store_observe_prefix(STORE_PREFIX_SCHEMA_VERSION, apply_format);
}
