#include "machine_types.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>

#include "../store/store.h"

#define MACHINE_TYPES_MAX 64

/* Values of members that a type in the catalogue lacks. */
#define DEFAULT_IMAGE_FETCH_GB_PER_S 1
#define DEFAULT_HOURLY_PRICE 1
#define DEFAULT_STARTUP_S 60

/* JSON member of a catalogue: the array of its types. */
#define CATALOGUE_TYPES "flavours"
/* JSON members of a type. */
#define TYPE_NAME "sku"
#define TYPE_VCPUS "vcpus"
#define TYPE_GPUS "gpus"
#define TYPE_MEMORY_GB "memory_gb"
#define TYPE_IMAGE_CACHE_GB "local_gb"
#define TYPE_IMAGE_FETCH_GB_PER_S "fetch_gb_per_s"
#define TYPE_HOURLY_PRICE "hourly"
#define TYPE_SPOT_PRICE "market_price"
#define TYPE_STARTUP_S "startup_s"
#define TYPE_ZONES "sites"

static struct {
    struct machine_type types[MACHINE_TYPES_MAX];
    int n_types;
} catalogue;

/* ---- lookup ---- */

bool machine_types_known(void) { return catalogue.n_types > 0; }

const struct machine_type *machine_types_all(void) { return catalogue.types; }

int machine_types_count(void) { return catalogue.n_types; }

static struct machine_type *find(const char *type_name) {
    for (int i = 0; i < catalogue.n_types; i++)
        if (strcmp(catalogue.types[i].type_name, type_name) == 0) return &catalogue.types[i];
    return NULL;
}

const struct machine_type *machine_types_find(const char *type_name) { return find(type_name); }

/* Returns the type with this name, which is added if it is missing; NULL: the catalogue is full. */
static struct machine_type *find_or_add(const char *type_name) {
    struct machine_type *type = find(type_name);
    if (type || catalogue.n_types == MACHINE_TYPES_MAX) return type;
    type = &catalogue.types[catalogue.n_types++];
    g_strlcpy(type->type_name, type_name, sizeof type->type_name);
    return type;
}

/* ---- reading a catalogue ---- */

static void read_zones(struct machine_type *type, const cJSON *zones) {
    for (int i = 0; i < type->n_zones; i++) g_free(type->zones[i]);
    type->n_zones = 0;
    const cJSON *zone;
    cJSON_ArrayForEach(zone, zones) {
        if (cJSON_IsString(zone) && type->n_zones < MACHINE_TYPE_ZONES_MAX)
            type->zones[type->n_zones++] = g_strdup(zone->valuestring);
    }
}

static void read_type(const cJSON *object) {
    const char *type_name = json_get_string(object, TYPE_NAME);
    if (!type_name || strlen(type_name) >= TYPE_NAME_SIZE) return;
    struct machine_type *type = find_or_add(type_name);
    if (!type) return;
    type->vcpus = json_get_double(object, TYPE_VCPUS, 0);
    type->gpus = json_get_double(object, TYPE_GPUS, 0);
    type->memory_gb = json_get_double(object, TYPE_MEMORY_GB, 0);
    type->image_cache_gb = json_get_double(object, TYPE_IMAGE_CACHE_GB, 0);
    type->image_fetch_gb_per_s = json_get_double(object, TYPE_IMAGE_FETCH_GB_PER_S, DEFAULT_IMAGE_FETCH_GB_PER_S);
    type->hourly_price = json_get_double(object, TYPE_HOURLY_PRICE, DEFAULT_HOURLY_PRICE);
    type->spot_price = json_get_double(object, TYPE_SPOT_PRICE, type->hourly_price);
    type->startup_s = json_get_double(object, TYPE_STARTUP_S, DEFAULT_STARTUP_S);
    read_zones(type, cJSON_GetObjectItemCaseSensitive(object, TYPE_ZONES));
}

void machine_types_apply(const cJSON *value) {
    const cJSON *type;
    cJSON_ArrayForEach(type, cJSON_GetObjectItemCaseSensitive(value, CATALOGUE_TYPES)) read_type(type);
}

/* The observed prefix is the key of the record. A key with a suffix belongs to another record and is ignored. */
/* ---- writing a catalogue ---- */

static cJSON *canonical_zones(const cJSON *zones) {
    const cJSON *zone;
    cJSON *result = cJSON_CreateArray();
    cJSON_ArrayForEach(zone, zones) {
        if (cJSON_IsString(zone)) cJSON_AddItemToArray(result, cJSON_CreateString(zone->valuestring));
    }
    return result;
}

static cJSON *canonical_type(const cJSON *object) {
    static const char *const numbers[] = {
        TYPE_VCPUS,        TYPE_GPUS,       TYPE_MEMORY_GB, TYPE_IMAGE_CACHE_GB, TYPE_IMAGE_FETCH_GB_PER_S,
        TYPE_HOURLY_PRICE, TYPE_SPOT_PRICE, TYPE_STARTUP_S};
    cJSON *type = cJSON_CreateObject();
    cJSON_AddStringToObject(type, TYPE_NAME, json_get_string(object, TYPE_NAME));
    for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
        const cJSON *number = cJSON_GetObjectItemCaseSensitive(object, numbers[i]);
        if (cJSON_IsNumber(number)) cJSON_AddNumberToObject(type, numbers[i], number->valuedouble);
    }
    cJSON_AddItemToObject(type, TYPE_ZONES, canonical_zones(cJSON_GetObjectItemCaseSensitive(object, TYPE_ZONES)));
    return type;
}

cJSON *machine_types_canonical(const cJSON *value) {
    const cJSON *object;
    cJSON *catalogue_value = cJSON_CreateObject();
    cJSON *types = cJSON_AddArrayToObject(catalogue_value, CATALOGUE_TYPES);
    cJSON_ArrayForEach(object, cJSON_GetObjectItemCaseSensitive(value, CATALOGUE_TYPES)) {
        const char *type_name = json_get_string(object, TYPE_NAME);
        if (type_name && strlen(type_name) < TYPE_NAME_SIZE) cJSON_AddItemToArray(types, canonical_type(object));
    }
    return catalogue_value;
}

static void apply_record(const char *key_suffix, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    if (*key_suffix == 0 && data) machine_types_apply(data);
}

void machine_types_init(void) { store_observe_prefix(STORE_KEY_MACHINE_TYPES, apply_record); }
