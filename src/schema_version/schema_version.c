#include "schema_version.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "../json/json.h"
#include "../logging/logging.h"

/* The versions that one controller has recorded; 0: none. */
struct controller_versions {
    int highest; /* in any of its records so far */
    int latest;  /* in its latest record */
};

static const struct settings *cfg;
static struct {
    struct controller_versions self;
    struct controller_versions peers[SETTINGS_PEERS_MAX]; /* same index as settings.peers */
    bool active;
    bool store_unreadable;
} versions;

/* Returns the version in a record, or 0 if the record was removed or cannot be read. */
static int read_version(const cJSON *data) {
    int64_t version = 0;
    json_get_int64(data, "version", &version);
    return (int)version;
}

static void record_version(struct controller_versions *controller, int version) {
    controller->latest = version;
    /* A controller is never downgraded, so a later record with a lower version, or with none, must not lower the
     * highest one. */
    if (version > controller->highest) controller->highest = version;
}

static bool all_controllers_upgraded(void) {
    if (versions.self.highest < SCHEMA_VERSION) return false;
    for (int i = 0; i < cfg->n_peers; i++)
        if (versions.peers[i].highest < SCHEMA_VERSION) return false;
    return true;
}

bool schema_version_active(void) { return versions.active; }

bool schema_version_divided_quota_active(void) {
    if (versions.self.latest < SCHEMA_VERSION_DIVIDED_QUOTA) return false;
    for (int i = 0; i < cfg->n_peers; i++)
        if (versions.peers[i].latest < SCHEMA_VERSION_DIVIDED_QUOTA) return false;
    return true;
}

static void apply_version(const char *node, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    int version = read_version(data);
    if (strcmp(node, cfg->node) == 0) record_version(&versions.self, version);
    for (int i = 0; i < cfg->n_peers; i++)
        if (strcmp(node, cfg->peers[i].node) == 0) record_version(&versions.peers[i], version);
    if (versions.active || !all_controllers_upgraded()) return;
    versions.active = true;
    log_info("schema version: all %d controllers can read version %d, writing its layout from now on", cfg->n_peers + 1,
             SCHEMA_VERSION);
}

/* Returns the version that the record of this controller should contain according to its settings. */
static int version_by_settings(void) {
    for (int i = 0; i < cfg->n_teams; i++)
        if (cfg->teams[i].n_shards > 1) return SCHEMA_VERSION_DIVIDED_QUOTA;
    return SCHEMA_VERSION;
}

/* Returns whether the record of this controller has to be changed to the version. */
static bool must_announce(int version) {
    const struct controller_versions *self = &versions.self;
    if (self->highest < SCHEMA_VERSION) return true;
    if (self->latest < SCHEMA_VERSION) return false; /* the record was damaged or removed after it was written */
    bool withdraws = self->latest == SCHEMA_VERSION_DIVIDED_QUOTA && version < SCHEMA_VERSION_DIVIDED_QUOTA;
    return self->latest < version || withdraws;
}

bool schema_version_announce(struct store_txn *txn) {
    int version = version_by_settings();
    if (!must_announce(version)) return false;
    struct store_key key = store_key_schema_version(cfg->node);
    cJSON *record = cJSON_CreateObject();
    cJSON_AddNumberToObject(record, "version", version);
    store_txn_compare(txn, key.text, store_key_revision(key.text));
    store_txn_put(txn, key.text, record, 0);
    log_info("schema version: recording that %s can read version %d", cfg->node, version);
    return true;
}

void schema_version_mark_store_unreadable(void) { versions.store_unreadable = true; }
bool schema_version_store_unreadable(void) { return versions.store_unreadable; }

void schema_version_init(const struct settings *settings) {
    cfg = settings;
    store_observe_prefix(STORE_PREFIX_SCHEMA_VERSION, apply_version);
}
