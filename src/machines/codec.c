#include "codec.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../model/machine.h"

/* JSON members of a page. */
#define PAGE_TYPE_NAMES "sku"
#define PAGE_ZONES "site"
#define PAGE_IMAGES "img"
#define PAGE_MACHINES "m"

/* An entry of a page is a JSON array of these fields. */
enum entry_field {
    ENTRY_ID,
    ENTRY_ADDRESS,
    ENTRY_TYPE_NAME,     /* index in PAGE_TYPE_NAMES */
    ENTRY_ZONE,          /* index in PAGE_ZONES */
    ENTRY_FLAGS,         /* sum of enum entry_flag */
    ENTRY_FENCING_TOKEN, /* the machine's own token; 0: none */
    ENTRY_CREATED_AT,    /* time of day in whole seconds */
    ENTRY_IMAGES,        /* indices in PAGE_IMAGES, separated by commas */
    ENTRY_FIELDS
};

enum entry_flag {
    ENTRY_SPOT = 1,
    ENTRY_RETURNING = 2,
    ENTRY_TOKEN_RANGE = 4, /* the token begins a range; earlier versions neither read nor write this flag */
};

/* JSON members of a transfer record. */
#define TRANSFER_SHARD "share"
#define TRANSFER_FENCING_TOKEN "fence"
#define TRANSFER_LAST_TOKEN "last" /* absent: the same as the first; earlier versions ignore it */
#define TRANSFER_ADDRESS "address"
#define TRANSFER_TYPE_NAME "flavour"
#define TRANSFER_ZONE "site"
#define TRANSFER_SPOT "spot"
#define TRANSFER_CREATED_AT "born"
#define FIRST_LAYOUT_ALLOCATIONS "b"

#define IMAGE_NAME_MAX 24  /* longer image names are left out of pages */
#define PAGE_IMAGES_MAX 16 /* image names per page */
#define IMAGE_INDICES_SIZE 48

/* ---- reading ---- */

bool machine_page_read(const cJSON *data, struct machine_page *page) {
    page->machines = cJSON_GetObjectItemCaseSensitive(data, PAGE_MACHINES);
    page->type_names = cJSON_GetObjectItemCaseSensitive(data, PAGE_TYPE_NAMES);
    page->zones = cJSON_GetObjectItemCaseSensitive(data, PAGE_ZONES);
    page->images = cJSON_GetObjectItemCaseSensitive(data, PAGE_IMAGES);
    return cJSON_IsArray(page->machines);
}

static const char *text_or_empty(const cJSON *item) {
    const char *text = cJSON_GetStringValue(item);
    return text ? text : "";
}

static const char *name_by_index(const cJSON *names, const cJSON *index) {
    return cJSON_IsNumber(index) ? text_or_empty(cJSON_GetArrayItem(names, index->valueint)) : "";
}

bool machine_page_read_entry(const struct machine_page *page, const cJSON *entry, struct machine_record *record) {
    const cJSON *fields[ENTRY_FIELDS];
    const cJSON *field = entry->child;
    for (int i = 0; i < ENTRY_FIELDS; i++, field = field ? field->next : NULL) fields[i] = field;
    const char *id = cJSON_GetStringValue(fields[ENTRY_ID]);
    if (!id || strlen(id) >= MACHINE_ID_SIZE) return false;
    int flags = cJSON_IsNumber(fields[ENTRY_FLAGS]) ? fields[ENTRY_FLAGS]->valueint : 0;
    *record = (struct machine_record){
        .id = id,
        .address = text_or_empty(fields[ENTRY_ADDRESS]),
        .type_name = name_by_index(page->type_names, fields[ENTRY_TYPE_NAME]),
        .zone = name_by_index(page->zones, fields[ENTRY_ZONE]),
        .spot = flags & ENTRY_SPOT,
        .returning = flags & ENTRY_RETURNING,
        .image_indices = text_or_empty(fields[ENTRY_IMAGES]),
    };
    if (cJSON_IsNumber(fields[ENTRY_FENCING_TOKEN]))
        record->fencing_token = (int64_t)fields[ENTRY_FENCING_TOKEN]->valuedouble;
    record->last_token =
        flags & ENTRY_TOKEN_RANGE ? token_range_of_grant(record->fencing_token).last : record->fencing_token;
    if (cJSON_IsNumber(fields[ENTRY_CREATED_AT])) record->created_at = fields[ENTRY_CREATED_AT]->valuedouble;
    return true;
}

void machine_page_read_images(const struct machine_page *page, const struct machine_record *record,
                              GHashTable *images) {
    for (const char *index = record->image_indices; *index;) {
        const char *image = cJSON_GetStringValue(cJSON_GetArrayItem(page->images, atoi(index)));
        if (image && !g_hash_table_contains(images, image)) g_hash_table_add(images, g_strdup(image));
        index += strcspn(index, ",");
        index += *index == ',';
    }
}

enum machine_transfer_result machine_transfer_read(const cJSON *data, struct machine_record *record, int64_t *shard) {
    if (cJSON_GetObjectItemCaseSensitive(data, FIRST_LAYOUT_ALLOCATIONS)) return MACHINE_TRANSFER_FIRST_LAYOUT;
    if (!json_get_int64(data, TRANSFER_SHARD, shard)) return MACHINE_TRANSFER_MALFORMED;
    *record = (struct machine_record){
        .address = json_get_string(data, TRANSFER_ADDRESS),
        .type_name = json_get_string(data, TRANSFER_TYPE_NAME),
        .zone = json_get_string(data, TRANSFER_ZONE),
        .spot = json_get_bool(data, TRANSFER_SPOT),
        .created_at = json_get_double(data, TRANSFER_CREATED_AT, 0),
    };
    json_get_int64(data, TRANSFER_FENCING_TOKEN, &record->fencing_token);
    if (!json_get_int64(data, TRANSFER_LAST_TOKEN, &record->last_token)) record->last_token = record->fencing_token;
    return MACHINE_TRANSFER_OK;
}

