/* How the store's records hold machines, as JSON: pages (fleet/K/N), and the record of a machine that is on its way to
 * another shard (machine/ID).
 *
 * Pure: it knows the records' format and nothing of the registry; records.c alone calls it. The strings of what is read
 * belong to the JSON value. */
#ifndef FF_MACHINES_CODEC_H
#define FF_MACHINES_CODEC_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../json/json.h"

/* A machine as a record holds it. */
struct machine_record {
    const char *id; /* NULL: the record is one machine's, and its key has the id */
    /* NULL: the record does not say. */
    const char *address, *type_name, *zone;
    bool spot;
    bool returning; /* on its way back to the cloud; of pages only */
    int64_t fencing_token;
    double created_at;         /* time of day, in whole seconds where it is written */
    const char *image_indices; /* of pages, when read: for machine_page_read_images */
};

/* A page that is read. */
struct machine_page {
    const cJSON *machines; /* the entries, for cJSON_ArrayForEach; NULL: none */
    const cJSON *type_names, *zones, *images;
};
/* Whether the page has its list of entries. */
bool machine_page_read(const cJSON *data, struct machine_page *page);
/* False if the entry names no machine: it can't be read then. */
bool machine_page_read_entry(const struct machine_page *page, const cJSON *entry, struct machine_record *record);
/* Adds the images of an entry that was read to a set of names, which owns its names. */
void machine_page_read_images(const struct machine_page *page, const struct machine_record *record, GHashTable *images);

/* Names that the entries of a page refer to by index. */
struct machine_page_names {
    cJSON *names;        /* belongs to the value */
    GHashTable *indices; /* name -> index */
};

/* A page that is written. */
struct machine_page_writer {
    cJSON *value, *machines;
    struct machine_page_names type_names, zones, images;
    int images_per_machine;
};
/* Begins an empty page. */
void machine_page_writer_begin(struct machine_page_writer *writer, int images_per_machine);
/* `images` is a set of names, or NULL. */
void machine_page_writer_add(struct machine_page_writer *writer, const struct machine_record *record,
                             GHashTable *images);
/* The value, which belongs to the caller. */
cJSON *machine_page_writer_end(struct machine_page_writer *writer);

enum machine_single_result {
    MACHINE_SINGLE_OK,
    MACHINE_SINGLE_MALFORMED,
    MACHINE_SINGLE_FIRST_LAYOUT /* which kept allocations in these records, and is not read any more */
};
/* Reads the record of a machine on its way between shards, and the shard that it goes to. */
enum machine_single_result machine_single_read(const cJSON *data, struct machine_record *record, int64_t *shard);
/* The value belongs to the caller. */
cJSON *machine_single_write(const struct machine_record *record, int shard);
#endif
