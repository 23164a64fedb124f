#include "machine_types.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>

#include "../store/store.h"

#define MACHINE_TYPES_MAX 64

static struct machine_type types[MACHINE_TYPES_MAX];
static int n_types;

bool machine_types_known(void) { return n_types > 0; }
const struct machine_type *machine_types_all(void) { return types; }
int machine_types_count(void) { return n_types; }

static struct machine_type *find(const char *type_name) {
    for (int i = 0; i < n_types; i++)
        if (strcmp(types[i].type_name, type_name) == 0) return &types[i];
    return NULL;
}

const struct machine_type *machine_types_find(const char *type_name) { return find(type_name); }

static void read_zones(struct machine_type *type, const cJSON *zones) {
    const cJSON *zone;
    for (int i = 0; i < type->n_zones; i++) g_free(type->zones[i]);
    type->n_zones = 0;
    cJSON_ArrayForEach(zone, zones) {
        if (cJSON_IsString(zone) && type->n_zones < MACHINE_TYPE_ZONES_MAX)
            type->zones[type->n_zones++] = g_strdup(zone->valuestring);
    }
}

/* The wire's names: flavours with sku, market_price and sites. */
static void read_type(const cJSON *flavour) {
    const char *type_name = json_get_string(flavour, "sku");
    if (!type_name || strlen(type_name) >= sizeof types[0].type_name) return;
    struct machine_type *type = find(type_name);
    if (!type && n_types == MACHINE_TYPES_MAX) return;
    if (!type) type = &types[n_types++];
    g_strlcpy(type->type_name, type_name, sizeof type->type_name);
    type->vcpus = json_get_double(flavour, "vcpus", 0);
    type->gpus = json_get_double(flavour, "gpus", 0);
    type->memory_gb = json_get_double(flavour, "memory_gb", 0);
    type->local_gb = json_get_double(flavour, "local_gb", 0);
    type->fetch_rate = json_get_double(flavour, "fetch_gb_per_s", 1);
    type->hourly_price = json_get_double(flavour, "hourly", 1);
    type->spot_price = json_get_double(flavour, "market_price", type->hourly_price);
    type->startup_s = json_get_double(flavour, "startup_s", 60);
    read_zones(type, cJSON_GetObjectItemCaseSensitive(flavour, "sites"));
}

void machine_types_apply(const cJSON *catalogue) {
    const cJSON *flavour;
    cJSON_ArrayForEach(flavour, cJSON_GetObjectItemCaseSensitive(catalogue, "flavours")) read_type(flavour);
}

static void apply_record(const char *rest, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    if (*rest == 0 && data) machine_types_apply(data);
}

void machine_types_init(void) { store_observe_prefix("types", apply_record); }
