/* Reads and writes the JSON of the machines' records: pages (fleet/K/N), which list the machines of a shard, and
 * transfer records (machine/ID), which hold a machine on its way to another shard.
 *
 * Pure: it does not use the registry. Only records.c calls it. The strings that it reads belong to the JSON value. */
#ifndef FF_MACHINES_CODEC_H
#define FF_MACHINES_CODEC_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../json/json.h"

/* A machine as its record describes it. */
struct machine_record {
    const char *id; /* NULL: read from a transfer record, whose key contains the id */
    /* NULL: missing in the record. */
    const char *address, *type_name, *zone;
    bool spot;
    bool returning; /* the machine is being returned to the cloud; not in transfer records */
    int64_t fencing_token;
    int64_t last_token;        /* the last token of the range that fencing_token begins */
    double created_at;         /* time of day; written in whole seconds */
    const char *image_indices; /* only when read from a page: for machine_page_read_images */
};

/* The lists of a page that was read. */
struct machine_page {
    const cJSON *machines; /* the entries; NULL: none */
    const cJSON *type_names, *zones, *images;
};
/* Reads a page, whose lists belong to data. Returns whether the page has a list of entries. */
bool machine_page_read(const cJSON *data, struct machine_page *page);
/* Reads an entry. Returns false if the entry has no valid machine id. */
bool machine_page_read_entry(const struct machine_page *page, const cJSON *entry, struct machine_record *record);
/* Adds copies of the image names of an entry to the set, which owns its names. */
void machine_page_read_images(const struct machine_page *page, const struct machine_record *record, GHashTable *images);

/* A list of names in a page that is written. The entries refer to the names by index. */
struct machine_page_names {
    cJSON *names;        /* JSON array, which belongs to the page's value */
    GHashTable *indices; /* name -> index */
};

/* A page that is being written. */
struct machine_page_writer {
    cJSON *value, *machines;
    struct machine_page_names type_names, zones, images;
    int images_per_machine; /* maximum number */
};
/* Begins an empty page. */
void machine_page_writer_begin(struct machine_page_writer *writer, int images_per_machine);
/* Adds a machine. `images` is a set of image names, or NULL. */
void machine_page_writer_add(struct machine_page_writer *writer, const struct machine_record *record,
                             GHashTable *images);
/* Frees the writer's indices. Returns the page's value, which the caller owns. */
cJSON *machine_page_writer_end(struct machine_page_writer *writer);

enum machine_transfer_result {
    MACHINE_TRANSFER_OK,
    MACHINE_TRANSFER_MALFORMED,
    MACHINE_TRANSFER_FIRST_LAYOUT /* a record of the first layout, which contained allocations and is no longer read */
};
/* Reads a transfer record and the shard to which the machine is transferred. */
enum machine_transfer_result machine_transfer_read(const cJSON *data, struct machine_record *record, int64_t *shard);
/* Returns the value of a transfer record, which the caller owns. */
cJSON *machine_transfer_write(const struct machine_record *record, int shard);
#endif
