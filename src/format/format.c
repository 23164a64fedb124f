#include "format.h"

#include <stdio.h>
#include <string.h>

static const struct settings *cfg;
static int own_version;                  /* on record; 0: none */
static int peer_version[SETTINGS_SEEDS]; /* likewise, in the order of the seeds */
static bool active;

/* A controller is only ever upgraded: a lower version, or none, in a later record is a damaged record. */
static void raise_version(int *known, const cJSON *data) {
    int64_t version = 0;
    if (base_int(data, "version", &version) && version > *known) *known = (int)version;
}

static bool all_upgraded(void) {
    if (own_version < FORMAT_VERSION) return false;
    for (int i = 0; i < cfg->n_seeds; i++)
        if (peer_version[i] < FORMAT_VERSION) return false;
    return true;
}

static void apply_format(const char *node, const cJSON *data, int64_t stamp) {
    (void)stamp;
    if (strcmp(node, cfg->node) == 0) raise_version(&own_version, data);
    for (int i = 0; i < cfg->n_seeds; i++)
        if (strcmp(node, cfg->seeds[i].node) == 0) raise_version(&peer_version[i], data);
    if (active || !all_upgraded()) return;
    active = true;
    log_info("format: all %d controllers read version %d, its layout is written from now on", cfg->n_seeds + 1,
             FORMAT_VERSION);
}

bool format_active(void) { return active; }

bool format_announce(struct store_txn *t) {
    char key[96];
    if (own_version >= FORMAT_VERSION) return false;
    snprintf(key, sizeof key, "format/%s", cfg->node);
    cJSON *record = cJSON_CreateObject();
    cJSON_AddNumberToObject(record, "version", FORMAT_VERSION);
    store_txn_if(t, key, store_stamp(key));
    store_txn_set(t, key, record, 0);
    log_info("format: recording that %s reads version %d", cfg->node, FORMAT_VERSION);
    return true;
}

void format_init(const struct settings *s) {
    cfg = s;
    store_observe("format/", apply_format);
}