/* ---- writing ---- */

static struct machine_page_names add_name_list(cJSON *value, const char *member) {
    return (struct machine_page_names){cJSON_AddArrayToObject(value, member),
                                       g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};
}

/* Returns the index of the name in the page's list, to which it is added if it is missing. */
static int find_or_add_name(struct machine_page_names *names, const char *name) {
    gpointer index;
    if (g_hash_table_lookup_extended(names->indices, name, NULL, &index)) return GPOINTER_TO_INT(index);
    int added = (int)g_hash_table_size(names->indices);
    cJSON_AddItemToArray(names->names, cJSON_CreateString(name));
    g_hash_table_insert(names->indices, g_strdup(name), GINT_TO_POINTER(added));
    return added;
}

void machine_page_writer_begin(struct machine_page_writer *writer, int images_per_machine) {
    writer->value = cJSON_CreateObject();
    writer->type_names = add_name_list(writer->value, PAGE_TYPE_NAMES);
    writer->zones = add_name_list(writer->value, PAGE_ZONES);
    writer->images = add_name_list(writer->value, PAGE_IMAGES);
    writer->machines = cJSON_AddArrayToObject(writer->value, PAGE_MACHINES);
    writer->images_per_machine = images_per_machine;
}

static bool image_has_room(const struct machine_page_names *images, const char *name) {
    if (strlen(name) > IMAGE_NAME_MAX) return false;
    return g_hash_table_size(images->indices) < PAGE_IMAGES_MAX || g_hash_table_contains(images->indices, name);
}

static void write_image_indices(struct machine_page_writer *writer, GHashTable *images, char *text, size_t size) {
    GHashTableIter iter;
    gpointer name;
    int written = 0;
    g_hash_table_iter_init(&iter, images);
    while (g_hash_table_iter_next(&iter, &name, NULL) && written < writer->images_per_machine) {
        if (!image_has_room(&writer->images, name)) continue;
        size_t length = strlen(text);
        snprintf(text + length, size - length, "%s%d", written++ ? "," : "", find_or_add_name(&writer->images, name));
    }
}

void machine_page_writer_add(struct machine_page_writer *writer, const struct machine_record *record,
                             GHashTable *images) {
    char image_indices[IMAGE_INDICES_SIZE] = "";
    if (images) write_image_indices(writer, images, image_indices, sizeof image_indices);
    int flags = (record->spot ? ENTRY_SPOT : 0) + (record->returning ? ENTRY_RETURNING : 0) +
                (record->last_token > record->fencing_token ? ENTRY_TOKEN_RANGE : 0);
    cJSON *const fields[ENTRY_FIELDS] = {
        [ENTRY_ID] = cJSON_CreateString(record->id),
        [ENTRY_ADDRESS] = cJSON_CreateString(record->address),
        [ENTRY_TYPE_NAME] = cJSON_CreateNumber(find_or_add_name(&writer->type_names, record->type_name)),
        [ENTRY_ZONE] = cJSON_CreateNumber(find_or_add_name(&writer->zones, record->zone)),
        [ENTRY_FLAGS] = cJSON_CreateNumber(flags),
        [ENTRY_FENCING_TOKEN] = cJSON_CreateNumber((double)record->fencing_token),
        [ENTRY_CREATED_AT] = cJSON_CreateNumber((double)(int64_t)record->created_at),
        [ENTRY_IMAGES] = cJSON_CreateString(image_indices),
    };
    cJSON *entry = cJSON_CreateArray();
    for (int i = 0; i < ENTRY_FIELDS; i++) cJSON_AddItemToArray(entry, fields[i]);
    cJSON_AddItemToArray(writer->machines, entry);
}

cJSON *machine_page_writer_end(struct machine_page_writer *writer) {
    g_hash_table_destroy(writer->type_names.indices);
    g_hash_table_destroy(writer->zones.indices);
    g_hash_table_destroy(writer->images.indices);
    return writer->value;
}

cJSON *machine_transfer_write(const struct machine_record *record, int shard) {
    cJSON *value = cJSON_CreateObject();
    cJSON_AddNumberToObject(value, TRANSFER_SHARD, shard);
    cJSON_AddNumberToObject(value, TRANSFER_FENCING_TOKEN, (double)record->fencing_token);
    if (record->last_token > record->fencing_token)
        cJSON_AddNumberToObject(value, TRANSFER_LAST_TOKEN, (double)record->last_token);
    cJSON_AddStringToObject(value, TRANSFER_ADDRESS, record->address);
    cJSON_AddStringToObject(value, TRANSFER_TYPE_NAME, record->type_name);
    cJSON_AddStringToObject(value, TRANSFER_ZONE, record->zone);
    cJSON_AddBoolToObject(value, TRANSFER_SPOT, record->spot);
    cJSON_AddNumberToObject(value, TRANSFER_CREATED_AT, (double)(int64_t)record->created_at);
    return value;
}
